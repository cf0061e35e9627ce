package upstreams

import (
	"time"

	"github.com/juju/errors"
)

// defaultCrashTime applies when Faults.CrashFor is zero.
const defaultCrashTime = time.Second

// Duration is a time.Duration written as in "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Annotate(err, "parse duration")
	}
	*d = Duration(parsed)
	return nil
}

// Faults are the fault switches of an upstream; the zero value has none on.
type Faults struct {
	Slow       float64  `json:"slow,omitempty"`     // factor on all of the upstream's own times; 0 means 1
	Refuse     bool     `json:"refuse,omitempty"`   // answer as overloaded without running
	Leaving    bool     `json:"leaving,omitempty"`  // answer as leaving without running
	CrashOn    string   `json:"crash,omitempty"`    // crash on starting a request whose body contains this
	CrashFor   Duration `json:"downtime,omitempty"` // downtime after a crash; default 1 s
	DropAfter  int      `json:"drop,omitempty"`     // break each stream after this many tokens; 0 means never
	LoseAnswer int      `json:"lose,omitempty"`     // break the connection instead of sending the next answers
	Delay      Duration `json:"delay,omitempty"`    // wait before running
}
