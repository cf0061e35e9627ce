//go:build review

package review

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// The command of deploy/system.toml and the variable with the path of the settings.
const (
	program          = "target/nutmegshift"
	role             = "relay"
	settingsVariable = "NUTMEGSHIFT_BOOT"
)

// portsPerHost is the number of ports that a host listens on.
const portsPerHost = 4

// template has the keys of deploy/relay.ini. All addresses are loopback addresses.
const template = `[host]
name = %s
domain = %s
region = great-lakes
callers = %s
ready = %s
peers = %s
seeds = %s
metrics = %s
processor = 0.4
memory = 284

[store]
address = %s
renewal = 1200ms
apply = 2000ms

[repeats]
share = 0.2
allowance = 58
window = 10s

[stop]
grace = 8s
`

// Host is a relay host, one process at a time.
type Host struct {
	Name    string
	Zone    string
	Callers string // address for callers
	Ready   string
	Peers   string

	d        *Deployment
	metrics  string
	watches  *atomic.Int64 // of the store, waiting now
	settings string
	command  *exec.Cmd
	ended    chan struct{} // closed when the process has ended
}

func (d *Deployment) startHost(name, domain string) (*Host, error) {
	addresses, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	store, watches, err := d.ServeStore()
	if err != nil {
		return nil, err
	}
	h := &Host{
		watches:  watches,
		Name:     name,
		Callers:  addresses[0],
		Ready:    addresses[1],
		Peers:    addresses[2],
		d:        d,
		settings: filepath.Join(d.directory, name+".conf"),
	}
	text := fmt.Sprintf(template, h.Name, domain, h.Callers, h.Ready, h.Peers, h.Peers, addresses[3], store)
	if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.hosts = append(d.hosts, h)
	return h, h.Start()
}

// maxSeeds is the number of hosts that are seeds of all.
const maxSeeds = 3

// StartHosts starts a host in each zone, and waits until all are ready and in touch.
func (d *Deployment) StartHosts(ctx context.Context, zones ...string) ([]*Host, error) {
	addresses, err := freeAddresses(portsPerHost * len(zones))
	if err != nil {
		return nil, err
	}
	var hosts []*Host
	var seeds []string
	for i, zone := range zones {
		h := &Host{
			Name:    fmt.Sprintf("edge-%s-%d", zone, i+1),
			d:       d,
			Zone:    zone,
			metrics: addresses[portsPerHost*i],
			Callers: addresses[portsPerHost*i+1],
			Ready:   addresses[portsPerHost*i+2],
			Peers:   addresses[portsPerHost*i+3],
		}
		hosts = append(hosts, h)
		if i < maxSeeds {
			seeds = append(seeds, h.Peers)
		}
	}
	for _, h := range hosts {
		if err := h.configure(seeds); err != nil {
			return nil, err
		}
		d.hosts = append(d.hosts, h)
		if err := h.Start(); err != nil {
			return nil, err
		}
	}
	for _, h := range hosts {
		if err := h.AwaitReady(ctx); err != nil {
			return nil, err
		}
	}
	return hosts, Sleep(ctx, Contact+time.Second)
}

// configure writes the settings of the host.
func (h *Host) configure(seeds []string) error {
	store, watches, err := h.d.ServeStore()
	if err != nil {
		return err
	}
	h.watches = watches
	h.settings = filepath.Join(h.d.directory, h.Name+".conf")
	text := fmt.Sprintf(template, h.Name, h.Zone, h.Callers, h.Ready, h.Peers, strings.Join(seeds, ","), h.metrics, store)
	return os.WriteFile(h.settings, []byte(text), 0o600)
}

// Start starts the process of the host.
func (h *Host) Start() error {
	log, err := os.OpenFile(h.settings+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command(program, role)
	command.Env = append(os.Environ(), settingsVariable+"="+h.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	h.command, h.ended = command, ended
	h.d.Record.Printf("host %s: process %d starts", h.Name, command.Process.Pid)
	return nil
}

// Log returns the lines of the host's log that contain a text.
func (h *Host) Log(text string) []string {
	content, err := os.ReadFile(h.settings + ".log")
	if err != nil {
		return nil
	}
	var lines []string
	for line := range bytes.Lines(content) {
		if bytes.Contains(line, []byte(text)) {
			lines = append(lines, strings.TrimSpace(string(line)))
		}
	}
	return lines
}

// AwaitReady waits until the host says that it is ready.
func (h *Host) AwaitReady(ctx context.Context) error {
	for {
		if h.IsReady() {
			h.d.Record.Printf("host %s: ready", h.Name)
			return nil
		}
		if !h.Running() {
			return fmt.Errorf("host %s has ended before it was ready: %q", h.Name, h.Log(""))
		}
		if err := Sleep(ctx, 50*time.Millisecond); err != nil {
			return fmt.Errorf("host %s is not ready: %w; log: %q", h.Name, err, h.Log(""))
		}
	}
}

// IsReady asks the host whether it is ready.
func (h *Host) IsReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + h.Ready + "/api/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the process of the host.
func (h *Host) Signal(s syscall.Signal) error {
	h.d.Record.Printf("host %s: gets %s", h.Name, s)
	return h.command.Process.Signal(s)
}

// Watches reports whether the host watches the store, for itself and for others.
func (h *Host) Watches() bool {
	return h.watches.Load() > 0
}

// Running reports whether the process of the host runs.
func (h *Host) Running() bool {
	select {
	case <-h.ended:
		return false
	default:
		return true
	}
}

// MemoryMB returns the resident memory of the process in megabytes; 0 if it has ended.
func (h *Host) MemoryMB() int {
	content, err := os.ReadFile("/proc/" + strconv.Itoa(h.command.Process.Pid) + "/status")
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if text, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(text), "kB")))
			if err != nil {
				return 0
			}
			return kilobytes / 1024
		}
	}
	return 0
}

// end kills the process of the host, if it runs.
func (h *Host) end() {
	if h.command == nil || !h.Running() {
		return
	}
	_ = h.command.Process.Signal(syscall.SIGCONT)
	_ = h.command.Process.Kill()
	<-h.ended
}
