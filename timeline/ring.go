package timeline

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
)

// DefaultSize is the usual number of events that a Ring keeps.
const DefaultSize = 65_536

// Field is a named detail of an event.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// NewField returns a Field with the given name and value.
func NewField(name, value string) Field {
	return Field{
		Name:  name,
		Value: value,
	}
}

// Event is one recorded action of a process. Recorders set its Time and Host.
type Event struct {
	Time    Stamp           `json:"time"`
	Host    ident.HostID    `json:"host"`
	Request ident.RequestID `json:"request,omitempty"`
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	Part    string          `json:"part"` // component that records the event
	Name    string          `json:"name"` // kind of event
	Fields  []Field         `json:"fields,omitempty"`
}

// Recorder records events; it sets their time and host.
type Recorder interface {
	Record(event Event)
}

// Ring is a ring buffer of the latest events of one process. It is safe for
// concurrent use.
type Ring struct {
	host     ident.HostID
	clock    *Clock
	mu       sync.Mutex
	slots    []Event
	recorded uint64 // number of events recorded so far
}

// NewRing returns a Ring that keeps the latest size events and records them under
// host.
func NewRing(host ident.HostID, clock *Clock, size int) *Ring {
	return &Ring{
		host:  host,
		clock: clock,
		slots: make([]Event, 0, size),
	}
}

// Record sets the time and host of the event and stores it, in place of the oldest
// event if the ring is full.
func (r *Ring) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Time = r.clock.Now()
	event.Host = r.host
	if len(r.slots) < cap(r.slots) {
		r.slots = append(r.slots, event)
	} else {
		r.slots[r.recorded%uint64(cap(r.slots))] = event
	}
	r.recorded++
}

// Events returns the stored events of a request, or of all requests if the id is
// empty, in the order of their stamps.
func (r *Ring) Events(request ident.RequestID) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	events := make([]Event, 0)
	for _, event := range r.slots {
		if request == "" || event.Request == request {
			events = append(events, event)
		}
	}
	slices.SortStableFunc(events, compare)
	return events
}

// Merge returns the events of several processes in the order of their stamps.
func Merge(lists ...[]Event) []Event {
	merged := slices.Concat(lists...)
	slices.SortStableFunc(merged, compare)
	return merged
}

func compare(a, b Event) int {
	switch {
	case a.Time.Before(b.Time):
		return -1
	case b.Time.Before(a.Time):
		return 1
	default:
		return 0
	}
}
