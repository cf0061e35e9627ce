package quarantine

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// BlockPeriod is how long strikes count after the last one, and so how long a
	// request is blocked.
	BlockPeriod = 10 * time.Minute
	// TrialLimit is the age at which the mark of a trial counts as a strike. It equals
	// the shutdown timeout of 30 s, which no request outlives: the longest deadline,
	// document.MaxDeadline, is 25 s.
	TrialLimit = 30 * time.Second
	// A request is blocked at its second strike, as callers retry immediately.
	maxStrikes = 2
	keyPrefix  = kv.Key("quarantine/")
)

func key(fingerprint Fingerprint) kv.Key {
	return keyPrefix + kv.Key(fingerprint.String())
}

// strike is one crash, or one trial that crashed its upstream or was lost if
// Attempt is set.
type strike struct {
	Crash   Crash           `json:"crash"`
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	Time    time.Time       `json:"time"`
}

// same reports whether both strikes are of the same crash or the same trial.
func (s strike) same(o strike) bool {
	return s.Crash == o.Crash && s.Attempt == o.Attempt
}

// trialMark is the exclusive mark of a trial in progress.
type trialMark struct {
	Host    ident.HostID    `json:"host"`
	Attempt ident.AttemptID `json:"attempt"`
	Time    time.Time       `json:"time"`
}

// record is the stored state of a fingerprint. Its methods do not modify it; those
// that change it return a new record.
type record struct {
	Strikes []strike   `json:"strikes"`
	Trying  *trialMark `json:"trying,omitempty"`
}

// withStrike adds a strike unless the record has it, so that one crash counts once
// even if several copies of the request were in flight.
func (r record) withStrike(added strike) record {
	if !slices.ContainsFunc(r.Strikes, added.same) {
		r.Strikes = append(slices.Clone(r.Strikes), added)
	}
	return r
}

// asOf returns the record with expiry applied: a mark of at least TrialLimit becomes
// a strike, and all strikes expire BlockPeriod after the last one.
func (r record) asOf(now time.Time) record {
	if r.Trying != nil && now.Sub(r.Trying.Time) >= TrialLimit {
		lost := *r.Trying
		r.Trying = nil
		r = r.withStrike(strike{
			Attempt: lost.Attempt,
			Time:    lost.Time.Add(TrialLimit),
		})
	}
	if last, ok := r.lastStrike(); ok && now.Sub(last) >= BlockPeriod {
		r.Strikes = nil
	}
	return r
}

// lastStrike returns the time of the latest strike, if any.
func (r record) lastStrike() (last time.Time, ok bool) {
	for _, s := range r.Strikes {
		if !ok || s.Time.After(last) {
			last = s.Time
		}
		ok = true
	}
	return last, ok
}

func (r record) verdict() Verdict {
	last, _ := r.lastStrike()
	switch {
	case len(r.Strikes) == 0:
		return Clear{}
	case len(r.Strikes) < maxStrikes:
		return Suspect{
			Since: last,
		}
	default:
		return Blocked{
			Until: last.Add(BlockPeriod),
		}
	}
}

// heldMark reports whether the attempt holds the mark, or held it until it became a
// strike.
func (r record) heldMark(attempt ident.AttemptID) bool {
	return r.holdsMark(attempt) || slices.ContainsFunc(r.Strikes, func(s strike) bool {
		return s.Attempt == attempt
	})
}

func (r record) holdsMark(attempt ident.AttemptID) bool {
	return r.Trying != nil && r.Trying.Attempt == attempt
}

// withoutTrial removes the mark of an attempt and the strike that the mark became.
func (r record) withoutTrial(attempt ident.AttemptID) record {
	if r.holdsMark(attempt) {
		r.Trying = nil
	}
	r.Strikes = slices.DeleteFunc(slices.Clone(r.Strikes), func(s strike) bool {
		return s.Attempt == attempt
	})
	return r
}

func encode(r record) ([]byte, error) {
	value, err := json.Marshal(r)
	return value, errors.Annotate(err, "encode quarantine record")
}

func decode(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, errors.Annotate(err, "decode quarantine record")
}
