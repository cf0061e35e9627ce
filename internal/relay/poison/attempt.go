package poison

import (
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// settleTime is how long an upstream has to keep running after it has begun to
	// respond to a request, before the request counts as sound.
	settleTime = 250 * time.Millisecond
	// maxAttempts bounds the attempts that are tracked for an upstream. The earliest one is
	// dropped then; it has usually ended, or its response has begun.
	maxAttempts = 256
	// attemptRetention is how long an attempt that has ended is tracked, in case the
	// upstream crashes or is seen running.
	attemptRetention = 10 * time.Second
)

// Process is one incarnation of an upstream.
type Process struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
}

// Attempt is a request that has been sent to an upstream.
type Attempt struct {
	table       *Table
	process     Process // by the registration; the address may lead to a later one
	request     *Request
	began       time.Time
	repeated    bool      // the request has been in flight at another crash before
	respondedAt time.Time // when the response began; zero before
	endedAt     time.Time // zero before the end
	refused     bool      // the upstream did not run the request
	incomplete  bool      // has ended without the whole response
	settled     bool      // written and read by the caller of Responding only
}

// Begin records that a request is about to be sent to an upstream.
func (t *Table) Begin(process Process, request *Request) *Attempt {
	now := t.config.Now()
	a := &Attempt{
		table:   t,
		process: process,
		request: request,
		began:   now,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	a.repeated = request.suspected
	request.attempted = true
	request.responding = false
	t.sweepAttempts(now)
	list := t.attempts[process]
	if len(list) >= maxAttempts {
		list = slices.Delete(list, 0, 1)
	}
	t.attempts[process] = append(list, a)
	return a
}

// Finish records that a request has ended. Its attempts are still tracked, but its body is
// no longer referenced.
func (t *Table) Finish(request *Request) {
	t.mu.Lock()
	newContent := request.newContent
	if !request.attempted {
		request.newContent = nil // the request is not tracked
	}
	tracked := request.newContent != nil
	t.mu.Unlock()
	if !tracked {
		return
	}
	content := newContent() // takes time, so the mutex is not held
	t.mu.Lock()
	defer t.mu.Unlock()
	request.setContent(content)
}

// Responding records that the header or an event of the response has arrived.
func (a *Attempt) Responding() {
	if a.settled {
		return
	}
	now := a.table.config.Now()
	a.table.mu.Lock()
	if a.respondedAt.IsZero() {
		a.respondedAt = now
	}
	a.settled = now.Sub(a.respondedAt) >= settleTime
	a.request.responding = true
	sound := a.table.seenRunning(now, a.process)
	a.table.mu.Unlock()
	a.table.publishSound(sound)
}

// Refused records that the upstream did not run the request.
func (a *Attempt) Refused() {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.refused = true
	a.table.dropAttempts(a.process, func(other *Attempt) bool { return other == a })
}

// End records the end of the attempt. Complete tells whether the upstream has sent the
// whole response.
func (a *Attempt) End(complete bool) {
	sound := a.end(complete, !complete)
	a.table.publishSound(sound)
}

// Abandoned records that this host has ended the attempt, before the upstream has sent the whole
// response.
func (a *Attempt) Abandoned() { a.end(false, false) }

// end records the end of the attempt, and whether the upstream has lost the request. It returns
// the fingerprints that other hosts should know as sound.
func (a *Attempt) end(complete, lost bool) (sound []Fingerprint) {
	now := a.table.config.Now()
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	a.endedAt = now
	a.incomplete = !complete
	a.request.lost = a.request.lost || lost && !a.refused
	if !complete {
		return nil
	}
	a.request.served = true
	return a.table.seenRunning(now, a.process)
}

// seenRunning records that a process runs. It returns the fingerprints that other hosts
// should know as sound. The caller holds the mutex.
func (t *Table) seenRunning(now time.Time, process Process) []Fingerprint {
	var publish []Fingerprint
	t.dropAttempts(process, func(a *Attempt) bool {
		if a.respondedAt.IsZero() || now.Sub(a.respondedAt) < settleTime {
			return false
		}
		publish = append(publish, t.markSound(now, a.request)...)
		return true
	})
	return publish
}

// dropAttempts drops the attempts at a process for which drop returns true. The caller
// holds the mutex.
func (t *Table) dropAttempts(process Process, drop func(a *Attempt) bool) {
	list, ok := t.attempts[process]
	if !ok {
		return
	}
	list = slices.DeleteFunc(list, drop)
	if len(list) == 0 {
		delete(t.attempts, process)
		return
	}
	t.attempts[process] = list
}

// sweepAttempts drops, at intervals, the attempts that ended so long ago that they cannot
// be the cause of a crash. The caller holds the mutex.
func (t *Table) sweepAttempts(now time.Time) {
	if now.Sub(t.sweptAt) < attemptRetention {
		return
	}
	t.sweptAt = now
	for process := range t.attempts {
		t.dropAttempts(process, func(a *Attempt) bool {
			return !a.endedAt.IsZero() && now.Sub(a.endedAt) >= attemptRetention
		})
	}
}

// CrashKnown reports whether any host has reported the crash of the process that the
// attempt has reached.
func (a *Attempt) CrashKnown() bool {
	a.table.mu.Lock()
	defer a.table.mu.Unlock()
	_, known := a.table.crashOf(a)
	return known
}

// Crashed records that the process that the attempt has reached has crashed, and reports
// the requests of this host that may have caused it. It returns their number; 0 if they
// have been reported before.
func (a *Attempt) Crashed() int {
	t := a.table
	now := t.config.Now()
	t.mu.Lock()
	process, known := t.crashOf(a)
	crashedAt := now
	if known {
		crashedAt = t.crashes[process].at
	}
	report := peer.CrashReported{
		Host:        t.config.Host,
		Upstream:    process.Upstream,
		Incarnation: process.Incarnation,
		At:          now,
	}
	var caused []*Attempt // that may have caused the crash
	for other := range t.attempts {
		if other.Upstream != process.Upstream {
			continue
		}
		t.dropAttempts(other, func(o *Attempt) bool {
			crash, ended := t.crashOf(o)
			if ended != known || known && crash != process {
				return false // has reached another process
			}
			if o.mayHaveCaused(crashedAt) {
				caused = append(caused, o)
			}
			return true
		})
	}
	report.Suspects = t.suspects(now, caused)
	t.mu.Unlock()
	if len(report.Suspects) == 0 || !t.merge(report) {
		return 0
	}
	t.config.OnReport(report)
	return len(report.Suspects)
}

// mayHaveCaused reports whether the attempt may have caused a crash of the process that it
// has reached. If it ended long before, the process would have crashed earlier.
func (a *Attempt) mayHaveCaused(crashedAt time.Time) bool {
	return a.endedAt.IsZero() || crashedAt.Sub(a.endedAt) < settleTime
}

// reportLost reports the requests that this host has lost by a crash that another host has
// reported. It did not notice the crash if it lost them a moment before the upstream
// refused connections.
func (t *Table) reportLost(upstream ident.UpstreamID) {
	t.mu.Lock()
	lost := t.lostByCrash(upstream)
	t.mu.Unlock()
	if lost != nil {
		lost.Crashed()
	}
}

// lostByCrash returns an attempt that has been lost by a known crash of an upstream, nil
// if there is none. The caller holds the mutex.
func (t *Table) lostByCrash(upstream ident.UpstreamID) *Attempt {
	for process, list := range t.attempts {
		if process.Upstream != upstream {
			continue
		}
		for _, a := range list {
			crash, known := t.crashOf(a)
			if a.incomplete && known && a.mayHaveCaused(t.crashes[crash].at) {
				return a
			}
		}
	}
	return nil
}
