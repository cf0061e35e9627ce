package entry

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
)

// An upstream that only closed a connection must not count as crashed, or every
// request with the same content would be quarantined.
func TestCrashed(t *testing.T) {
	cases := map[string]struct {
		closed bool
	}{
		"process ended":   {closed: true},
		"process listens": {},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			defer func() { _ = listener.Close() }()
			if tc.closed {
				c.Assert(listener.Close(), qt.IsNil)
			}
			c.Assert(crashed(t.Context(), ident.Address(listener.Addr().String())), qt.Equals, tc.closed)
		})
	}
}
