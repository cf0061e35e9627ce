package system

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/upstream"
)

const (
	startedByPeer = "started with documents of a peer"
	listingFailed = "document: listing failed"
	noDocument    = "no service document is known"
	// failedListings are several rounds of attempts, with pulls in between.
	failedListings = 3
	// The states of entry hosts in the status.
	alive   = "alive"
	suspect = "suspect"
	down    = "down"
)

// Guards against an entry host that cannot start while the store is down though
// a peer has the documents, one that asks for callers without documents, and a
// refusal as unknown of a submission whose claim never left the host.
func TestStartWithoutStore(t *testing.T) {
	tests := map[string]struct {
		around func(d *deployment, t *testing.T) // the other hosts
		ready  bool                              // while the store is down
	}{
		"peers run":               {around: func(*deployment, *testing.T) {}, ready: true},
		"one peer frozen":         {around: func(d *deployment, t *testing.T) { d.hosts[2].freeze(t) }, ready: true},
		"one peer killed":         {around: func(d *deployment, t *testing.T) { d.hosts[3].kill(t) }, ready: true},
		"peers killed":            {around: (*deployment).killPeers},
		"links to all peers cut":  {around: func(d *deployment, _ *testing.T) { d.links.cutAll() }},
		"link to one peer is cut": {around: func(d *deployment, _ *testing.T) { d.links.cut(1, 2) }, ready: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{
				linked:   true,
				settings: "\n[log]\nlevel = debug\n", // later failures of an outage are logged at this level
			})
			d.storeFaults(platform.Faults{
				Down: true,
			})
			d.hosts[1].kill(t)
			test.around(d, t)
			d.startHost(1)
			if test.ready {
				d.awaitReady(1)
				qt.Check(t, d.hosts[1].output.count(startedByPeer), qt.Equals, 1)
				qt.Check(t, int(d.revision(1)), qt.Equals, 1)
				d.checkRead(1, "down")
				for owner := 1; owner <= entries; owner++ {
					r := d.send(1, http.MethodPost, enterPath, fmt.Sprintf(`{"submission":%q}`, d.ownedBy(t, owner)))
					qt.Check(t, r.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("owner %d: %s", owner, r.body))
					qt.Check(t, r.ran(), qt.Equals, false)
				}
				return
			}
			await(t, "attempts to read the store", func() bool {
				status, ok := d.status(1)
				if ok && (status.Ready || status.Reason != noDocument) {
					t.Fatalf("ready: %t, reason %q", status.Ready, status.Reason)
				}
				return d.hosts[1].output.count(listingFailed) >= failedListings
			})
			qt.Check(t, d.hosts[1].output.count(startedByPeer), qt.Equals, 0)
			d.storeFaults(platform.Faults{})
			d.awaitReady(1)
			d.checkRead(1, "up")
		})
	}
}

func (d *deployment) killPeers(t *testing.T) {
	for i := 2; i <= entries; i++ {
		d.hosts[i].kill(t)
	}
}

// inForce waits until all entry hosts have a revision of entries-api, at most
// effectLimit after its acceptance.
func (d *deployment) inForce(t *testing.T, hosts []int, accepted acceptance) {
	t.Helper()
	for _, i := range hosts {
		await(t, fmt.Sprintf("revision %d on entry host %d", accepted.revision, i), func() bool { return d.revision(i) >= accepted.revision })
	}
	took := time.Since(accepted.at)
	t.Logf("revision %d in effect on %d hosts after %v", accepted.revision, len(hosts), took)
	qt.Check(t, took < effectLimit, qt.IsTrue)
}

// change applies a change of entries-api through the command line.
func (d *deployment) change(t *testing.T, base ident.Revision) acceptance {
	t.Helper()
	command := d.apply(entriesAPI, d.variant(int(base)), base, "operator")
	qt.Assert(t, command.exit(t), qt.Equals, 0, qt.Commentf("%s", command.output))
	return acceptance{
		revision: base + 1,
		at:       time.Now(),
	}
}

// Guards against a host that does not watch and learns of a change by its next
// listing only, a watch on every host, and a failure domain without a watch
// after its watcher has failed.
func TestDocumentsByGossip(t *testing.T) {
	const one, two, three = "erie-hall", "huron-hall", "superior-hall"
	tests := map[string]struct {
		domains  [entries + 1]ident.FailureDomain
		faults   platform.Faults
		detached bool // entry host 1 cannot reach the store
		kill     bool // each entry host in turn, which makes a watcher of the third
		watches  int  // two for each failure domain, if it has as many hosts
	}{
		"a failure domain each":         {domains: [entries + 1]ident.FailureDomain{1: one, 2: two, 3: three}, watches: 3},
		"two failure domains":           {domains: [entries + 1]ident.FailureDomain{1: one, 2: one, 3: three}, watches: 3},
		"one failure domain":            {domains: [entries + 1]ident.FailureDomain{1: one, 2: one, 3: one}, watches: 2},
		"one domain, slow store":        {domains: [entries + 1]ident.FailureDomain{1: one, 2: one, 3: one}, faults: platform.Faults{Delay: 300}, watches: 2},
		"one domain, hosts killed":      {domains: [entries + 1]ident.FailureDomain{1: one, 2: one, 3: one}, kill: true, watches: 2},
		"host without the store":        {domains: [entries + 1]ident.FailureDomain{1: one, 2: two, 3: three}, detached: true, watches: 2},
		"no store for one, slow others": {domains: [entries + 1]ident.FailureDomain{1: one, 2: two, 3: three}, detached: true, faults: platform.Faults{Delay: 300}, watches: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{
				domains:  test.domains,
				detached: test.detached,
			})
			watched := func() {
				t.Helper()
				await(t, fmt.Sprintf("%d watches", test.watches), func() bool { return d.counts().Watches == test.watches })
			}
			watched()
			d.storeFaults(test.faults)
			hosts := []int{1, 2, 3}
			d.inForce(t, hosts, d.change(t, 1))
			watched()
			if !test.kill {
				return
			}
			for i, killed := range hosts {
				d.hosts[killed].kill(t)
				others := slices.Delete(slices.Clone(hosts), i, i+1)
				watched()
				d.inForce(t, others, d.change(t, ident.Revision(2+i)))
				d.startHost(killed)
				d.awaitReady(killed)
				d.awaitPeers(hosts, alive)
				watched()
			}
		})
	}
}

// isolated waits until no entry host sees another one as alive, which shows
// that the links are cut.
func (d *deployment) isolated() {
	d.t.Helper()
	d.awaitPeers([]int{1, 2, 3}, suspect, down)
}

// readEverywhere shows that repeatable work goes on.
func (r *claimRun) readEverywhere(hosts []int) {
	r.t.Helper()
	for _, i := range hosts {
		r.checkRead(i, fmt.Sprint(r.history.count()))
	}
}

// Guards against a submission that runs twice because hosts that cannot talk
// both claim it, a claim that arrives late and counts again, and hosts that do
// not find each other after a partition.
func TestCutPeerLinks(t *testing.T) {
	all := []int{1, 2, 3}
	tests := map[string]struct {
		before func(r *claimRun) // the submissions
		during func(r *claimRun, t *testing.T)
		least  map[end]int
	}{
		"all cut before": {
			before: func(r *claimRun) { r.links.cutAll() },
			during: func(r *claimRun, _ *testing.T) { r.isolated() },
			least:  map[end]int{answered: submissionsRun},
		},
		"all cut during": {
			during: func(r *claimRun, t *testing.T) {
				r.reach(t, 20)
				r.links.cutAll()
				r.isolated()
			},
			least: map[end]int{answered: submissionsRun},
		},
		"cut and restored again and again": {
			during: func(r *claimRun, t *testing.T) {
				for range 4 {
					sent := r.history.count()
					r.links.cutAll()
					r.reach(t, min(sent+15, submissionsRun*(2+lateRepeats)))
					r.links.restore()
				}
				r.links.cutAll()
				r.isolated()
			},
			least: map[end]int{answered: submissionsRun},
		},
		"one host cut off": {
			before: func(r *claimRun) {
				r.links.cut(1, 2)
				r.links.cut(1, 3)
			},
			during: func(r *claimRun, _ *testing.T) {
				r.awaitPeers([]int{1, 2}, suspect, down)
				r.awaitPeers([]int{1, 3}, suspect, down)
				r.awaitPeers([]int{2, 3}, alive)
			},
			least: map[end]int{answered: submissionsRun},
		},
		"all cut, store loses answers": {
			before: func(r *claimRun) { r.links.cutAll() },
			during: func(r *claimRun, t *testing.T) {
				r.loseStoreAnswers(t)
				r.isolated()
			},
			least: map[end]int{answered: submissionsRun},
		},
		"all cut, host killed": {
			before: func(r *claimRun) {
				r.links.cutAll()
				r.isolated()
			},
			during: (*claimRun).killHost,
			least:  map[end]int{answered: submissionsRun, broken: 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newClaimRun(t, setup{
				linked: true,
			})
			r.awaitPeers(all, alive)
			if test.before != nil {
				test.before(r)
			}
			r.work(t)
			test.during(r, t)
			r.readEverywhere(all)
			for range claimWorkers {
				<-r.ended
			}
			r.readEverywhere(all)
			r.storeFaults(platform.Faults{})
			r.upstreamFaults(upstreams.Faults{}, r.servers()...)
			r.links.restore()
			r.awaitPeers(all, alive)
			r.settle(t)
			r.check(t)
			for e, n := range test.least {
				qt.Check(t, r.history.count(e) >= n, qt.IsTrue, qt.Commentf("%d sends ended as %q, want at least %d", r.history.count(e), e, n))
			}
		})
	}
}

// Guards against an upstream that refused one entry host as leaving and still
// gets new work from the others, which saw nothing and whose host list shows it
// as live. With the links cut the same check must find such work.
func TestLeavingMarkByGossip(t *testing.T) {
	checkLeavingMarks(t, map[string]leavingMark{
		"peers run":                      {before: func(*deployment, *testing.T) {}},
		"store down":                     {before: func(d *deployment, _ *testing.T) { d.storeFaults(platform.Faults{Down: true}) }},
		"direct link to one peer is cut": {before: func(d *deployment, _ *testing.T) { d.links.cut(1, 2) }},
		"links of the host are cut": {
			before: func(d *deployment, _ *testing.T) {
				d.links.cut(1, 2)
				d.links.cut(1, 3)
			},
			late: true,
		},
	})
}

// Guards against a mark that is lost while entry hosts that have just started
// still connect to each other.
func TestLeavingMarkAtStart(t *testing.T) {
	checkLeavingMarks(t, map[string]leavingMark{
		"peers run":  {before: func(*deployment, *testing.T) {}, starting: true},
		"store down": {before: func(d *deployment, _ *testing.T) { d.storeFaults(platform.Faults{Down: true}) }, starting: true},
	})
}

// leavingMark is a case of a mark that only entry host 1 has seen.
type leavingMark struct {
	before   func(d *deployment, t *testing.T)
	starting bool // the hosts may not be connected yet
	late     bool // the others send work after the limit
}

func checkLeavingMarks(t *testing.T, tests map[string]leavingMark) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := start(t, setup{
				linked: true,
			})
			d.awaitPeers([]int{1, 2, 3}, alive)
			if !test.starting {
				await(t, "connections between entry hosts", d.links.connected)
			}
			test.before(d, t)
			leaving := d.servers()[0]
			id := ident.UpstreamID(leaving.Name)
			// Only entry host 1 sends requests while the upstream refuses.
			d.upstreamFaults(upstreams.Faults{
				Leaving: true,
			}, leaving)
			number := 0
			await(t, "mark on entry host 1", func() bool {
				number++
				d.checkRead(1, fmt.Sprintf("first-%d", number))
				return d.stateAt(1, id) == upstream.StateLeaving
			})
			marked := time.Now()
			d.upstreamFaults(upstreams.Faults{}, leaving)
			qt.Check(t, d.executions(leaving), qt.HasLen, 0)
			l := startLoad(t, &load{
				deployment: d,
				pick:       func(random *rand.Rand) int { return 2 + random.IntN(entries-1) },
				workers:    4,
				reads:      true,
			})
			count := func(at hostlist.Host) int {
				late := 0
				for _, e := range d.executions(at) {
					if e.Time.After(marked.Add(leavingLimit)) {
						late++
					}
				}
				return late
			}
			await(t, "time after the limit", func() bool {
				return time.Since(marked) > leavingLimit+time.Second && count(d.servers()[1]) > 0 && (!test.late || count(leaving) > 0)
			})
			for _, w := range l.finish() {
				if w.flaw != "" {
					t.Errorf("host %d, %s: %s", w.host, w.key, w.flaw)
				}
			}
			late := count(leaving)
			qt.Check(t, late > 0, qt.Equals, test.late, qt.Commentf("%d executions after the limit", late))
			qt.Check(t, count(d.servers()[1]) > 0, qt.IsTrue, qt.Commentf("no work elsewhere"))
		})
	}
}

// Guards against a content that crashes an upstream for each time it is sent,
// because the hosts cannot tell each other. At most two upstreams are lost
// among hosts that communicate; each host that the first ones cannot reach adds
// one, since it runs the content once before it reads the record in the store.
func TestCrashingRequestWithCutLinks(t *testing.T) {
	tests := map[string]struct {
		cut       func(l *links)
		faults    platform.Faults
		crashes   int // at most
		least     int // else the cut had no effect
		undecided bool
	}{
		"no link cut": {cut: func(*links) {}, crashes: maxLost, least: 1},
		"one host cut off, sends first": {cut: func(l *links) {
			l.cut(1, 2)
			l.cut(1, 3)
		}, crashes: maxLost + 1, least: maxLost + 1},
		"one host cut off, sends last": {cut: func(l *links) {
			l.cut(3, 1)
			l.cut(3, 2)
		}, crashes: maxLost + 1, least: maxLost + 1},
		"all links cut":             {cut: (*links).cutAll, crashes: maxLost + entries - 1, least: maxLost + entries - 1},
		"all links cut, store down": {cut: (*links).cutAll, faults: platform.Faults{Down: true}, crashes: entries, least: entries, undecided: true},
		"no link cut, store down":   {cut: func(*links) {}, faults: platform.Faults{Down: true}, crashes: 1, least: 1, undecided: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := start(t, setup{
				linked: true,
			})
			all := []int{1, 2, 3}
			d.awaitPeers(all, alive)
			await(t, "connections between entry hosts", d.links.connected)
			test.cut(d.links)
			d.storeFaults(test.faults)
			for _, i := range all {
				for _, of := range all {
					if i != of && d.links.isCut(i, of) {
						await(t, "suspicion", func() bool { return d.peerState(i, of) != alive })
					}
				}
			}
			d.upstreamFaults(upstreams.Faults{
				CrashOn:  poison,
				CrashFor: upstreams.Duration(200 * time.Millisecond),
			}, d.pool(nutmegPool, "engines")...)
			for i := range resends {
				a := d.chat(chat{
					prompt: poison,
					host:   i/entries + 1,
				})
				c.Assert(a.failed, qt.IsTrue, qt.Commentf("%+v", a))

			}
			c.Check(d.crashes() <= test.crashes, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashes()))
			c.Check(d.crashes() >= test.least, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashes()))
			if test.undecided {
				return
			}
			for _, i := range all {
				r := d.send(i, http.MethodPost, chatPath, `{"messages":[{"role":"user","content":"`+poison+`"}]}`)
				c.Check(r.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("host %d: %s", i, r.body))
			}
			c.Check(d.crashes() <= test.crashes, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashes()))
		})
	}
}

// Guards against a leaving mark that is lost because every transmission of its
// rumour fell into a time without links.
func TestLeavingMarkAfterRestoredLinks(t *testing.T) {
	t.Parallel()
	d := start(t, setup{
		linked: true,
	})
	await(t, "connections between entry hosts", d.links.connected)
	d.links.cutAll()
	d.isolated()
	leaving := d.servers()[0]
	id := ident.UpstreamID(leaving.Name)
	d.upstreamFaults(upstreams.Faults{
		Leaving: true,
	}, leaving)
	number := 0
	await(t, "mark on entry host 1", func() bool {
		number++
		d.checkRead(1, fmt.Sprint(number))
		return d.stateAt(1, id) == upstream.StateLeaving
	})
	marked := time.Now()
	d.upstreamFaults(upstreams.Faults{}, leaving)
	await(t, "time for all transmissions", func() bool { return time.Since(marked) > 2*time.Second })
	d.links.restore()
	d.awaitPeers([]int{1, 2, 3}, alive)
	restored := time.Now()
	await(t, "mark on the others", func() bool {
		return time.Since(restored) > leavingLimit || d.stateAt(2, id) == upstream.StateLeaving && d.stateAt(3, id) == upstream.StateLeaving
	})
	qt.Check(t, d.stateAt(2, id), qt.Equals, upstream.StateLeaving)
	qt.Check(t, d.stateAt(3, id), qt.Equals, upstream.StateLeaving)
}
