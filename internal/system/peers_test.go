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
	startedFromPeer = "started with documents of a peer"
	listingFailed   = "document: listing failed"
	noDocument      = "no service document is known"
	// failedListings covers several rounds of attempts to list the documents, with
	// pulls from peers in between.
	failedListings = 3
	// States of entry hosts in the status.
	alive   = "alive"
	suspect = "suspect"
	down    = "down"
)

// Guards against an entry host that cannot start while the store is down although
// a peer has the documents, one that is ready without documents, and an error that
// states "unknown" for a submission whose claim never left the host.
func TestStartWithoutStore(t *testing.T) {
	tests := map[string]struct {
		disturbPeers      func(d *deployment, t *testing.T) // changes the other hosts or the links to them
		readyWithoutStore bool                              // entry host 1 becomes ready while the store is down
	}{
		"peers running":          {disturbPeers: func(*deployment, *testing.T) {}, readyWithoutStore: true},
		"one peer frozen":        {disturbPeers: func(d *deployment, t *testing.T) { d.hosts[2].freeze(t) }, readyWithoutStore: true},
		"one peer killed":        {disturbPeers: func(d *deployment, t *testing.T) { d.hosts[3].kill(t) }, readyWithoutStore: true},
		"peers killed":           {disturbPeers: (*deployment).killPeers},
		"links to all peers cut": {disturbPeers: func(d *deployment, _ *testing.T) { d.links.cutAll() }},
		"link to one peer cut":   {disturbPeers: func(d *deployment, _ *testing.T) { d.links.cut(1, 2) }, readyWithoutStore: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{
				withLinks:     true,
				extraSettings: "\n[log]\nlevel = debug\n", // all but the first failure of an outage are logged at this level
			})
			d.storeFaults(platform.Faults{
				Down: true,
			})
			d.hosts[1].kill(t)
			test.disturbPeers(d, t)
			d.startHost(1)
			if test.readyWithoutStore {
				d.awaitReady(1)
				await(t, "log line", func() bool { return d.hosts[1].output.countLines(startedFromPeer) > 0 })
				qt.Check(t, d.hosts[1].output.countLines(startedFromPeer), qt.Equals, 1)
				qt.Check(t, int(d.revision(1)), qt.Equals, 1)
				d.checkRead(1, "down")
				for owner := 1; owner <= entryHosts; owner++ {
					r := d.send(1, http.MethodPost, entriesPath, fmt.Sprintf(`{"submission":%q}`, d.submissionOwnedBy(t, owner)))
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
				return d.hosts[1].output.countLines(listingFailed) >= failedListings
			})
			qt.Check(t, d.hosts[1].output.countLines(startedFromPeer), qt.Equals, 0)
			d.storeFaults(platform.Faults{})
			d.awaitReady(1)
			d.checkRead(1, "up")
		})
	}
}

func (d *deployment) killPeers(t *testing.T) {
	for i := 2; i <= entryHosts; i++ {
		d.hosts[i].kill(t)
	}
}

// awaitRevision waits until a change of entries-api is in effect on the entry
// hosts, which must happen within effectLimit after its acceptance.
func (d *deployment) awaitRevision(t *testing.T, hosts []int, accepted acceptedChange) {
	t.Helper()
	for _, i := range hosts {
		await(t, fmt.Sprintf("revision %d on entry host %d", accepted.revision, i), func() bool { return d.revision(i) >= accepted.revision })
	}
	elapsed := time.Since(accepted.at)
	t.Logf("revision %d in effect on %d hosts after %v", accepted.revision, len(hosts), elapsed)
	qt.Check(t, elapsed < effectLimit, qt.IsTrue)
}

// applyChange applies a change of entries-api with the operators' command.
func (d *deployment) applyChange(t *testing.T, base ident.Revision) acceptedChange {
	t.Helper()
	command := d.apply(entriesAPI, d.writeVariant(int(base)), base, "operator")
	qt.Assert(t, command.exit(t), qt.Equals, 0, qt.Commentf("%s", command.output))
	return acceptedChange{
		revision: base + 1,
		at:       time.Now(),
	}
}

// Guards against a host without a watch that learns of a change only from its next
// listing, a watch on every host, and a failure domain that has no watch after its
// watching host has failed.
func TestDocumentsByGossip(t *testing.T) {
	const erie, huron, superior = "erie-hall", "huron-hall", "superior-hall"
	tests := map[string]struct {
		domains      [entryHosts + 1]ident.FailureDomain
		faults       platform.Faults
		withoutStore bool // entry host 1 cannot reach the store
		kill         bool // kills each entry host in turn, so that the third one has to watch
		watches      int  // two per failure domain, or one if it has a single host
	}{
		"three failure domains":                       {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: huron, 3: superior}, watches: 3},
		"two failure domains":                         {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: erie, 3: superior}, watches: 3},
		"one failure domain":                          {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: erie, 3: erie}, watches: 2},
		"one domain, slow store":                      {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: erie, 3: erie}, faults: platform.Faults{Delay: 300}, watches: 2},
		"one domain, hosts killed":                    {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: erie, 3: erie}, kill: true, watches: 2},
		"one host without the store":                  {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: huron, 3: superior}, withoutStore: true, watches: 2},
		"one host without the store, slow for others": {domains: [entryHosts + 1]ident.FailureDomain{1: erie, 2: huron, 3: superior}, withoutStore: true, faults: platform.Faults{Delay: 300}, watches: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{
				domains:      test.domains,
				withoutStore: test.withoutStore,
			})
			awaitWatches := func() {
				t.Helper()
				await(t, fmt.Sprintf("%d watches", test.watches), func() bool { return d.platformCounts().Watches == test.watches })
			}
			awaitWatches()
			d.storeFaults(test.faults)
			hosts := []int{1, 2, 3}
			d.awaitRevision(t, hosts, d.applyChange(t, 1))
			awaitWatches()
			if !test.kill {
				return
			}
			for i, killed := range hosts {
				d.hosts[killed].kill(t)
				others := slices.Delete(slices.Clone(hosts), i, i+1)
				awaitWatches()
				d.awaitRevision(t, others, d.applyChange(t, ident.Revision(2+i)))
				d.startHost(killed)
				d.awaitReady(killed)
				d.awaitPeers(hosts, alive)
				awaitWatches()
			}
		})
	}
}

// awaitIsolation waits until no entry host sees another one as alive, which shows
// that all links are cut.
func (d *deployment) awaitIsolation() {
	d.t.Helper()
	d.awaitPeers([]int{1, 2, 3}, suspect, down)
}

// checkReads checks that the entry hosts still serve repeatable requests.
func (r *claimRun) checkReads(hosts []int) {
	r.t.Helper()
	for _, i := range hosts {
		r.checkRead(i, fmt.Sprint(r.history.count()))
	}
}

// Guards against a submission that runs twice because hosts without a connection
// both claim it, a delayed claim that is granted again, and hosts that do not
// reconnect after a network partition.
func TestCutPeerLinks(t *testing.T) {
	all := []int{1, 2, 3}
	tests := map[string]struct {
		before      func(r *claimRun) // runs before the submissions start
		during      func(r *claimRun, t *testing.T)
		minOutcomes map[outcome]int
	}{
		"all links cut before the submissions": {
			before:      func(r *claimRun) { r.links.cutAll() },
			during:      func(r *claimRun, _ *testing.T) { r.awaitIsolation() },
			minOutcomes: map[outcome]int{answered: submissionCount},
		},
		"all links cut during the submissions": {
			during: func(r *claimRun, t *testing.T) {
				r.awaitRequests(t, 20)
				r.links.cutAll()
				r.awaitIsolation()
			},
			minOutcomes: map[outcome]int{answered: submissionCount},
		},
		"links cut and restored repeatedly": {
			during: func(r *claimRun, t *testing.T) {
				for range 4 {
					sent := r.history.count()
					r.links.cutAll()
					r.awaitRequests(t, min(sent+15, submissionCount*(2+lateRetries)))
					r.links.restore()
				}
				r.links.cutAll()
				r.awaitIsolation()
			},
			minOutcomes: map[outcome]int{answered: submissionCount},
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
			minOutcomes: map[outcome]int{answered: submissionCount},
		},
		"all links cut, store loses responses": {
			before: func(r *claimRun) { r.links.cutAll() },
			during: func(r *claimRun, t *testing.T) {
				r.loseStoreResponses(t)
				r.awaitIsolation()
			},
			minOutcomes: map[outcome]int{answered: submissionCount},
		},
		"all links cut, host killed": {
			before: func(r *claimRun) {
				r.links.cutAll()
				r.awaitIsolation()
			},
			during:      (*claimRun).killHost,
			minOutcomes: map[outcome]int{answered: submissionCount, incomplete: 1},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newClaimRun(t, setup{
				withLinks: true,
			})
			r.awaitPeers(all, alive)
			if test.before != nil {
				test.before(r)
			}
			r.startWorkers(t)
			test.during(r, t)
			r.checkReads(all)
			for range claimWorkers {
				<-r.workersDone
			}
			r.checkReads(all)
			r.storeFaults(platform.Faults{})
			r.upstreamFaults(upstreams.Faults{}, r.servers()...)
			r.links.restore()
			r.awaitPeers(all, alive)
			r.awaitOutcomes(t)
			r.check(t)
			for result, n := range test.minOutcomes {
				qt.Check(t, r.history.count(result) >= n, qt.IsTrue, qt.Commentf("%d requests with outcome %q, want at least %d", r.history.count(result), result, n))
			}
		})
	}
}

// Guards against an upstream that rejected a request of one entry host as leaving
// and still gets new work from the others, which have had no rejection and whose
// host list shows it as live. The case with the links cut shows that the check
// detects such work.
func TestLeavingMarkByGossip(t *testing.T) {
	checkLeavingMarks(t, map[string]leavingMarkTest{
		"peers running":               {disturb: func(*deployment, *testing.T) {}},
		"store down":                  {disturb: func(d *deployment, _ *testing.T) { d.storeFaults(platform.Faults{Down: true}) }},
		"direct link to one peer cut": {disturb: func(d *deployment, _ *testing.T) { d.links.cut(1, 2) }},
		"all links of the host cut": {
			disturb: func(d *deployment, _ *testing.T) {
				d.links.cut(1, 2)
				d.links.cut(1, 3)
			},
			lateWork: true,
		},
	})
}

// Guards against a leaving mark that is lost while entry hosts that have just
// started are still connecting to each other.
func TestLeavingMarkAtStart(t *testing.T) {
	checkLeavingMarks(t, map[string]leavingMarkTest{
		"peers running": {disturb: func(*deployment, *testing.T) {}, skipConnect: true},
		"store down":    {disturb: func(d *deployment, _ *testing.T) { d.storeFaults(platform.Faults{Down: true}) }, skipConnect: true},
	})
}

// leavingMarkTest is a test case in which only entry host 1 has been rejected by
// the leaving upstream.
type leavingMarkTest struct {
	disturb     func(d *deployment, t *testing.T)
	skipConnect bool // does not wait until the entry hosts are connected
	lateWork    bool // the other hosts send work after leavingLimit
}

func checkLeavingMarks(t *testing.T, tests map[string]leavingMarkTest) {
	t.Helper()
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := startDeployment(t, setup{
				withLinks: true,
			})
			d.awaitPeers([]int{1, 2, 3}, alive)
			if !test.skipConnect {
				await(t, "connections between entry hosts", d.links.allUsed)
			}
			test.disturb(d, t)
			leaving := d.servers()[0]
			id := ident.UpstreamID(leaving.Name)
			// Only entry host 1 sends requests while the upstream rejects them.
			d.upstreamFaults(upstreams.Faults{
				Leaving: true,
			}, leaving)
			number := 0
			await(t, "leaving mark on entry host 1", func() bool {
				number++
				d.checkRead(1, fmt.Sprintf("first-%d", number))
				return d.upstreamState(1, id) == upstream.StateLeaving
			})
			marked := time.Now()
			d.upstreamFaults(upstreams.Faults{}, leaving)
			qt.Check(t, d.executions(leaving), qt.HasLen, 0)
			workload := startLoad(t, &load{
				deployment: d,
				pickHost:   func(random *rand.Rand) int { return 2 + random.IntN(entryHosts-1) },
				workers:    4,
				reads:      true,
			})
			countLate := func(at hostlist.Host) int {
				late := 0
				for _, execution := range d.executions(at) {
					if execution.Time.After(marked.Add(leavingLimit)) {
						late++
					}
				}
				return late
			}
			await(t, "time after the limit", func() bool {
				return time.Since(marked) > leavingLimit+time.Second && countLate(d.servers()[1]) > 0 && (!test.lateWork || countLate(leaving) > 0)
			})
			for _, request := range workload.finish() {
				if request.failure != "" {
					t.Errorf("host %d, %s: %s", request.host, request.key, request.failure)
				}
			}
			late := countLate(leaving)
			qt.Check(t, late > 0, qt.Equals, test.lateWork, qt.Commentf("%d executions after the limit", late))
			qt.Check(t, countLate(d.servers()[1]) > 0, qt.IsTrue, qt.Commentf("no work at another upstream"))
		})
	}
}

// Guards against a request that crashes another upstream each time it is sent
// because the entry hosts cannot exchange its fingerprint. Hosts that communicate
// lose at most two upstreams; each host that they cannot reach adds one, since it
// runs the request once before it reads the record in the store.
func TestCrashingRequestWithCutLinks(t *testing.T) {
	tests := map[string]struct {
		cut        func(l *links)
		faults     platform.Faults
		maxCrashes int  // at most this many engine crashes
		minCrashes int  // at least this many, which shows that the cut took effect
		undecided  bool // the store is down, so that the request stays suspect and is not quarantined
	}{
		"no link cut": {cut: func(*links) {}, maxCrashes: maxCrashed, minCrashes: 1},
		"one host cut off, sends first": {cut: func(l *links) {
			l.cut(1, 2)
			l.cut(1, 3)
		}, maxCrashes: maxCrashed + 1, minCrashes: maxCrashed + 1},
		"one host cut off, sends last": {cut: func(l *links) {
			l.cut(3, 1)
			l.cut(3, 2)
		}, maxCrashes: maxCrashed + 1, minCrashes: maxCrashed + 1},
		"all links cut":             {cut: (*links).cutAll, maxCrashes: maxCrashed + entryHosts - 1, minCrashes: maxCrashed + entryHosts - 1},
		"all links cut, store down": {cut: (*links).cutAll, faults: platform.Faults{Down: true}, maxCrashes: entryHosts, minCrashes: entryHosts, undecided: true},
		"no link cut, store down":   {cut: func(*links) {}, faults: platform.Faults{Down: true}, maxCrashes: 1, minCrashes: 1, undecided: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := startDeployment(t, setup{
				withLinks: true,
			})
			all := []int{1, 2, 3}
			d.awaitPeers(all, alive)
			await(t, "connections between entry hosts", d.links.allUsed)
			test.cut(d.links)
			d.storeFaults(test.faults)
			for _, i := range all {
				for _, peer := range all {
					if i != peer && d.links.isCut(i, peer) {
						await(t, "suspicion", func() bool { return d.peerState(i, peer) != alive })
					}
				}
			}
			d.upstreamFaults(upstreams.Faults{
				CrashOn:  poison,
				CrashFor: upstreams.Duration(200 * time.Millisecond),
			}, d.pool(nutmegPool, "engines")...)
			for i := range resendCount {
				a := d.sendChat(chatRequest{
					prompt: poison,
					host:   i/entryHosts + 1,
				})
				c.Assert(a.failed, qt.IsTrue, qt.Commentf("%+v", a))

			}
			c.Check(d.crashCount() <= test.maxCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashCount()))
			c.Check(d.crashCount() >= test.minCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashCount()))
			if test.undecided {
				return
			}
			for _, i := range all {
				r := d.send(i, http.MethodPost, chatPath, `{"messages":[{"role":"user","content":"`+poison+`"}]}`)
				c.Check(r.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("host %d: %s", i, r.body))
			}
			c.Check(d.crashCount() <= test.maxCrashes, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashCount()))
		})
	}
}

// Guards against a leaving mark that is lost because every transmission of its
// rumour took place while the links were cut.
func TestLeavingMarkAfterRestoredLinks(t *testing.T) {
	t.Parallel()
	d := startDeployment(t, setup{
		withLinks: true,
	})
	await(t, "connections between entry hosts", d.links.allUsed)
	d.links.cutAll()
	d.awaitIsolation()
	leaving := d.servers()[0]
	id := ident.UpstreamID(leaving.Name)
	d.upstreamFaults(upstreams.Faults{
		Leaving: true,
	}, leaving)
	number := 0
	await(t, "leaving mark on entry host 1", func() bool {
		number++
		d.checkRead(1, fmt.Sprint(number))
		return d.upstreamState(1, id) == upstream.StateLeaving
	})
	marked := time.Now()
	d.upstreamFaults(upstreams.Faults{}, leaving)
	await(t, "time for all transmissions", func() bool { return time.Since(marked) > 2*time.Second })
	d.links.restore()
	d.awaitPeers([]int{1, 2, 3}, alive)
	restored := time.Now()
	await(t, "leaving mark on the other entry hosts", func() bool {
		return time.Since(restored) > leavingLimit || d.upstreamState(2, id) == upstream.StateLeaving && d.upstreamState(3, id) == upstream.StateLeaving
	})
	qt.Check(t, d.upstreamState(2, id), qt.Equals, upstream.StateLeaving)
	qt.Check(t, d.upstreamState(3, id), qt.Equals, upstream.StateLeaving)
}
