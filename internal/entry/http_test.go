package entry

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/settings"
)

// A client that does not finish sending its request must be disconnected, and
// must not block other clients.
func TestSlowSender(t *testing.T) {
	cases := map[string]string{
		"incomplete header": "POST / HTTP/1.1\r\nHost: x\r\n",
		"incomplete body":   "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nabc",
	}
	for name, sent := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			ctx, stop := context.WithCancel(t.Context())
			serveDone := make(chan error, 1)
			handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if _, err := io.ReadAll(r.Body); err != nil {
					w.WriteHeader(http.StatusBadRequest)
				}
			})
			go func(ctx context.Context) {
				serveDone <- serveHTTP(ctx, listener, handler, &settings.Settings{
					HeaderTimeout:  100 * time.Millisecond,
					ReceiveTimeout: 200 * time.Millisecond,
				}, zerolog.Nop())
			}(ctx)
			slow, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
			c.Assert(err, qt.IsNil)
			_, err = io.WriteString(slow, sent)
			c.Assert(err, qt.IsNil)
			request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
			c.Assert(err, qt.IsNil)
			response, err := http.DefaultClient.Do(request)
			c.Assert(err, qt.IsNil)
			c.Check(response.StatusCode, qt.Equals, http.StatusOK)
			c.Check(response.Body.Close(), qt.IsNil)
			c.Assert(slow.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
			_, err = io.ReadAll(slow) // ends when the server closes the connection
			c.Check(err, qt.IsNil)
			stop()
			c.Check(<-serveDone, qt.IsNil)
		})
	}
}
