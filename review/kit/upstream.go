//go:build review

package kit

import (
	"net/http"
	"sync"
	"time"
)

// Upstream is the registration of an upstream. Its API is that of the handler.
type Upstream struct {
	ID      string
	Service string
	Zone    string
	Slots   int
	Address string

	d     *Deployment
	born  int64
	mu    sync.Mutex
	state string
	seq   int
}

// StartUpstream serves the API of an upstream, registers it and renews the registration.
func (d *Deployment) StartUpstream(u *Upstream, handler http.Handler) error {
	checked := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Attempt-Id"); id != "" {
			w.Header().Set("Attempt-Id", id)
		}
		w.Header().Set("Instance-Id", u.ID)
		if r.URL.Path == "/healthz" {
			return
		}
		if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != u.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handler.ServeHTTP(w, r)
	})
	address, err := d.Serve(checked)
	if err != nil {
		return err
	}
	return d.Register(u, address)
}

// Register registers an upstream that serves at an address, and renews the registration.
func (d *Deployment) Register(u *Upstream, address string) error {
	u.d, u.Address, u.state = d, address, "ready"
	u.born = time.Now().UnixMilli()
	if _, err := u.register(); err != nil {
		return err
	}
	go u.renew()
	return nil
}

// register writes the registration and returns the time of the acknowledgement.
func (u *Upstream) register() (time.Time, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.seq++
	return u.d.Write("servers/"+u.ID, map[string]any{
		"service":      u.Service,
		"address":      u.Address,
		"zone":         u.Zone,
		"version":      "v1",
		"slots":        u.Slots,
		"state":        u.state,
		"cold_left_ms": 0,
		"seq":          u.seq,
		"born":         u.born,
	})
}

func (u *Upstream) renew() {
	for {
		select {
		case <-u.d.stop:
			return
		case <-time.After(Heartbeat):
			_, _ = u.register()
		}
	}
}

// Drain reports that the upstream drains, and returns the time of the acknowledgement.
func (u *Upstream) Drain() (time.Time, error) {
	u.mu.Lock()
	u.state = "draining"
	u.mu.Unlock()
	at, err := u.register()
	u.d.Record.Printf("upstream %s: the store acknowledges that it drains", u.ID)
	return at, err
}
