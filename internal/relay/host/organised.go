package host

import (
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// organisedKey is the key of the entry that exists once a table has had
	// organisations. A host that starts later learns from it that an empty list of
	// organisations is one from which the last has been removed.
	organisedKey kv.Key = "organised"
	// organisedValue is the value of the entry; only its presence matters.
	organisedValue = "1"
)

// organisedSink records that a table has had organisations.
type organisedSink struct {
	*Host
}

var _ discovery.Sink = organisedSink{}

// Put implements discovery.Sink.
func (s organisedSink) Put(entry kv.Entry) {
	if entry.Key != organisedKey || s.routes.Organised() {
		return
	}
	s.routes.RecordOrganised()
	s.log.Info().Uint64("revision", uint64(entry.Version)).Msg("table: an earlier version had organisations, an empty list requires a key")
}

// Removed implements discovery.Sink. A table that had organisations stays one that had.
func (organisedSink) Removed(kv.Key, kv.Version, time.Time) {}

// organisedEntry returns the value that the entry should have in place of the present one.
func (h *Host) organisedEntry(present []byte) ([]byte, error) {
	if present != nil || !h.routes.Organised() {
		return present, nil
	}
	return []byte(organisedValue), nil
}
