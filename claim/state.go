package claim

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/claim/internal/claimpb"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

// holding describes the attempt that holds an identity. The zero value means that
// the identity is not held.
type holding struct {
	attempt ident.AttemptID
	since   uint32 // time of the latest record, in seconds since the Unix epoch
	segment uint32 // segment of the latest record, for retention and to find a stored body
	state   claimpb.State
}

// fold returns the holding after a record is applied; number is the record's segment.
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

// release identifies an attempt that was released and can never be granted.
type release struct {
	identity Identity
	attempt  ident.AttemptID
}

// index is the result of folding consecutive records. It holds no response bodies.
type index struct {
	holdings map[Identity]holding
	releases map[release]uint32 // segment of the release record
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

// state is the cache of one partition: its head and the index of its segments.
type state struct {
	retention time.Duration

	loaded      bool              // whether the fields below match a head that was read or written
	version     kv.Version        // version of the head; 0 if there is none
	floor       uint32            // first segment that is retained
	nextSegment uint32            // number of the segment that the head will become
	records     []*claimpb.Record // records of the head
	size        int               // encoded size of records
	sealed      index             // index of the segments floor to nextSegment-1
	newestTime  map[uint32]uint32 // segment number to the time of its newest record
}

func newState(retention time.Duration) *state {
	return &state{
		retention:  retention,
		sealed:     newIndex(),
		newestTime: make(map[uint32]uint32),
	}
}

// seal adds records to the index as the next segment.
func (s *state) seal(records []*claimpb.Record) {
	newest := uint32(0)
	for _, record := range records {
		s.sealed.add(record, s.nextSegment)
		newest = max(newest, record.GetTime())
	}
	s.newestTime[s.nextSegment] = newest
	s.nextSegment++
}

// drop removes the segments below floor from the cache.
func (s *state) drop(floor uint32) {
	if floor <= s.floor {
		return
	}
	s.floor = floor
	for number := range s.newestTime {
		if number < floor {
			delete(s.newestTime, number)
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

// setHead replaces the cached head. All segments that the new head refers to must
// have been added to the index before.
func (s *state) setHead(version kv.Version, records []*claimpb.Record) {
	s.loaded = true
	s.version = version
	s.records = records
	s.size = proto.Size(&claimpb.Segment{
		Records: records,
	})
}

func (s *state) full() bool { return s.size >= sealBytes }

// retentionFloor returns the number of the first segment that is still within the retention period.
func (s *state) retentionFloor(now time.Time) uint32 {
	floor := s.floor
	limit := now.Add(-s.retention).Unix()
	for floor < s.nextSegment && int64(s.newestTime[floor]) < limit {
		floor++
	}
	return floor
}

// holder returns the holding of an identity after the head's records and the planned ones.
func (s *state) holder(identity Identity, planned []*claimpb.Record) holding {
	held := s.sealed.holdings[identity]
	for _, records := range [][]*claimpb.Record{s.records, planned} {
		for _, record := range records {
			if string(record.GetIdentity()) == string(identity[:]) {
				held = fold(held, record, s.nextSegment)
			}
		}
	}
	return held
}

// holdsIdentity reports whether the attempt of an operation holds the identity.
func (s *state) holdsIdentity(op *operation) bool {
	return s.holder(op.identity, nil).attempt == op.attempt
}

func (s *state) released(identity Identity, attempt ident.AttemptID, planned []*claimpb.Record) bool {
	if _, ok := s.sealed.releases[release{
		identity: identity,
		attempt:  attempt,
	}]; ok {
		return true
	}
	isRelease := func(record *claimpb.Record) bool {
		return record.GetState() == claimpb.State_STATE_RELEASED &&
			record.GetAttempt() == string(attempt) &&
			string(record.GetIdentity()) == string(identity[:])
	}
	return slices.ContainsFunc(s.records, isRelease) || slices.ContainsFunc(planned, isRelease)
}

// outcome returns the record that completed the identity, if the head contains it.
func (s *state) outcome(identity Identity) (*claimpb.Record, bool) {
	for _, record := range slices.Backward(s.records) {
		if record.GetState() == claimpb.State_STATE_DONE && string(record.GetIdentity()) == string(identity[:]) {
			return record, true
		}
	}
	return nil, false
}

// reply is the result of an operation.
type reply struct {
	decision   Decision
	err        error
	segment    uint32 // segment with the outcome of a Completed decision
	needsWrite bool   // the reply is valid only once the planned records are written
	final      bool   // remains valid whatever other hosts have written since the state was read
}

// decide returns the reply to an operation that follows the planned records, and
// the record that it appends, if any.
func (s *state) decide(op *operation, planned []*claimpb.Record, now time.Time) (reply, *claimpb.Record) {
	held := s.holder(op.identity, planned)
	isHolder := held.attempt == op.attempt
	claimed := held.state == claimpb.State_STATE_CLAIMED
	done := held.state == claimpb.State_STATE_DONE
	record := &claimpb.Record{
		Identity: op.identity[:],
		Attempt:  string(op.attempt),
		Host:     string(op.host),
		Time:     seconds(now),
	}
	noWrite := reply{}
	appended := reply{
		needsWrite: true,
	}
	switch op.kind {
	case claiming:
		switch {
		case done:
			return reply{
				decision: Completed{},
				segment:  held.segment,
				// After the retention period another host may have dropped the outcome.
				final: now.Sub(time.Unix(int64(held.since), 0)) < s.retention,
			}, nil
		case claimed && isHolder:
			noWrite.decision = Granted{}
			return noWrite, nil
		case claimed:
			noWrite.decision = InProgress{
				Since: time.Unix(int64(held.since), 0),
			}
			if !op.forwarded || s.released(op.identity, op.attempt, planned) {
				return noWrite, nil
			}
			// The owner could still write the forwarded claim after the current holder
			// has released the identity; a release record prevents that.
			appended.decision = noWrite.decision
			record.State = claimpb.State_STATE_RELEASED
			return appended, record
		case s.released(op.identity, op.attempt, planned):
			noWrite.err = ErrReleased
			return noWrite, nil
		}
		record.State = claimpb.State_STATE_CLAIMED
		appended.decision = Granted{}
		return appended, record
	case completing:
		switch {
		case isHolder && done:
			return noWrite, nil
		case !isHolder:
			noWrite.err = ErrNotHolder
			return noWrite, nil
		}
		setDone(op.done, record)
		return appended, record
	case releasing:
		switch {
		case s.released(op.identity, op.attempt, planned):
			return noWrite, nil
		case !isHolder || !claimed:
			noWrite.err = ErrNotHolder
			return noWrite, nil
		}
	case withdrawing:
		// The release is written even if no claim is visible: it prevents a
		// claim that is still in flight from being granted.
		if s.released(op.identity, op.attempt, planned) || isHolder && done {
			return noWrite, nil
		}
	}
	record.State = claimpb.State_STATE_RELEASED
	return appended, record
}
