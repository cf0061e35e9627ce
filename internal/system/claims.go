package system

import (
	"bytes"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"slices"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/claim"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/kvjson"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	claimSeed      = 7
	submissionsRun = 40
	claimWorkers   = 8
	lateRepeats    = 2
)

// claimRun is a run of submissions that are repeated at once and later.
type claimRun struct {
	*deployment
	history *history
	ended   chan int // one for each worker
	killed  int      // entry host that lost its state; 0: none
}

// enter sends one request of a submission; number makes its body unique.
func (r *claimRun) enter(submission string, number, host int) send {
	body := fmt.Sprintf(`{"submission":%q,"send":"%s.%d"}`, submission, submission, number)
	made := record(submission, host, body, r.send(host, http.MethodPost, enterPath, body))
	r.history.add(made)
	return made
}

// submit sends a submission through two hosts at once and then through others.
func (r *claimRun) submit(submission string, hosts []int) {
	atOnce := make(chan send)
	for number, host := range hosts[:2] {
		go func() { atOnce <- r.enter(submission, number, host) }()
	}
	for range 2 {
		<-atOnce
	}
	for i := range lateRepeats {
		r.enter(submission, 2+i, hosts[(2+i)%entries])
	}
}

// work starts the workers.
func (r *claimRun) work(t *testing.T) {
	t.Logf("seed %d", claimSeed)
	random := rand.New(rand.NewPCG(claimSeed, 0))
	jobs := make(chan []int, submissionsRun)
	for range submissionsRun {
		hosts := random.Perm(entries)
		for i := range hosts {
			hosts[i]++
		}
		jobs <- hosts
	}
	close(jobs)
	for worker := range claimWorkers {
		go func() {
			number := 0
			for hosts := range jobs {
				number++
				r.submit(fmt.Sprintf("s%d-%d", worker, number), hosts)
			}
			r.ended <- worker
		}()
	}
}

// settle repeats every submission until its outcome is the same everywhere: an
// answered submission has to be answered again, unless only a killed host knew.
func (r *claimRun) settle(t *testing.T) {
	known := make(map[string]bool)
	for _, s := range r.history.all() {
		known[s.submission] = known[s.submission] || s.end == answered && s.host != r.killed
	}
	number := 100
	for submission, wasAnswered := range known {
		await(t, "settled outcome of "+submission, func() bool {
			number++
			made := r.enter(submission, number, 1+number%entries)
			return made.end == answered || made.end == unknown && !wasAnswered
		})
	}
}

// check reports every fault of the run.
func (r *claimRun) check(t *testing.T) {
	for _, fault := range faults(r.history.all(), r.allExecutions()) {
		t.Error(fault)
	}
}

// allExecutions returns the executions at all upstreams but those of reads.
func (r *claimRun) allExecutions() []upstreams.Execution {
	var all []upstreams.Execution
	for _, server := range r.servers() {
		all = append(all, r.executions(server)...)
	}
	return slices.DeleteFunc(all, func(e upstreams.Execution) bool { return e.Method == http.MethodGet })
}

// reach waits until n sends had one of the ends.
func (r *claimRun) reach(t *testing.T, n int, ends ...end) {
	t.Helper()
	await(t, fmt.Sprintf("%d sends that ended as %v", n, ends), func() bool { return r.history.count(ends...) >= n })
}

// The faults of the runs; each returns after the fault is over or is left to
// run out by itself.
func (r *claimRun) loseStoreAnswers(*testing.T) {
	r.storeFaults(platform.Faults{
		LoseResponse: 60,
	})
}

func (r *claimRun) stopStore(t *testing.T) {
	r.reach(t, 20)
	refused := r.history.count(notRun)
	r.storeFaults(platform.Faults{
		Down: true,
	})
	r.reach(t, refused+10, notRun)
	r.storeFaults(platform.Faults{})
}

func (r *claimRun) killHost(t *testing.T) {
	r.upstreamFaults(upstreams.Faults{
		Slow: 20,
	}, r.servers()...)
	r.reach(t, 20)
	r.killed = 1
	r.hosts[1].kill(t)
	r.reach(t, r.history.count()+20)
	r.startHost(1)
	r.awaitReady(1)
}

func (r *claimRun) loseUpstreamAnswers(*testing.T) {
	r.upstreamFaults(upstreams.Faults{
		LoseResponse: 4,
	}, r.servers()...)
}

// crashUpstreams makes one submission of each worker crash the upstream that
// executes it.
func (r *claimRun) crashUpstreams(*testing.T) {
	r.upstreamFaults(upstreams.Faults{
		CrashOn:  `-2",`,
		CrashFor: upstreams.Duration(200 * time.Millisecond),
	}, r.servers()...)
}

func newClaimRun(t *testing.T, s setup) *claimRun {
	return &claimRun{
		deployment: start(t, s),
		history:    &history{},
		ended:      make(chan int, claimWorkers),
	}
}

// holder passes the store's calls on. It holds back the answer to one claim
// until it is released.
type holder struct {
	armed   chan struct{} // has an element while the next claim is to be held back
	held    chan struct{} // receives when a claim has been written
	release chan struct{}
	pass    http.Handler
}

// serve starts the holder at an address of the layout's network.
func (h *holder) serve(t *testing.T, l standin.Layout) ident.Address {
	t.Helper()
	address := fmt.Sprintf("127.%d.0.2:7000", l.Net)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   string(l.PlatformAddress()),
	})
	transport := &http.Transport{}
	proxy.Transport = transport
	proxy.ErrorLog = log.New(io.Discard, "", 0) // the lost answers of the store
	proxy.ModifyResponse = func(response *http.Response) error {
		if response.Request.Header.Get(heldMark) != "" {
			h.held <- struct{}{}
			<-h.release
		}
		return nil
	}
	h.pass = proxy
	server := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: patience,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve the store's holder: %v", err)
		}
		transport.CloseIdleConnections()
	})
	return ident.Address(address)
}

// heldMark marks the call whose answer is held back.
const heldMark = "X-Test-Held"

// ServeHTTP implements http.Handler.
func (h *holder) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPut && request.URL.Path == kvjson.EntryPath {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(`"claim/`)) {
			select {
			case <-h.armed:
				request.Header.Set(heldMark, "yes")
			default:
			}
		}
	}
	h.pass.ServeHTTP(w, request)
}

// ownedBy returns a submission whose claim entry host i writes itself, as the
// owner of its partition.
func (d *deployment) ownedBy(t *testing.T, i int) string {
	t.Helper()
	table := peer.NewTable(peer.Row{
		Host:  d.hostID(1),
		State: peer.Alive,
	})
	var others []peer.Row
	for other := 2; other <= entries; other++ {
		others = append(others, peer.Row{
			Host:    d.hostID(other),
			Address: d.layout.PeerAddress(other),
			State:   peer.Alive,
		})
	}
	table.Merge(time.Now(), others)
	view := table.Snapshot()
	for number := range 1000 {
		submission := fmt.Sprintf("owned-%d", number)
		identity := claim.NewIdentity(entriesAPI, organisation, submission)
		if owner, ok := view.Owner(uint64(identity.Partition())); ok && owner == d.hostID(i) {
			return submission
		}
	}
	t.Fatalf("no submission is owned by entry host %d", i)
	return ""
}
