package upstreams

import (
	"time"

	"github.com/juju/errors"
)

// defaultDowntime applies when Faults.CrashFor is zero.
const defaultDowntime = time.Second

// Duration is a time.Duration whose text form is like "150ms".
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

// Faults are the fault switches of an upstream; the zero value injects no fault.
type Faults struct {
	Slow         float64  `json:"slow,omitempty"`     // factor on service, token and model load times; 0 means 1
	Refuse       bool     `json:"refuse,omitempty"`   // reject requests as overloaded without running them
	Leaving      bool     `json:"leaving,omitempty"`  // reject requests as leaving without running them
	CrashOn      string   `json:"crash,omitempty"`    // crash at the start of a request whose body contains this text
	CrashFor     Duration `json:"downtime,omitempty"` // downtime after a crash; default 1 s
	DropAfter    int      `json:"drop,omitempty"`     // drop the connection of each stream after this many tokens; 0 means never
	LoseResponse int      `json:"lose,omitempty"`     // number of next responses to replace by a dropped connection
	Delay        Duration `json:"delay,omitempty"`    // added before a request takes a slot
}
