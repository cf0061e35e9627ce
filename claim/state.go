package claim

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/claim/internal/claimpb"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

// holding is who holds an identity; the zero value is nobody.
type holding struct {
	attempt ident.AttemptID
	since   uint32
	segment uint32 // of the latest record, for retention and to find a stored body
	state   claimpb.State
}

// fold returns the holding after a record of segment number.
func fold(held holding, record *claimpb.Record, number uint32) holding {
	attempt := ident.AttemptID(record.GetAttempt())
	free := held.state == claimpb.State_STATE_UNSPECIFIED
	switch record.GetState() {
	case claimpb.State_STATE_CLAIMED:
		if free {
			held = holding{
				attempt: attempt,
				since:   record.GetTime(),
				segment: number,
				state:   claimpb.State_STATE_CLAIMED,
			}
		}
	case claimpb.State_STATE_RELEASED:
		if held.attempt == attempt && held.state == claimpb.State_STATE_CLAIMED {
			held = holding{}
		}
	case claimpb.State_STATE_DONE:
		// The claim itself may be in a segment that has been dropped.
		if free || held.attempt == attempt {
			held = holding{
				attempt: attempt,
				since:   record.GetTime(),
				segment: number,
				state:   claimpb.State_STATE_DONE,
			}
		}
	case claimpb.State_STATE_UNSPECIFIED:
	}
	return held
}

// release is an attempt that can never be granted.
type release struct {
	identity Identity
	attempt  ident.AttemptID
}

// index is the fold of a run of records. It holds no bodies.
type index struct {
	holdings map[Identity]holding
	releases map[release]uint32 // segment of the record
}

func newIndex() index {
	return index{
		holdings: make(map[Identity]holding),
		releases: make(map[release]uint32),
	}
}

func (i index) add(record *claimpb.Record, number uint32) {
	identity := identityOf(record)
	held := fold(i.holdings[identity], record, number)
	if held.state == claimpb.State_STATE_UNSPECIFIED {
		delete(i.holdings, identity)
	} else {
		i.holdings[identity] = held
	}
	if record.GetState() == claimpb.State_STATE_RELEASED {
		i.releases[release{
			identity: identity,
			attempt:  ident.AttemptID(record.GetAttempt()),
		}] = number
	}
}

// state is the cache of one partition: its head and the fold of its segments.
type state struct {
	retention time.Duration

	loaded  bool
	version kv.Version // of the head; 0 if it does not exist
	floor   uint32
	next    uint32
	records []*claimpb.Record // of the head
	size    int               // encoded size of records
	sealed  index             // segments floor to next-1
	newest  map[uint32]uint32 // time of the newest record by segment
}

func newState(retention time.Duration) *state {
	return &state{
		retention: retention,
		sealed:    newIndex(),
		newest:    make(map[uint32]uint32),
	}
}

// seal adds the next segment to the index.
func (s *state) seal(records []*claimpb.Record) {
	newest := uint32(0)
	for _, record := range records {
		s.sealed.add(record, s.next)
		newest = max(newest, record.GetTime())
	}
	s.newest[s.next] = newest
	s.next++
}

// drop removes what the segments below floor hold.
func (s *state) drop(floor uint32) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for number := range s.newest {
		if number < floor {
			delete(s.newest, number)
		}
	}
	for identity, held := range s.sealed.holdings {
		if held.segment < floor {
			delete(s.sealed.holdings, identity)
		}
	}
	for released, number := range s.sealed.releases {
		if number < floor {
			delete(s.sealed.releases, released)
		}
	}
}

// setHead replaces the records of the head; the segments must be folded already.
func (s *state) setHead(version kv.Version, records []*claimpb.Record) {
	s.loaded = true
	s.version = version
	s.records = records
	s.size = proto.Size(&claimpb.Segment{
		Records: records,
	})
}

func (s *state) full() bool { return s.size >= sealBytes }

// expired returns the first segment that is not past retention.
func (s *state) expired(now time.Time) uint32 {
	floor := s.floor
	limit := now.Add(-s.retention).Unix()
	for floor < s.next && int64(s.newest[floor]) < limit {
		floor++
	}
	return floor
}

// holder returns the holding of an identity after the head's records and more.
func (s *state) holder(identity Identity, more []*claimpb.Record) holding {
	held := s.sealed.holdings[identity]
	for _, records := range [][]*claimpb.Record{s.records, more} {
		for _, record := range records {
			if string(record.GetIdentity()) == string(identity[:]) {
				held = fold(held, record, s.next)
			}
		}
	}
	return held
}

// written reports whether the attempt of an operation holds the identity.
func (s *state) written(op *operation) bool {
	return s.holder(op.identity, nil).attempt == op.attempt
}

func (s *state) released(identity Identity, attempt ident.AttemptID, more []*claimpb.Record) bool {
	if _, ok := s.sealed.releases[release{
		identity: identity,
		attempt:  attempt,
	}]; ok {
		return true
	}
	made := func(record *claimpb.Record) bool {
		return record.GetState() == claimpb.State_STATE_RELEASED &&
			record.GetAttempt() == string(attempt) &&
			string(record.GetIdentity()) == string(identity[:])
	}
	return slices.ContainsFunc(s.records, made) || slices.ContainsFunc(more, made)
}

// outcome returns the record of a completed identity if the head holds it.
func (s *state) outcome(identity Identity) (*claimpb.Record, bool) {
	for _, record := range slices.Backward(s.records) {
		if record.GetState() == claimpb.State_STATE_DONE && string(record.GetIdentity()) == string(identity[:]) {
			return record, true
		}
	}
	return nil, false
}

// answer is what one operation comes to.
type answer struct {
	decision Decision
	err      error
	segment  uint32 // holds the outcome of a Completed decision
	written  bool   // valid only once the planned records are written
	final    bool   // holds whatever other hosts wrote since the state was read
}

// decide returns the answer to an operation after the planned records, and the record that it appends, if any.
func (s *state) decide(op *operation, planned []*claimpb.Record, now time.Time) (answer, *claimpb.Record) {
	held := s.holder(op.identity, planned)
	own := held.attempt == op.attempt
	claimed := held.state == claimpb.State_STATE_CLAIMED
	done := held.state == claimpb.State_STATE_DONE
	record := &claimpb.Record{
		Identity: op.identity[:],
		Attempt:  string(op.attempt),
		Host:     string(op.host),
		Time:     seconds(now),
	}
	ok := answer{}
	appended := answer{
		written: true,
	}
	switch op.kind {
	case claiming:
		switch {
		case done:
			return answer{
				decision: Completed{},
				segment:  held.segment,
				// Past retention another host may have dropped the outcome.
				final: now.Sub(time.Unix(int64(held.since), 0)) < s.retention,
			}, nil
		case claimed && own:
			ok.decision = Granted{}
			return ok, nil
		case claimed:
			ok.decision = InProgress{
				Since: time.Unix(int64(held.since), 0),
			}
			if !op.forwarded || s.released(op.identity, op.attempt, planned) {
				return ok, nil
			}
			// The owner could still write the claim once the present holder has released its own.
			appended.decision = ok.decision
			record.State = claimpb.State_STATE_RELEASED
			return appended, record
		case s.released(op.identity, op.attempt, planned):
			ok.err = ErrReleased
			return ok, nil
		}
		record.State = claimpb.State_STATE_CLAIMED
		appended.decision = Granted{}
		return appended, record
	case completing:
		switch {
		case own && done:
			return ok, nil
		case !own:
			ok.err = ErrNotHolder
			return ok, nil
		}
		doneRecord(op.done, record)
		return appended, record
	case releasing:
		switch {
		case s.released(op.identity, op.attempt, planned):
			return ok, nil
		case !own || !claimed:
			ok.err = ErrNotHolder
			return ok, nil
		}
	case withdrawing:
		// The release is written even if no claim is visible: it makes a
		// claim that is still on its way fail.
		if s.released(op.identity, op.attempt, planned) || own && done {
			return ok, nil
		}
	}
	record.State = claimpb.State_STATE_RELEASED
	return appended, record
}
