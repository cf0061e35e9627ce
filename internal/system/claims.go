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
	claimSeed       = 7
	submissionCount = 40
	claimWorkers    = 8
	lateRetries     = 2
)

// claimRun is a test run of submissions, each of which is sent through two entry
// hosts concurrently and retried later.
type claimRun struct {
	*deployment
	history     *history
	workersDone chan int // receives once from each worker
	killedHost  int      // entry host that was killed and so lost its state; 0: none
}

// submitOnce sends one request of a submission. The serial number makes its body
// unique.
func (r *claimRun) submitOnce(submission string, serial, host int) submitRequest {
	body := fmt.Sprintf(`{"submission":%q,"send":"%s.%d"}`, submission, submission, serial)
	sent := classify(submission, host, body, r.send(host, http.MethodPost, entriesPath, body))
	r.history.add(sent)
	return sent
}

// submitWithRetries sends a submission through two hosts concurrently and then
// retries it through the others.
func (r *claimRun) submitWithRetries(submission string, hosts []int) {
	concurrent := make(chan submitRequest)
	for serial, host := range hosts[:2] {
		go func() { concurrent <- r.submitOnce(submission, serial, host) }()
	}
	for range 2 {
		<-concurrent
	}
	for i := range lateRetries {
		r.submitOnce(submission, 2+i, hosts[(2+i)%entryHosts])
	}
}

// startWorkers starts the goroutines that send all submissions.
func (r *claimRun) startWorkers(t *testing.T) {
	t.Logf("seed %d", claimSeed)
	random := rand.New(rand.NewPCG(claimSeed, 0))
	jobs := make(chan []int, submissionCount)
	for range submissionCount {
		hosts := random.Perm(entryHosts)
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
				r.submitWithRetries(fmt.Sprintf("s%d-%d", worker, number), hosts)
			}
			r.workersDone <- worker
		}()
	}
}

// awaitOutcomes retries every submission until its outcome is final: a submission
// that was answered must be answered again, unless only the killed host had the
// outcome.
func (r *claimRun) awaitOutcomes(t *testing.T) {
	wasAnswered := make(map[string]bool)
	for _, s := range r.history.all() {
		wasAnswered[s.submission] = wasAnswered[s.submission] || s.outcome == answered && s.host != r.killedHost
	}
	serial := 100
	for submission, answeredBefore := range wasAnswered {
		await(t, "final outcome of "+submission, func() bool {
			serial++
			sent := r.submitOnce(submission, serial, 1+serial%entryHosts)
			return sent.outcome == answered || sent.outcome == unknown && !answeredBefore
		})
	}
}

// check reports every violation of the at-most-once guarantee.
func (r *claimRun) check(t *testing.T) {
	for _, problem := range checkHistory(r.history.all(), r.allExecutions()) {
		t.Error(problem)
	}
}

// allExecutions returns the executions at all upstreams of entries-api, without
// reads.
func (r *claimRun) allExecutions() []upstreams.Execution {
	var all []upstreams.Execution
	for _, server := range r.servers() {
		all = append(all, r.executions(server)...)
	}
	return slices.DeleteFunc(all, func(e upstreams.Execution) bool { return e.Method == http.MethodGet })
}

// awaitRequests waits until n requests have ended with one of the outcomes, or
// with any if none is given.
func (r *claimRun) awaitRequests(t *testing.T, n int, outcomes ...outcome) {
	t.Helper()
	await(t, fmt.Sprintf("%d requests with outcome %v", n, outcomes), func() bool { return r.history.count(outcomes...) >= n })
}

// The following methods inject the faults of the runs. Each returns once the
// fault is over or needs no further action.

// loseStoreResponses makes the store lose the responses to its next writes.
func (r *claimRun) loseStoreResponses(*testing.T) {
	r.storeFaults(platform.Faults{
		LoseResponse: 60,
	})
}

// stopStore takes the store down until some requests have been rejected.
func (r *claimRun) stopStore(t *testing.T) {
	r.awaitRequests(t, 20)
	rejected := r.history.count(notRun)
	r.storeFaults(platform.Faults{
		Down: true,
	})
	r.awaitRequests(t, rejected+10, notRun)
	r.storeFaults(platform.Faults{})
}

// killHost kills entry host 1 while requests are in progress and restarts it later.
func (r *claimRun) killHost(t *testing.T) {
	r.upstreamFaults(upstreams.Faults{
		Slow: 20,
	}, r.servers()...)
	r.awaitRequests(t, 20)
	r.killedHost = 1
	r.hosts[1].kill(t)
	r.awaitRequests(t, r.history.count()+20)
	r.startHost(1)
	r.awaitReady(1)
}

// loseUpstreamResponses makes every upstream lose its next responses.
func (r *claimRun) loseUpstreamResponses(*testing.T) {
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
		deployment:  startDeployment(t, s),
		history:     &history{},
		workersDone: make(chan int, claimWorkers),
	}
}

// storeProxy forwards calls to the store. It delays the response to one claim
// until it is told to release it.
type storeProxy struct {
	armed        chan struct{} // has an element while the next claim is to be delayed
	delayed      chan struct{} // receives when the delayed claim has been written
	release      chan struct{} // a value releases the delayed response
	reverseProxy http.Handler
}

// serve starts the proxy at an address of the layout's network.
func (p *storeProxy) serve(t *testing.T, l standin.Layout) ident.Address {
	t.Helper()
	address := fmt.Sprintf("127.%d.0.2:7000", l.Net)
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	reverseProxy := httputil.NewSingleHostReverseProxy(&url.URL{
		Scheme: "http",
		Host:   string(l.PlatformAddress()),
	})
	transport := &http.Transport{}
	reverseProxy.Transport = transport
	reverseProxy.ErrorLog = log.New(io.Discard, "", 0) // responses that the store loses on purpose
	reverseProxy.ModifyResponse = func(response *http.Response) error {
		if response.Request.Header.Get(delayHeader) != "" {
			p.delayed <- struct{}{}
			<-p.release
		}
		return nil
	}
	p.reverseProxy = reverseProxy
	server := &http.Server{
		Handler:           p,
		ReadHeaderTimeout: waitTimeout,
	}
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	t.Cleanup(func() {
		_ = server.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("serve the store proxy: %v", err)
		}
		transport.CloseIdleConnections()
	})
	return ident.Address(address)
}

// delayHeader marks the call whose response is delayed.
const delayHeader = "X-Test-Held"

// ServeHTTP implements http.Handler.
func (p *storeProxy) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if request.Method == http.MethodPut && request.URL.Path == kvjson.EntryPath {
		body, err := io.ReadAll(request.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Body = io.NopCloser(bytes.NewReader(body))
		if bytes.Contains(body, []byte(`"claim/`)) {
			select {
			case <-p.armed:
				request.Header.Set(delayHeader, "yes")
			default:
			}
		}
	}
	p.reverseProxy.ServeHTTP(w, request)
}

// submissionOwnedBy returns a submission whose claim is written by entry host i,
// the owner of its partition.
func (d *deployment) submissionOwnedBy(t *testing.T, i int) string {
	t.Helper()
	table := peer.NewTable(peer.Row{
		Host:  d.hostID(1),
		State: peer.Alive,
	})
	var others []peer.Row
	for other := 2; other <= entryHosts; other++ {
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
