package discovery

import (
	"slices"

	"github.com/nutmegshift/nutmegshift/kv"
)

// maxGaps bounds the listings that a history remembers.
const maxGaps = 16

// history tells from which cursors on a replica knows all removals that another one needs. A
// listing at a cursor shows which of the entries that the replica had before have been removed
// since. It does not show entries that came and went in between, which only a replica whose
// cursor is in between may have. The zero value knows all.
type history struct {
	start kv.Cursor // nothing is known of removals up to it
	gaps  []gap     // in order
}

// gap holds the cursors between a listing and the state of the replica before it.
type gap struct {
	after, until kv.Cursor // both are outside
}

// skip records a listing at a cursor, applied to a replica that was complete up to another one,
// 0 if it was empty. A listing from an earlier cursor changes nothing.
func (h *history) skip(from, to kv.Cursor) {
	switch {
	case to <= from:
	case from == 0 || kv.EpochOf(from) != kv.EpochOf(to):
		h.forget(to)
	default:
		h.gaps = append(h.gaps, gap{
			after: from,
			until: to,
		})
		if len(h.gaps) > maxGaps {
			h.forget(h.gaps[0].until)
		}
	}
}

// forget records that removals up to a cursor are no longer known.
func (h *history) forget(upTo kv.Cursor) {
	h.start = max(h.start, upTo)
	h.gaps = slices.DeleteFunc(h.gaps, func(g gap) bool { return g.until <= h.start })
}

// covers reports whether all removals are known that a replica needs which is complete up to a
// cursor.
func (h *history) covers(after kv.Cursor) bool {
	return after >= h.start && !slices.ContainsFunc(h.gaps, func(g gap) bool { return after > g.after && after < g.until })
}
