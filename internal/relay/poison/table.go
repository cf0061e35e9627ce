package poison

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// clearInterval is the shortest time between two statements that the same fingerprint
	// is sound.
	clearInterval = 5 * time.Second
	// clearCrashes is the number of crashes with which a sound fingerprint has to be
	// reported before other hosts are told that it is sound.
	clearCrashes = 2
)

// Config holds the dependencies of a Table. The functions are called without a lock,
// possibly concurrently.
type Config struct {
	Host ident.HostID
	Now  func() time.Time
	// OnReport is called with each report of this host.
	OnReport func(report peer.CrashReported)
	// OnSound is called with each fingerprint that other hosts may suspect although it is
	// sound.
	OnSound func(f Fingerprint)
	// OnVerdict is called with the blocked patterns when they have changed.
	OnVerdict func(blocked []Pattern)
	// MayProbe reports whether this host is the one that finds out whether a verdict is
	// wrong, see Table.Blocked.
	MayProbe func() bool
}

// Table collects reports of crashes and decides which requests are blocked. It is safe
// for concurrent use.
type Table struct {
	config Config

	mu       sync.Mutex
	attempts map[Process][]*Attempt
	sweptAt  time.Time // when attempts were last swept
	sound    soundTimes
	crashes  map[Process]*crash
	cleared  map[Fingerprint]time.Time // when any host last stated that a reported fingerprint is sound
	verdict  verdict
	probes   map[string]*probe // by the fingerprints of the pattern
	watchers map[*watcher]bool
	omitted  int // fingerprints for which a report or a crash had no room
}

// watcher waits for a request to be blocked.
type watcher struct {
	request *Request
	blocked func()
}

// NewTable returns a table without reports.
func NewTable(config Config) *Table {
	return &Table{
		config:   config,
		attempts: make(map[Process][]*Attempt),
		crashes:  make(map[Process]*crash),
		cleared:  make(map[Fingerprint]time.Time),
		probes:   make(map[string]*probe),
		watchers: make(map[*watcher]bool),
	}
}

// crashOf returns the process that an attempt has reached as reports on its crash name
// it, and whether there are any. Requests that are sent after the crash of the registered
// process, and before the registration of the next one is read, reach that one: the time
// of the attempt then stands for its incarnation. The caller holds the mutex.
func (t *Table) crashOf(a *Attempt) (process Process, known bool) {
	process = a.process
	for other, c := range t.crashes {
		switch {
		case other.Upstream != a.process.Upstream:
		case c.ended(a):
			if !known || c.at.Before(t.crashes[process].at) {
				process, known = other, true
			}
		case !known && c.isOf(a.process.Incarnation):
			process.Incarnation = ident.Incarnation(a.began.UnixMilli())
		}
	}
	return process, known
}

// Merge adds the report of another host, unless it is known. A report without a host, as
// in Evidence, counts only if no host's report on the process is known.
func (t *Table) Merge(report peer.CrashReported) {
	if t.merge(report) {
		t.reportLost(report.Upstream)
	}
}

// merge adds a report. It returns false if it is known or has expired.
func (t *Table) merge(report peer.CrashReported) bool {
	now := t.config.Now()
	if report.At.After(now) {
		report.At = now // in the store by a host whose clock is ahead
	}
	t.mu.Lock()
	notifyExpired := t.expire(now)
	known := t.reported(report)
	if now.Sub(report.At) >= reportRetention || known != nil && !known.adds(report) {
		t.mu.Unlock()
		notifyExpired()
		return false
	}
	if known == nil {
		known = newCrash(report.At)
		t.dropOldestCrash()
		t.crashes[Process{
			Upstream:    report.Upstream,
			Incarnation: report.Incarnation,
		}] = known
	}
	sound := func(f Fingerprint) bool { return t.sound.knownSince(f, now.Add(-soundPeriod)) }
	t.omitted += known.add(report, sound)
	t.dropOldestRest()
	t.recognise(report, known, sound)
	var publish []Fingerprint
	for f, counts := range known.all {
		if !counts && t.mustClear(now, f) {
			publish = append(publish, f)
		}
	}
	notify := t.update()
	t.mu.Unlock()
	t.publishSound(publish)
	notifyExpired()
	notify()
	return true
}

// reported returns the crash that a report is on, nil if no other report is. The caller
// holds the mutex.
func (t *Table) reported(report peer.CrashReported) *crash {
	var together *crash
	for process, c := range t.crashes {
		switch {
		case process.Upstream != report.Upstream:
		case c.isOf(report.Incarnation):
			return c
		case c.at.Sub(report.At).Abs() < minDowntime:
			together = c
		}
	}
	return together
}

// dropOldestCrash makes room for another crash. Crashes that are the reason of a block are
// dropped last. The caller holds the mutex.
func (t *Table) dropOldestCrash() {
	if len(t.crashes) < maxCrashes {
		return
	}
	explained := make(map[Process]bool)
	for _, pattern := range t.verdict.blocked {
		for _, process := range pattern.Crashes {
			explained[process] = true
		}
	}
	oldest := slices.MinFunc(slices.Collect(maps.Keys(t.crashes)), func(a, b Process) int {
		if explained[a] != explained[b] {
			if explained[b] {
				return -1
			}
			return 1
		}
		return t.crashes[a].at.Compare(t.crashes[b].at)
	})
	delete(t.crashes, oldest)
}

// dropOldestRest drops the short fingerprints of the oldest crash that has any, if a new report has
// made these crashes too many. The caller holds the mutex.
func (t *Table) dropOldestRest() {
	var with []*crash
	for _, c := range t.crashes {
		if len(c.rest) > 0 {
			with = append(with, c)
		}
	}
	if len(with) <= maxRestCrashes {
		return
	}
	oldest := slices.MinFunc(with, func(a, b *crash) int { return a.at.Compare(b.at) })
	oldest.dropRest()
}

// recognise makes crashes count against the fingerprints that their reports have as short ones, and
// those of other crashes in full. Only what a new report adds to the crash that it is on is looked
// at. The caller holds the mutex.
func (t *Table) recognise(report peer.CrashReported, reported *crash, sound func(f Fingerprint) bool) {
	for _, c := range t.crashes {
		if len(c.rest) == 0 {
			continue
		}
		for _, suspect := range report.Suspects {
			for _, f := range suspect.Fingerprints {
				c.recognise(f, sound)
			}
		}
	}
	if len(reported.rest) == 0 {
		return
	}
	for _, c := range t.crashes {
		for f := range c.all {
			reported.recognise(f, sound)
		}
	}
}

// Omitted returns the number of fingerprints that could not be reported or kept, since too many
// requests with too many parts were in flight at a crash.
func (t *Table) Omitted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.omitted
}

// expire drops the crashes that no longer count, and derives the verdict anew if there are any.
// The caller holds the mutex, and calls notify without, see update.
func (t *Table) expire(now time.Time) (notify func()) {
	expired := false
	for process, c := range t.crashes {
		if c.expired(now) {
			delete(t.crashes, process)
			expired = true
		}
	}
	for f, at := range t.cleared {
		if now.Sub(at) >= soundPeriod {
			delete(t.cleared, f)
		}
	}
	if !expired {
		return func() {}
	}
	return t.update()
}

// Sweep drops the crashes that no longer count. It has to be called at intervals.
func (t *Table) Sweep() {
	now := t.config.Now()
	t.mu.Lock()
	notify := t.expire(now)
	t.mu.Unlock()
	notify()
}

// markSound records that a request is sound. It returns the fingerprints that other hosts
// should know as sound. The caller holds the mutex.
func (t *Table) markSound(now time.Time, request *Request) []Fingerprint {
	var publish []Fingerprint
	for _, part := range request.parts {
		t.sound.add(now, part)
		if t.mustClear(now, part) {
			publish = append(publish, part)
		}
	}
	if len(t.crashes) > 0 && t.mustClear(now, request.contentFingerprint()) {
		publish = append(publish, request.contentFingerprint())
	}
	return publish
}

// mustClear reports whether other hosts should be told that a fingerprint is sound, since
// it has been reported with enough crashes to be suspected. The caller holds the mutex.
func (t *Table) mustClear(now time.Time, f Fingerprint) bool {
	reported := 0
	for _, c := range t.crashes {
		if _, ok := c.all[f]; ok {
			reported++
		}
	}
	last, ok := t.cleared[f]
	return reported >= clearCrashes && (!ok || now.Sub(last) >= clearInterval)
}

// publishSound makes crashes no longer count against fingerprints, and tells other hosts
// so.
func (t *Table) publishSound(fingerprints []Fingerprint) {
	for _, f := range fingerprints {
		t.Clear(f)
		t.config.OnSound(f)
	}
}

// Clear records that a fingerprint is sound, as this or another host has seen.
func (t *Table) Clear(f Fingerprint) {
	now := t.config.Now()
	t.mu.Lock()
	t.sound.add(now, f)
	t.cleared[f] = now
	for _, c := range t.crashes {
		c.clear(f)
	}
	notify := t.update()
	t.mu.Unlock()
	notify()
}

// Blocked reports whether a request is blocked, and after what time its caller may try
// again. A request that is blocked may be let through to find out whether the verdict is
// wrong.
func (t *Table) Blocked(request *Request) (retryAfter time.Duration, blocked bool) {
	t.mu.Lock()
	_, blocked = t.verdict.blocks(request)
	t.mu.Unlock()
	if !blocked {
		return 0, false
	}
	now, mayProbe := t.config.Now(), t.config.MayProbe()
	t.mu.Lock()
	defer t.mu.Unlock()
	pattern, blocked := t.verdict.blocks(request)
	if !blocked || mayProbe && t.probe(now, pattern, request) {
		return 0, false
	}
	return pattern.retryAfter(now), true
}

// BlockedPatterns returns the number of patterns of which requests are blocked.
func (t *Table) BlockedPatterns() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.verdict.blocked)
}

// MayRetry reports whether a request that an upstream has not responded to may be sent to
// another one.
func (t *Table) MayRetry(request *Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if request.probes {
		return false
	}
	if len(t.crashes) == 0 {
		return true
	}
	for f := range t.verdict.suspected {
		if request.has(f) {
			return false
		}
	}
	return true
}

// Watch calls blocked once if the request becomes blocked before stop is called.
func (t *Table) Watch(request *Request, blocked func()) (stop func()) {
	w := &watcher{
		request: request,
		blocked: blocked,
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watchers[w] = true
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.watchers, w)
	}
}

// update derives the verdict anew. It returns a function that notifies the watchers of
// requests that are blocked now; the caller holds the mutex, and calls it without.
func (t *Table) update() (notify func()) {
	before := t.verdict
	t.verdict = conclude(t.crashes)
	t.verdict.keepSince(t.config.Now(), before)
	var blocked []func()
	for w := range t.watchers {
		if w.request.responding {
			continue // if it were the cause, its upstream would be gone
		}
		if _, ok := t.verdict.blocks(w.request); ok {
			blocked = append(blocked, w.blocked)
			delete(t.watchers, w)
		}
	}
	patterns := t.verdict.blocked
	t.dropProbes()
	changed := !slices.EqualFunc(before.blocked, patterns, Pattern.equal)
	return func() {
		if changed {
			t.config.OnVerdict(patterns)
		}
		for _, f := range blocked {
			f()
		}
	}
}

// Evidence returns reports, without a host, from which hosts that know no others derive
// the patterns that are blocked now.
func (t *Table) Evidence() []peer.CrashReported {
	t.mu.Lock()
	defer t.mu.Unlock()
	var reports []peer.CrashReported
	for _, pattern := range t.verdict.blocked {
		reports = append(reports, t.evidence(pattern)...)
	}
	slices.SortFunc(reports, func(a, b peer.CrashReported) int {
		return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return reports
}

// evidence returns reports on the latest moments with crashes that a pattern explains, as
// many as block it. The caller holds the mutex.
func (t *Table) evidence(pattern Pattern) []peer.CrashReported {
	var reports []peer.CrashReported
	var later *crash // of the latest report
	for _, process := range pattern.Crashes {
		c := t.crashes[process]
		if later != nil && !later.follows(pattern.Fingerprints[0]) && later.at.Sub(c.at) < momentLength {
			continue
		}
		reports = append(reports, peer.CrashReported{
			Upstream:    process.Upstream,
			Incarnation: process.Incarnation,
			At:          c.at,
			Suspects: []peer.CrashSuspect{{
				Fingerprints: pattern.Fingerprints,
				Repeated:     c.follows(pattern.Fingerprints[0]),
			}},
		})
		if len(reports) == blockMoments {
			break
		}
		later = c
	}
	return reports
}
