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
	// BlockPeriod is how long strikes count and a blocked request is refused.
	BlockPeriod = 10 * time.Minute
	// TrialLimit is the age at which a trying mark counts as a strike. No request
	// with the longest deadline of 12 s outlives the shutdown timeout of 30 s.
	TrialLimit = 30 * time.Second
	// A second crash in one trial is one too many; callers resend at once.
	maxStrikes = 2
	keyPrefix  = kv.Key("quarantine/")
)

func key(fingerprint Fingerprint) kv.Key {
	return keyPrefix + kv.Key(fingerprint.String())
}

// strike is one crash, or one trial without an answer if Attempt is set.
type strike struct {
	Crash   Crash           `json:"crash"`
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	Time    time.Time       `json:"time"`
}

func (s strike) same(o strike) bool {
	return s.Crash == o.Crash && s.Attempt == o.Attempt
}

// mark states that an attempt is being tried.
type mark struct {
	Host    ident.HostID    `json:"host"`
	Attempt ident.AttemptID `json:"attempt"`
	Time    time.Time       `json:"time"`
}

// record is the stored state of a fingerprint. Its methods return a new record.
type record struct {
	Strikes []strike `json:"strikes"`
	Trying  *mark    `json:"trying,omitempty"`
}

// with adds a strike; one crash counts once even if several copies were in flight.
func (r record) with(made strike) record {
	if !slices.ContainsFunc(r.Strikes, made.same) {
		r.Strikes = append(slices.Clone(r.Strikes), made)
	}
	return r
}

// at returns the record as it counts at a time: a mark that is too old is a
// strike, and strikes are forgotten BlockPeriod after the last one.
func (r record) at(now time.Time) record {
	if r.Trying != nil && now.Sub(r.Trying.Time) >= TrialLimit {
		lost := *r.Trying
		r.Trying = nil
		r = r.with(strike{
			Attempt: lost.Attempt,
			Time:    lost.Time.Add(TrialLimit),
		})
	}
	if last, ok := r.last(); ok && now.Sub(last) >= BlockPeriod {
		r.Strikes = nil
	}
	return r
}

func (r record) last() (last time.Time, ok bool) {
	for _, made := range r.Strikes {
		if !ok || made.Time.After(last) {
			last = made.Time
		}
		ok = true
	}
	return last, ok
}

func (r record) verdict() Verdict {
	last, _ := r.last()
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

// tried reports whether the attempt holds the mark or lost it by its age.
func (r record) tried(attempt ident.AttemptID) bool {
	return r.marked(attempt) || slices.ContainsFunc(r.Strikes, func(made strike) bool {
		return made.Attempt == attempt
	})
}

func (r record) marked(attempt ident.AttemptID) bool {
	return r.Trying != nil && r.Trying.Attempt == attempt
}

// without removes the mark of an attempt and the strike that its age caused.
func (r record) without(attempt ident.AttemptID) record {
	if r.marked(attempt) {
		r.Trying = nil
	}
	r.Strikes = slices.DeleteFunc(slices.Clone(r.Strikes), func(made strike) bool {
		return made.Attempt == attempt
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
