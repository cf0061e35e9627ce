package system

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/entry"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
	"github.com/nutmegshift/nutmegshift/internal/standin"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
	"github.com/nutmegshift/nutmegshift/timeline"
)

const (
	entryHosts   = 3 // entry hosts of a deployment
	examplesDir  = "../../examples/franchise"
	organisation = "lakeshore-creamery"
	entriesAPI   = "entries-api"
	nutmegPool   = "nutmeg-pool"
	entriesPath  = "/entries-api/entries"
	standingPath = "/entries-api/standing"
	chatPath     = "/nutmeg-pool/v1/chat/completions"
	// maxDeployments bounds the deployments that run at once, with four processes
	// each, so that parallel tests do not time out on a small machine.
	maxDeployments = 4
)

// deploymentSlots has an element for each deployment that runs.
var deploymentSlots = make(chan struct{}, maxDeployments)

// deployment is the stand-ins and entry hosts of one test.
type deployment struct {
	t         *testing.T
	layout    standin.Layout
	directory string
	client    *http.Client
	hostList  []hostlist.Host // as at the start of the deployment
	hosts     [entryHosts + 1]*process
	links     *links // between entry hosts; nil: entry hosts connect directly
}

// setup is how a deployment differs from the default one.
type setup struct {
	store           func(l standin.Layout) ident.Address       // returns the store's address for entry hosts; nil: that of the platform stand-in
	editDocument    func(service, text string) (edited string) // nil: example documents unchanged
	editStandins    func(text string) (edited string)          // edits the settings of the stand-ins; nil: unchanged
	extraSettings   string                                     // appended to the settings of entry hosts
	domains         [entryHosts + 1]ident.FailureDomain        // by entry host; empty: that of the layout
	withLinks       bool                                       // entry hosts connect through links that can be cut
	firstNet        int                                        // first loopback network to try; 0: 100
	withoutStore    bool                                       // entry host 1 cannot reach the store
	withoutHostList bool                                       // entry host 1 cannot read the host list; its readiness is not awaited
}

// startDeployment starts a deployment, applies the example documents and waits
// until all entry hosts are ready. The deployment ends with the test.
func startDeployment(t *testing.T, s setup) *deployment {
	t.Helper()
	deploymentSlots <- struct{}{}
	t.Cleanup(func() { <-deploymentSlots })
	d := &deployment{
		t: t,
		layout: standin.Layout{
			Deployment: standin.Deployments()["franchise"],
			Net:        reserveNet(t, s.firstNet),
			Entries:    entryHosts,
		},
		directory: t.TempDir(),
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 64,
			},
		},
	}
	t.Cleanup(d.client.CloseIdleConnections)
	standinsText := d.layout.StandinSettings()
	if s.editStandins != nil {
		standinsText = s.editStandins(standinsText)
	}
	standinsText = s.setDomains(d.layout, standinsText)
	if s.withLinks {
		d.links = newLinks(t, d.layout)
		standinsText = d.links.rewriteHostList(standinsText)
	}
	d.write("standins.ini", standinsText)
	settings, err := standin.Parse([]byte(standinsText))
	if err != nil {
		t.Fatal(err)
	}
	d.hostList = settings.Hosts()
	store := d.layout.PlatformAddress()
	if s.store != nil {
		store = s.store(d.layout)
	}
	for i := 1; i <= entryHosts; i++ {
		text := d.layout.EntrySettings(i)
		storeAddress := store
		if i == 1 && s.withoutStore {
			storeAddress = d.layout.PeerAddress(entryHosts + 1)
		}
		text = strings.Replace(text, "store = "+string(d.layout.PlatformAddress()), "store = "+string(storeAddress), 1)
		if i == 1 && s.withoutHostList {
			text = strings.Replace(text, "hosts = "+string(d.layout.PlatformAddress()), "hosts = "+string(d.layout.PeerAddress(entryHosts+1)), 1)
		}
		text = s.setDomains(d.layout, text)
		if s.withLinks {
			text = d.links.setAdvertise(i, text)
		}
		d.write(fmt.Sprintf("entry-%d.ini", i), text+s.extraSettings)
	}
	standins := launch(t, "standins", "run", "--settings", d.path("standins.ini"))
	await(t, "stand-ins", func() bool { return standins.output.line("components listen") != "" })
	names, err := filepath.Glob(filepath.Join(examplesDir, "*.ini"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no example documents in %s: %v", examplesDir, err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		service := strings.TrimSuffix(filepath.Base(name), ".ini")
		edited := string(text)
		if s.editDocument != nil {
			edited = s.editDocument(service, edited)
		}
		d.write(filepath.Base(name), edited)
		apply := d.apply(service, filepath.Base(name), 0, "setup")
		if code := apply.exit(t); code != 0 {
			t.Fatalf("apply %s: exit code %d: %s", service, code, apply.output)
		}
	}
	for i := 1; i <= entryHosts; i++ {
		d.startHost(i)
	}
	for i := 1; i <= entryHosts; i++ {
		if i > 1 || !s.withoutHostList {
			d.awaitReady(i)
		}
	}
	return d
}

// setDomains replaces the failure domains of entry hosts by those of the setup, in
// the settings of a host or of the stand-ins.
func (s setup) setDomains(l standin.Layout, text string) string {
	sections := strings.SplitAfter(text, "\n[")
	for i := range sections {
		for host := 1; host <= entryHosts; host++ {
			name := fmt.Sprintf("%s-%d", l.Deployment.Name, host)
			if s.domains[host] == "" || !strings.Contains(sections[i], "entry "+name+"]") && !strings.Contains(sections[i], "host = "+name+"\n") {
				continue
			}
			before, rest, _ := strings.Cut(sections[i], "domain = ")
			_, after, _ := strings.Cut(rest, "\n")
			sections[i] = before + "domain = " + string(s.domains[host]) + "\n" + after
		}
	}
	return strings.Join(sections, "")
}

// reserveNet reserves a loopback network until the test ends and returns its
// number. Concurrent runs of these tests on the machine get other networks.
func reserveNet(t *testing.T, first int) int {
	t.Helper()
	if first == 0 {
		first = 100
	}
	for number := first; number < 250; number++ {
		lock, err := new(net.ListenConfig).Listen(context.Background(), "tcp", fmt.Sprintf("127.%d.255.254:6999", number))
		if err == nil {
			t.Cleanup(func() { _ = lock.Close() })
			return number
		}
	}
	t.Fatal("no free loopback network")
	return 0
}

func (d *deployment) path(name string) string { return filepath.Join(d.directory, name) }

func (d *deployment) write(name, text string) {
	d.t.Helper()
	const private = 0o600
	if err := os.WriteFile(d.path(name), []byte(text), private); err != nil {
		d.t.Fatal(err)
	}
}

func (d *deployment) read(name string) string {
	d.t.Helper()
	text, err := os.ReadFile(d.path(name))
	if err != nil {
		d.t.Fatal(err)
	}
	return string(text)
}

// apply starts the command that applies a document file to a base revision.
func (d *deployment) apply(service, file string, base ident.Revision, author string) *process {
	d.t.Helper()
	_, rest, _ := strings.Cut(d.read(file), "team = ")
	team, _, _ := strings.Cut(rest, "\n")
	return launch(d.t, "nutmegshift", "config", "apply", "--store", string(d.layout.PlatformAddress()), "--service", service,
		"--base", fmt.Sprint(base), "--author", author, "--team", team, "--file", d.path(file))
}

// startHost starts entry host i, from 1.
func (d *deployment) startHost(i int) {
	d.t.Helper()
	d.hosts[i] = launch(d.t, "nutmegshift", "entry", "--settings", d.path(fmt.Sprintf("entry-%d.ini", i)))
	if d.links != nil {
		d.links.setPID(i, d.hosts[i].command.Process.Pid)
	}
}

// ready reports whether entry host i is ready, as a load balancer reads it.
func (d *deployment) ready(i int) bool {
	return d.get(d.layout.OperatorAddress(i), "/ready", nil) == http.StatusOK
}

func (d *deployment) awaitReady(i int) {
	d.t.Helper()
	await(d.t, fmt.Sprintf("readiness of entry host %d", i), func() bool { return d.ready(i) })
}

// status reads the status of entry host i; ok is false if it does not respond.
func (d *deployment) status(i int) (status entry.Status, ok bool) {
	ok = d.get(d.layout.OperatorAddress(i), "/status", &status) == http.StatusOK
	return status, ok
}

// hostID returns the name of entry host i.
func (d *deployment) hostID(i int) ident.HostID {
	return ident.HostID(fmt.Sprintf("%s-%d", d.layout.Deployment.Name, i))
}

// peerState returns the state of an entry host as entry host i sees it, "" if
// entry host i does not respond or does not list it.
func (d *deployment) peerState(i, peer int) string {
	status, _ := d.status(i)
	for _, row := range status.Peers {
		if row.Host == d.hostID(peer) {
			return row.State
		}
	}
	return ""
}

// awaitPeers waits until each of the entry hosts sees the others in one of the states.
func (d *deployment) awaitPeers(hosts []int, states ...string) {
	d.t.Helper()
	for _, i := range hosts {
		for _, peer := range hosts {
			if i != peer {
				await(d.t, fmt.Sprintf("entry host %d as %v at entry host %d", peer, states, i), func() bool {
					return slices.Contains(states, d.peerState(i, peer))
				})
			}
		}
	}
}

// platformCounts returns the numbers of calls at the platform stand-in.
func (d *deployment) platformCounts() platform.Counts {
	d.t.Helper()
	var counts platform.Counts
	if status := d.get(d.layout.PlatformAddress(), "/counts", &counts); status != http.StatusOK {
		d.t.Errorf("read call counts of the platform: status %d", status)
	}
	return counts
}

// checkRead sends a repeatable request through entry host i and checks its response.
func (d *deployment) checkRead(i int, key string) {
	d.t.Helper()
	query := fmt.Sprintf("?n=%s-%d", key, i)
	r := d.send(i, http.MethodGet, standingPath+query, "")
	want := upstreams.PlainOutput(http.MethodGet, "/standing"+query, "")
	if r.err != nil || r.status != http.StatusOK || r.output() != want {
		d.t.Errorf("read through entry host %d: status %d, error %v, body %s", i, r.status, r.err, r.body)
	}
}

// eventCount returns the number of timeline events with a name on all entry hosts
// that respond.
func (d *deployment) eventCount(name string) int {
	n := 0
	for i := 1; i <= entryHosts; i++ {
		for _, event := range d.timeline(i) {
			if event.Name == name {
				n++
			}
		}
	}
	return n
}

// timeline returns the timeline events of entry host i, none if it does not
// respond.
func (d *deployment) timeline(i int) []timeline.Event {
	var events []timeline.Event
	d.get(d.layout.OperatorAddress(i), "/timeline", &events)
	return events
}

// get sends a GET request, decodes the JSON response into a value unless it is nil,
// and returns the status code, 0 if no valid response arrived.
func (d *deployment) get(at ident.Address, path string, into any) int {
	return d.call(http.MethodGet, at, path, nil, into)
}

// call is like get for any method, with a JSON request body.
func (d *deployment) call(method string, at ident.Address, path string, body, into any) int {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	encoded, err := json.Marshal(body)
	if err != nil {
		return 0
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+string(at)+path, bytes.NewReader(encoded))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := d.client.Do(request)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	read, err := io.ReadAll(response.Body)
	if err != nil || into != nil && json.Unmarshal(read, into) != nil {
		return 0
	}
	return response.StatusCode
}

// put sends a PUT request and fails the test unless the status code is 2xx.
func (d *deployment) put(at ident.Address, path string, body any) {
	d.t.Helper()
	if status := d.call(http.MethodPut, at, path, body, nil); status < 200 || status > 299 {
		d.t.Errorf("PUT %s at %s: status %d", path, at, status)
	}
}

// storeFaults replaces the faults of the platform stand-in, which holds the store.
func (d *deployment) storeFaults(faults platform.Faults) {
	d.t.Helper()
	d.put(d.layout.PlatformAddress(), "/faults", faults)
}

// pool returns the upstreams of a pool, as listed at the start of the deployment.
func (d *deployment) pool(service ident.ServiceName, pool ident.PoolName) []hostlist.Host {
	var found []hostlist.Host
	for _, host := range d.hostList {
		if host.Service == service && host.Pool == pool {
			found = append(found, host)
		}
	}
	return found
}

// servers returns the upstreams of entries-api.
func (d *deployment) servers() []hostlist.Host { return d.pool(entriesAPI, "servers") }

// upstreamFaults replaces the faults of the given upstreams.
func (d *deployment) upstreamFaults(faults upstreams.Faults, at ...hostlist.Host) {
	d.t.Helper()
	for _, host := range at {
		d.put(host.Address, "/faults", faults)
	}
}

// executions returns the execution log of a plain upstream.
func (d *deployment) executions(at hostlist.Host) []upstreams.Execution {
	d.t.Helper()
	var log struct {
		Executions []upstreams.Execution `json:"executions"`
	}
	if status := d.get(at.Address, "/executions", &log); status != http.StatusOK {
		d.t.Errorf("read executions of %s: status %d", at.Name, status)
	}
	return log.Executions
}

// response is what a caller received.
type response struct {
	requestID   string // id that the entry host assigned
	status      int
	contentType string
	body        []byte // as far as received
	err         error  // not nil: the response is incomplete
	begin, end  time.Time
}

// send sends a request through entry host i, as a caller of the organisation.
func (d *deployment) send(i int, method, path, body string) (r response) {
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r.begin = time.Now()
	defer func() { r.end = time.Now() }()
	var request *http.Request
	request, r.err = http.NewRequestWithContext(ctx, method, "http://"+string(d.layout.CallerAddress(i))+path, strings.NewReader(body))
	if r.err != nil {
		return r
	}
	request.Header.Set("X-Organisation", organisation)
	response, err := d.client.Do(request)
	if err != nil {
		r.err = err
		return r
	}
	defer func() { _ = response.Body.Close() }()
	r.requestID = response.Header.Get("X-Request-Id")
	r.status = response.StatusCode
	r.contentType = response.Header.Get("Content-Type")
	r.body, r.err = io.ReadAll(response.Body)
	return r
}

// ran returns whether the request has run according to an error response: false,
// true, "unknown", or nil if the response does not state it.
func (r response) ran() any {
	var decoded struct {
		Error struct {
			Ran any `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &decoded) != nil {
		return nil
	}
	return decoded.Error.Ran
}

// output returns the output field of a response of a plain service.
func (r response) output() string {
	var decoded struct {
		Output string `json:"output"`
	}
	_ = json.Unmarshal(r.body, &decoded)
	return decoded.Output
}
