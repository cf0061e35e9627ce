package resumption

import (
	"encoding/json"
	"slices"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// origins are the streams that a release begins.
type origins struct {
	Sent  []ident.RequestID       `json:"sent,omitempty"`  // being sent to an upstream when noted
	Moved map[ident.RequestID]int `json:"moved,omitempty"` // have moved to the release, and by which of their moves
	Begun []ident.RequestID       `json:"begun,omitempty"` // had begun when noted
}

// record is an entry of the store with the streams that a host has noted.
type record map[ident.ServiceName]map[fleet.Release]*origins

func encodeRecord(notes []note) ([]byte, error) {
	r := make(record)
	for _, n := range notes {
		releases := r[n.Service]
		if releases == nil {
			releases = make(map[fleet.Release]*origins)
			r[n.Service] = releases
		}
		list := releases[n.release]
		if list == nil {
			list = new(origins)
			releases[n.release] = list
		}
		list.add(n)
	}
	return json.Marshal(r)
}

// add adds a note.
func (o *origins) add(n note) {
	switch n.certainty {
	case sent:
		o.Sent = append(o.Sent, n.Origin)
	case moved:
		if o.Moved == nil {
			o.Moved = make(map[ident.RequestID]int)
		}
		o.Moved[n.Origin] = max(o.Moved[n.Origin], n.move)
	case begun:
		o.Begun = append(o.Begun, n.Origin)
	}
}

// eachNote calls a function with the notes in a record.
func eachNote(value []byte, call func(n note)) error {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Annotate(err, "decode record of streams")
	}
	for service, releases := range r {
		for release, list := range releases {
			if list != nil {
				list.each(service, release, call)
			}
		}
	}
	return nil
}

// each calls a function with the notes of the streams that a release of a service begins.
func (o *origins) each(service ident.ServiceName, release fleet.Release, call func(n note)) {
	newNote := func(id ident.RequestID, certainty certainty) note {
		return note{
			Stream: Stream{
				Origin:  id,
				Service: service,
			},
			release:   release,
			certainty: certainty,
		}
	}
	for _, id := range o.Sent {
		call(newNote(id, sent))
	}
	for id, move := range o.Moved {
		n := newNote(id, moved)
		n.move = move
		call(n)
	}
	for _, id := range o.Begun {
		call(newNote(id, begun))
	}
}

// recorded is what the records of all hosts say of a stream: the releases to which it has
// been sent, the one to which it has moved last, and those that have begun it. Hosts may retry
// it at another release until the first event.
type recorded struct {
	sent, moved, begun []fleet.Release
	move               int // of moved
}

// release returns the release that began the stream, if that is certain. The latest move is
// recorded before the stream can begin there, so it counts more than where the request was sent
// or proposed before.
func (r recorded) release() (fleet.Release, bool) {
	releases := r.sent
	if len(r.moved) > 0 {
		releases = r.moved
	}
	if len(r.begun) > 0 {
		releases = r.begun
	}
	if len(releases) != 1 {
		return "", false
	}
	return releases[0], true
}

// add adds a note.
func (r *recorded) add(n note) {
	switch n.certainty {
	case sent:
		r.sent = addRelease(r.sent, n.release)
	case moved:
		if n.move > r.move {
			r.move, r.moved = n.move, nil
		}
		if n.move == r.move {
			r.moved = addRelease(r.moved, n.release)
		}
	case begun:
		r.begun = addRelease(r.begun, n.release)
	}
}

// decodeRecord adds the streams of a record to those of others.
func decodeRecord(value []byte, streams map[Stream]*recorded) error {
	return eachNote(value, func(n note) {
		known, ok := streams[n.Stream]
		if !ok {
			known = new(recorded)
			streams[n.Stream] = known
		}
		known.add(n)
	})
}

func addRelease(releases []fleet.Release, release fleet.Release) []fleet.Release {
	if slices.Contains(releases, release) {
		return releases
	}
	return append(releases, release)
}
