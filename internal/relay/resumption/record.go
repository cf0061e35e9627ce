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
	switch n.origin {
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

// decodeNotes returns the notes in a record of another host. Streams of which more than one
// thing is noted have one note for each.
func decodeNotes(value []byte) ([]note, error) {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return nil, errors.NewNotValid(err, "decode record of streams")
	}
	var notes []note
	for service, releases := range r {
		for release, list := range releases {
			if list != nil {
				notes = append(notes, list.notes(service, release)...)
			}
		}
	}
	if len(notes) == 0 || len(notes) > recordNotes {
		return nil, errors.NotValidf("record with %d notes", len(notes))
	}
	return notes, nil
}

// notes returns the notes of the streams that a release of a service begins.
func (o *origins) notes(service ident.ServiceName, release fleet.Release) []note {
	var notes []note
	add := func(id ident.RequestID, origin origin, move int) {
		notes = append(notes, note{
			Stream: Stream{
				Origin:  id,
				Service: service,
			},
			release: release,
			origin:  origin,
			move:    move,
		})
	}
	for _, id := range o.Sent {
		add(id, sent, 0)
	}
	for id, move := range o.Moved {
		add(id, moved, move)
	}
	for _, id := range o.Begun {
		add(id, begun, 0)
	}
	return notes
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

// addMove adds a move to a release.
func (r *recorded) addMove(release fleet.Release, move int) {
	if move > r.move {
		r.move, r.moved = move, nil
	}
	if move == r.move {
		r.moved = addRelease(r.moved, release)
	}
}

// decodeRecord adds the streams of a record to those of others.
func decodeRecord(value []byte, streams map[Stream]*recorded) error {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Annotate(err, "decode record of streams")
	}
	for service, releases := range r {
		for release, list := range releases {
			if list == nil {
				continue
			}
			for _, origin := range list.Sent {
				known := knownAs(streams, origin, service)
				known.sent = addRelease(known.sent, release)
			}
			for origin, move := range list.Moved {
				knownAs(streams, origin, service).addMove(release, move)
			}
			for _, origin := range list.Begun {
				known := knownAs(streams, origin, service)
				known.begun = addRelease(known.begun, release)
			}
		}
	}
	return nil
}

// knownAs returns what is recorded of a stream, which is added if it is new.
func knownAs(streams map[Stream]*recorded, origin ident.RequestID, service ident.ServiceName) *recorded {
	stream := Stream{
		Origin:  origin,
		Service: service,
	}
	known, ok := streams[stream]
	if !ok {
		known = new(recorded)
		streams[stream] = known
	}
	return known
}

func addRelease(releases []fleet.Release, release fleet.Release) []fleet.Release {
	if slices.Contains(releases, release) {
		return releases
	}
	return append(releases, release)
}
