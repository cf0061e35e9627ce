//go:build review

package review

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
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

// StartUpstream serves the API of an upstream and registers it.
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

// Register registers an upstream that serves at an address. Heartbeats change nothing in
// the store as long as only their number differs, so there are none.
func (d *Deployment) Register(u *Upstream, address string) error {
	u.d, u.Address, u.state = d, address, "ready"
	u.born = time.Now().UnixMilli()
	_, err := u.register()
	return err
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

// Leave removes the registration, and returns the time of the acknowledgement. The upstream
// goes on serving.
func (u *Upstream) Leave(ctx context.Context) (time.Time, error) {
	key := kv.Key("servers/" + u.ID)
	entry, err := u.d.Store.Get(ctx, key)
	if err != nil {
		return time.Time{}, err
	}
	err = u.d.Store.Delete(ctx, key, entry.Version)
	u.d.Record.Printf("upstream %s: the store has removed its entry", u.ID)
	return time.Now(), err
}
