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
	entries      = 3
	examples     = "../../examples/franchise"
	organisation = "lakeshore-creamery"
	entriesAPI   = "entries-api"
	nutmegPool   = "nutmeg-pool"
	enterPath    = "/entries-api/entries"
	standingPath = "/entries-api/standing"
	chatPath     = "/nutmeg-pool/v1/chat/completions"
	// maxRunning bounds the deployments that run at once, four processes each,
	// so that parallel tests do not time out on a small machine.
	maxRunning = 4
)

var running = make(chan struct{}, maxRunning)

// deployment is the stand-ins and entry hosts of one test.
type deployment struct {
	t         *testing.T
	layout    standin.Layout
	directory string
	client    *http.Client
	platform  []hostlist.Host // the host list at the start
	hosts     [entries + 1]*process
	links     *links // between entry hosts; nil: they connect directly
}

// setup changes a deployment before it starts.
type setup struct {
	store     func(l standin.Layout) ident.Address       // of the entry hosts; nil: the platform's
	documents func(service, text string) (edited string) // nil: the examples as they are
	standins  func(text string) (edited string)          // settings of the stand-ins; nil: the layout's
	settings  string                                     // appended to the settings of entry hosts
	domains   [entries + 1]ident.FailureDomain           // of entry hosts; empty: the layout's
	linked    bool                                       // entry hosts connect through links that can be cut
	firstNet  int                                        // first loopback network that is tried; 0: 100
	detached  bool                                       // entry host 1 cannot reach the store
	unlisted  bool                                       // entry host 1 cannot read the host list and is not awaited
}

// start starts a deployment, applies the example documents and waits until all
// entry hosts are ready.
func start(t *testing.T, s setup) *deployment {
	t.Helper()
	running <- struct{}{}
	t.Cleanup(func() { <-running })
	d := &deployment{
		t: t,
		layout: standin.Layout{
			Deployment: standin.Deployments()["franchise"],
			Net:        reserveNet(t, s.firstNet),
			Entries:    entries,
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
	if s.standins != nil {
		standinsText = s.standins(standinsText)
	}
	standinsText = s.place(d.layout, standinsText)
	if s.linked {
		d.links = newLinks(t, d.layout)
		standinsText = d.links.list(standinsText)
	}
	d.write("standins.ini", standinsText)
	parsed, err := standin.Parse([]byte(standinsText))
	if err != nil {
		t.Fatal(err)
	}
	d.platform = parsed.Hosts()
	store := d.layout.PlatformAddress()
	if s.store != nil {
		store = s.store(d.layout)
	}
	for i := 1; i <= entries; i++ {
		text := d.layout.EntrySettings(i)
		at := store
		if i == 1 && s.detached {
			at = d.layout.PeerAddress(entries + 1)
		}
		text = strings.Replace(text, "store = "+string(d.layout.PlatformAddress()), "store = "+string(at), 1)
		if i == 1 && s.unlisted {
			text = strings.Replace(text, "hosts = "+string(d.layout.PlatformAddress()), "hosts = "+string(d.layout.PeerAddress(entries+1)), 1)
		}
		text = s.place(d.layout, text)
		if s.linked {
			text = d.links.advertise(i, text)
		}
		d.write(fmt.Sprintf("entry-%d.ini", i), text+s.settings)
	}
	standins := launch(t, "standins", "run", "--settings", d.path("standins.ini"))
	await(t, "stand-ins", func() bool { return standins.output.line("components listen") != "" })
	names, err := filepath.Glob(filepath.Join(examples, "*.ini"))
	if err != nil || len(names) == 0 {
		t.Fatalf("no example documents in %s: %v", examples, err)
	}
	for _, name := range names {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		service := strings.TrimSuffix(filepath.Base(name), ".ini")
		edited := string(text)
		if s.documents != nil {
			edited = s.documents(service, edited)
		}
		d.write(filepath.Base(name), edited)
		apply := d.apply(service, filepath.Base(name), 0, "setup")
		if code := apply.exit(t); code != 0 {
			t.Fatalf("apply %s: exit code %d: %s", service, code, apply.output)
		}
	}
	for i := 1; i <= entries; i++ {
		d.startHost(i)
	}
	for i := 1; i <= entries; i++ {
		if i > 1 || !s.unlisted {
			d.awaitReady(i)
		}
	}
	return d
}

// place moves entry hosts to the failure domains of the setup, in the settings
// of a host or of the stand-ins.
func (s setup) place(l standin.Layout, text string) string {
	sections := strings.SplitAfter(text, "\n[")
	for i := range sections {
		for host := 1; host <= entries; host++ {
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

// reserveNet reserves a loopback network for the test, also against other runs
// of these tests on the machine.
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

// apply starts the command that applies a document file.
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
		d.links.started(i, d.hosts[i].command.Process.Pid)
	}
}

// ready reports whether entry host i asks for callers, as a balancer reads it.
func (d *deployment) ready(i int) bool {
	return d.get(d.layout.OperatorAddress(i), "/ready", nil) == http.StatusOK
}

func (d *deployment) awaitReady(i int) {
	d.t.Helper()
	await(d.t, fmt.Sprintf("readiness of entry host %d", i), func() bool { return d.ready(i) })
}

// status reads the status of entry host i; ok is false if it does not answer.
func (d *deployment) status(i int) (status entry.Status, ok bool) {
	ok = d.get(d.layout.OperatorAddress(i), "/status", &status) == http.StatusOK
	return status, ok
}

// hostID returns the name of entry host i.
func (d *deployment) hostID(i int) ident.HostID {
	return ident.HostID(fmt.Sprintf("%s-%d", d.layout.Deployment.Name, i))
}

// peerState returns the state of entry host of as entry host i sees it.
func (d *deployment) peerState(i, of int) string {
	status, _ := d.status(i)
	for _, row := range status.Peers {
		if row.Host == d.hostID(of) {
			return row.State
		}
	}
	return ""
}

// awaitPeers waits until each of the entry hosts sees the others in one of the states.
func (d *deployment) awaitPeers(hosts []int, states ...string) {
	d.t.Helper()
	for _, i := range hosts {
		for _, of := range hosts {
			if i != of {
				await(d.t, fmt.Sprintf("entry host %d as %v at entry host %d", of, states, i), func() bool {
					return slices.Contains(states, d.peerState(i, of))
				})
			}
		}
	}
}

// counts returns the calls at the platform.
func (d *deployment) counts() platform.Counts {
	d.t.Helper()
	var counts platform.Counts
	if status := d.get(d.layout.PlatformAddress(), "/counts", &counts); status != http.StatusOK {
		d.t.Errorf("read counts of the platform: status %d", status)
	}
	return counts
}

// checkRead sends a repeatable request through entry host i and checks its answer.
func (d *deployment) checkRead(i int, key string) {
	d.t.Helper()
	query := fmt.Sprintf("?n=%s-%d", key, i)
	r := d.send(i, http.MethodGet, standingPath+query, "")
	want := upstreams.PlainOutput(http.MethodGet, "/standing"+query, "")
	if r.err != nil || r.status != http.StatusOK || r.output() != want {
		d.t.Errorf("read through entry host %d: status %d, error %v, body %s", i, r.status, r.err, r.body)
	}
}

// events returns the number of events with a name on all entry hosts that answer.
func (d *deployment) events(name string) int {
	n := 0
	for i := 1; i <= entries; i++ {
		for _, event := range d.timeline(i) {
			if event.Name == name {
				n++
			}
		}
	}
	return n
}

// timeline returns the events of entry host i, none if it does not answer.
func (d *deployment) timeline(i int) []timeline.Event {
	var events []timeline.Event
	d.get(d.layout.OperatorAddress(i), "/timeline", &events)
	return events
}

// get reads a page into a value unless it is nil, and returns 0 without an answer.
func (d *deployment) get(at ident.Address, path string, into any) int {
	return d.call(http.MethodGet, at, path, nil, into)
}

func (d *deployment) call(method string, at ident.Address, path string, body, into any) int {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// put sends a PUT that must succeed.
func (d *deployment) put(at ident.Address, path string, body any) {
	d.t.Helper()
	if status := d.call(http.MethodPut, at, path, body, nil); status < 200 || status > 299 {
		d.t.Errorf("PUT %s at %s: status %d", path, at, status)
	}
}

// storeFaults replaces the faults of the platform.
func (d *deployment) storeFaults(faults platform.Faults) {
	d.t.Helper()
	d.put(d.layout.PlatformAddress(), "/faults", faults)
}

// pool returns the upstreams of a pool.
func (d *deployment) pool(service ident.ServiceName, pool ident.PoolName) []hostlist.Host {
	var found []hostlist.Host
	for _, host := range d.platform {
		if host.Service == service && host.Pool == pool {
			found = append(found, host)
		}
	}
	return found
}

// servers returns the upstreams of entries-api.
func (d *deployment) servers() []hostlist.Host { return d.pool(entriesAPI, "servers") }

// upstreamFaults replaces the faults of upstreams.
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

// reply is what a caller received.
type reply struct {
	request    string // id that the entry host gave it
	status     int
	kind       string // content type
	body       []byte // as far as received
	err        error  // the reply is not complete
	begin, end time.Time
}

// send sends a caller's request through entry host i.
func (d *deployment) send(i int, method, path, body string) (r reply) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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
	r.request = response.Header.Get("X-Request-Id")
	r.status = response.StatusCode
	r.kind = response.Header.Get("Content-Type")
	r.body, r.err = io.ReadAll(response.Body)
	return r
}

// ran returns what an error reply states about the request: false, true,
// "unknown", or nil if it states nothing.
func (r reply) ran() any {
	var failure struct {
		Error struct {
			Ran any `json:"ran"`
		} `json:"error"`
	}
	if json.Unmarshal(r.body, &failure) != nil {
		return nil
	}
	return failure.Error.Ran
}

// output returns the output field of an answer of a plain service.
func (r reply) output() string {
	var answer struct {
		Output string `json:"output"`
	}
	_ = json.Unmarshal(r.body, &answer)
	return answer.Output
}
