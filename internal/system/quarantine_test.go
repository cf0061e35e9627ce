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
	// maxCrashed is the number of upstreams that requests of equal content may crash.
	maxCrashed  = 2
	resendCount = 9
)

// crashCount returns the number of crashes of all engines. It waits for crashed
// engines, which do not respond until they have restarted.
func (d *deployment) crashCount() int {
	d.t.Helper()
	total := 0
	for _, engine := range d.pool(nutmegPool, "engines") {
		var state struct {
			Crashes int `json:"crashes"`
		}
		await(d.t, "response of "+engine.Name, func() bool { return d.get(engine.Address, "/faults", &state) == http.StatusOK })
		total += state.Crashes
	}
	return total
}

// Guards against a request that crashes every upstream because its caller retries
// it through other entry hosts and under new ids.
func TestCrashingRequest(t *testing.T) {
	tests := map[string]struct {
		otherChats int // other chats in progress at the same time
	}{
		"retried by its caller":          {},
		"concurrent with other requests": {otherChats: 12},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			d := startDeployment(t, setup{})
			d.upstreamFaults(upstreams.Faults{
				CrashOn:  poison,
				CrashFor: upstreams.Duration(200 * time.Millisecond),
			}, d.pool(nutmegPool, "engines")...)
			problems := make(chan string, test.otherChats)
			for i := range test.otherChats {
				go func() {
					prompt := fmt.Sprintf("bystander %d", i)
					a := d.sendChat(chatRequest{
						prompt: prompt,
						stream: i%2 == 0,
						host:   i%entryHosts + 1,
					})
					problems <- checkChat(prompt, a)
				}()
			}
			for i := range resendCount {
				a := d.sendChat(chatRequest{
					prompt: poison,
					host:   i%entryHosts + 1,
				})
				c.Assert(a.failed, qt.IsTrue, qt.Commentf("%+v", a))
			}
			for range test.otherChats {
				c.Check(<-problems, qt.Equals, "")
			}
			c.Check(d.crashCount() <= maxCrashed, qt.IsTrue, qt.Commentf("%d engines crashed", d.crashCount()))
			for host := 1; host <= entryHosts; host++ {
				r := d.send(host, http.MethodPost, chatPath, `{"messages":[{"role":"user","content":"`+poison+`"}]}`)
				c.Check(r.status, qt.Equals, http.StatusUnprocessableEntity, qt.Commentf("host %d: %s", host, r.body))
				c.Check(r.ran(), qt.Equals, false)
			}
		})
	}
}
