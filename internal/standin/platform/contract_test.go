package platform

import (
	"net/http"
	"testing"
	"time"

	"github.com/nutmegshift/nutmegshift/kv/kvtest"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// Guards against a protocol, adapter or stand-in that changes the meaning of
// the store's calls and errors.
func TestContractOverHTTP(t *testing.T) {
	kvtest.Run(t, func(t *testing.T) kvtest.Harness {
		f := serve(t)
		return kvtest.Harness{
			Store: f.store(20 * time.Second),
			SetFaults: func(faults memkv.Faults) {
				status := f.send(t, http.MethodPut, "/faults", Faults{
					Down:         faults.Down,
					Delay:        faults.Delay.Milliseconds(),
					LoseResponse: faults.LoseResponse,
					DropWatch:    faults.DropWatch,
					ExpireLease:  faults.ExpireLease,
				}, nil)
				if status != http.StatusOK {
					t.Fatalf("set faults: got status %d", status)
				}
			},
			Advance: func(by time.Duration) {
				f.clock.Advance(by)
				f.server.store.Expire()
			},
			Compact: f.server.store.Compact,
		}
	})
}
