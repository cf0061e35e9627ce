package timeline

import (
	"slices"
	"sync"

	"github.com/nutmegshift/nutmegshift/ident"
)

// DefaultSize is the number of events that a process keeps.
const DefaultSize = 65_536

// Field is a named detail of an event.
type Field struct {
	Name  string `json:"name"`
	Value string `json:"value"`
}

// NewField returns a field of an event.
func NewField(name, value string) Field {
	return Field{
		Name:  name,
		Value: value,
	}
}

// Event is one thing that a process did.
type Event struct {
	Time    Stamp           `json:"time"`
	Host    ident.HostID    `json:"host"`
	Request ident.RequestID `json:"request,omitempty"`
	Attempt ident.AttemptID `json:"attempt,omitempty"`
	Part    string          `json:"part"`
	Name    string          `json:"name"`
	Fields  []Field         `json:"fields,omitempty"`
}

// Recorder accepts events; it stamps them with time and host.
type Recorder interface {
	Record(event Event)
}

// Ring keeps the latest events of one process.
type Ring struct {
	host  ident.HostID
	clock *Clock
	mu    sync.Mutex
	slots []Event
	next  uint64
}

// NewRing returns a ring of size events that stamps them for host.
func NewRing(host ident.HostID, clock *Clock, size int) *Ring {
	return &Ring{
		host:  host,
		clock: clock,
		slots: make([]Event, 0, size),
	}
}

// Record stamps the event and stores it in place of the oldest one.
func (r *Ring) Record(event Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	event.Time = r.clock.Now()
	event.Host = r.host
	if len(r.slots) < cap(r.slots) {
		r.slots = append(r.slots, event)
	} else {
		r.slots[r.next%uint64(cap(r.slots))] = event
	}
	r.next++
}

// Events returns the stored events of a request in order, or all for an empty id.
func (r *Ring) Events(request ident.RequestID) []Event {
	r.mu.Lock()
	defer r.mu.Unlock()
	found := make([]Event, 0)
	for _, event := range r.slots {
		if request == "" || event.Request == request {
			found = append(found, event)
		}
	}
	slices.SortStableFunc(found, compare)
	return found
}

// Merge returns the events of several processes in one order.
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
