package reporthttp_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/reporthttp"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// An upstream without a usable report must not look idle.
func TestLoad(t *testing.T) {
	cases := map[string]struct {
		status int
		body   string
		ok     bool
	}{
		"report":       {http.StatusOK, `{"running":3,"queued":1,"at":1000}`, true},
		"no JSON":      {http.StatusOK, `running=3`, false},
		"error status": {http.StatusInternalServerError, `{"running":3,"queued":1,"at":1000}`, false},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			load, err := reporthttp.Load(t.Context(), http.DefaultClient, serve(t, tc.status, tc.body))
			if !tc.ok {
				c.Assert(errors.Is(err, reporthttp.ErrNoReport), qt.IsTrue)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(load.Running, qt.Equals, 3)
			c.Assert(load.At.UnixMilli(), qt.Equals, int64(1000))
		})
	}
}

// Cache events must keep their sequence numbers, by which gaps are detected.
func TestCacheEvents(t *testing.T) {
	c := qt.New(t)
	at := serve(t, http.StatusOK, `{"events":[{"number":4,"kind":"add","prefix":"p"},{"number":6,"kind":"evict","prefix":"q"}]}`)
	events, err := reporthttp.CacheEvents(t.Context(), http.DefaultClient, at, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(events, qt.DeepEquals, []upstream.CacheEvent{
		{
			Sequence: 4,
			Change:   upstream.Stored,
			Prefix:   upstream.NewPrefix("p"),
		},
		{
			Sequence: 6,
			Change:   upstream.Evicted,
			Prefix:   upstream.NewPrefix("q"),
		},
	})
}

func serve(t *testing.T, status int, body string) ident.Address {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body))
	}))
	t.Cleanup(server.Close)
	return ident.Address(strings.TrimPrefix(server.URL, "http://"))
}
