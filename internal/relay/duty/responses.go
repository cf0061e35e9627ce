package duty

import (
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	// RecentPeriod is how long a message proves that its sender still performs its duties.
	// It exceeds the pauses of a host whose processor is busy, which last some hundred
	// milliseconds, and is below the latency objectives of most requests.
	RecentPeriod = 600 * time.Millisecond
	// LossPeriod is how long a host that has not accepted a job counts as lost: about as
	// long as the membership takes to suspect it.
	LossPeriod = time.Second
)

// Standing says what the messages of a host show about it.
type Standing int

// The standings of a host.
const (
	// Unheard means that the host has sent no message since this host started.
	Unheard Standing = iota
	// Quiet means that the latest message is older than RecentPeriod.
	Quiet
	// Recent means that there was a message within RecentPeriod.
	Recent
	// Lost means that the host has refused or closed a connection, or has not accepted a
	// job in time, within LossPeriod.
	Lost
)

// Evidence is what this host has observed of another host.
type Evidence struct {
	Heard    time.Time // latest message of any kind; zero if there was none
	Answered time.Time // latest reply to a job; zero if there was none
	LostAt   time.Time // latest loss; zero if the host has replied to a job since
}

// Standing returns the standing of the host at a time.
func (e Evidence) Standing(now time.Time) Standing {
	switch {
	case !e.LostAt.IsZero() && now.Sub(e.LostAt) < LossPeriod:
		return Lost
	case e.Heard.IsZero():
		return Unheard
	case now.Sub(e.Heard) < RecentPeriod:
		return Recent
	default:
		return Quiet
	}
}

// Responses records the messages of other hosts to this host, and their absence. It is
// safe for concurrent use.
type Responses struct {
	now func() time.Time

	mu     sync.Mutex
	byHost map[ident.HostID]Evidence
}

// NewResponses returns a Responses without any record.
func NewResponses(now func() time.Time) *Responses {
	return &Responses{
		now:    now,
		byHost: make(map[ident.HostID]Evidence),
	}
}

// Heard records a message of any kind. It does not revoke a loss, since messages may pass
// in one direction only.
func (r *Responses) Heard(host ident.HostID) {
	r.update(host, func(e *Evidence, now time.Time) { e.Heard = now })
}

// Answered records a reply to a job.
func (r *Responses) Answered(host ident.HostID) {
	r.update(host, func(e *Evidence, now time.Time) {
		*e = Evidence{
			Heard:    now,
			Answered: now,
		}
	})
}

// Lost records that a host has refused or closed a connection, or has not accepted a job
// in time.
func (r *Responses) Lost(host ident.HostID) {
	r.update(host, func(e *Evidence, now time.Time) { e.LostAt = now })
}

func (r *Responses) update(host ident.HostID, change func(e *Evidence, now time.Time)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	evidence := r.byHost[host]
	change(&evidence, r.now())
	r.byHost[host] = evidence
}

// Evidence returns what has been recorded of a host.
func (r *Responses) Evidence(host ident.HostID) Evidence {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byHost[host]
}

// Standing returns the present standing of a host.
func (r *Responses) Standing(host ident.HostID) Standing {
	return r.Evidence(host).Standing(r.now())
}

// Any reports whether any host has sent a message.
func (r *Responses) Any() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, evidence := range r.byHost {
		if !evidence.Heard.IsZero() {
			return true
		}
	}
	return false
}
