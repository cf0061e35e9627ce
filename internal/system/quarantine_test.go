package system

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

const (
	// maxLost is the number of upstreams that one content may crash.
	maxLost = 2
	resends = 9
)

// crashes returns the number of crashes of all engines. A crashed engine does
// not answer until it runs again.
func (d *deployment) crashes() int {
	d.t.Helper()
	total := 0
	for _, engine := range d.pool(nutmegPool, "engines") {
		var state struct {
			Crashes int `json:"crashes"`
		}
		await(d.t, "answer of "+engine.Name, func() bool { return d.get(engine.Address, "/faults", &state) == http.StatusOK })
		total += state.Crashes
	}
	return total
}

// Guards against a request that its caller sends again and again, through other
// entry hosts and under new ids, until it has crashed every upstream.
func TestCrashingRequest(t *testing.T) {
	tests := map[string]struct {
		bystanders int // other chats in progress meanwhile
	}{
		"sent again by its caller": {},
		"next to other requests":   {bystanders: 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := start(t, setup{})
			d.upstreamFaults(upstreams.Faults{
				CrashOn:  poison,
				CrashFor: upstreams.Duration(200 * time.Millisecond),
			}, d.pool(nutmegPool, "engines")...)
			ends := make(chan string, test.bystanders)
			for i := range test.bystanders {
				go func() {
					prompt := fmt.Sprintf("bystander %d", i)
					a := d.chat(chat{
						prompt: prompt,
						stream: i%2 == 0,
						host:   i%entries + 1,
					})
					ends <- flaw(prompt, a)
				}()
			}
			for i := range resends {
				a := d.chat(chat{
					prompt: poison,
					host:   i%entries + 1,
				})
				c.Assert(a.failed, qt.IsTrue, qt.Commentf("%+v", a))
			}
			for range test.bystanders {
				c.Check(<-ends, qt.Equals, "")
			}
			c.Check(d.crashes() <= maxLost, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashes()))
			for host := 1; host <= entries; host++ {
				r := d.send(host, http.MethodPost, chatPath, `{"messages":[{"role":"user","content":"`+poison+`"}]}`)
				c.Check(r.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("host %d: %s", host, r.body))
				c.Check(r.ran(), qt.Equals, false)
			}
		})
	}
}
