package system

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/platform"
)

// evacuation is the time in which a failure domain was evacuated.
type evacuation struct {
	domain   ident.FailureDomain
	acked    time.Time // when the store had acknowledged it
	restored time.Time // just before it was taken back
}

// evacuations records the evacuations of a cluster. One at a time: if all failure domains
// were evacuated, nothing could be served.
type evacuations struct {
	mu   sync.Mutex
	list []evacuation
}

// evacuate evacuates a failure domain long enough for hosts to have learned of it, and for
// some time more.
func (c *soakCluster) evacuate(s step) {
	c.evacuations.mu.Lock()
	defer c.evacuations.mu.Unlock()
	e := evacuation{
		domain: ident.FailureDomain(fmt.Sprint("d", s.Target%2)),
	}
	key := platform.Keys.Evacuated + kv.Key(e.domain)
	c.put(key, []byte("{}"))
	e.acked = time.Now()
	time.Sleep(soakApply + slack + s.For)
	e.restored = time.Now()
	entry, err := c.store.Get(context.Background(), key)
	if err == nil {
		err = c.store.Delete(context.Background(), key, entry.Version)
	}
	if err != nil {
		c.fail("restore %s: %v", e.domain, err)
	}
	c.evacuations.list = append(c.evacuations.list, e)
}

// checkEvacuations checks that hosts around which there was no other fault send nothing to a
// failure domain once it is evacuated.
func (c *checker) checkEvacuations() {
	for _, e := range c.cluster.evacuations.list {
		limit := e.acked.Add(soakApply + slack)
		for _, u := range c.cluster.upstreams {
			if u.Domain() != e.domain {
				continue
			}
			for _, run := range u.Runs() {
				if run.At.After(limit) && run.At.Before(e.restored) && c.undisturbed(e.acked, run.At, evacuate) {
					c.cluster.fail("%s ran in %s, %s after its evacuation", run.Request, e.domain, run.At.Sub(e.acked))
				}
			}
		}
	}
}
