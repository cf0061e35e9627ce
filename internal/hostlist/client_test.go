package hostlist_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/hostlist"
)

// Guards against a partial or malformed response that is taken for a host
// list: hosts absent from it would be treated as gone.
func TestFetch(t *testing.T) {
	tests := map[string]struct {
		status int
		length string
		body   string
		want   error
	}{
		"complete":     {status: 200, body: `{"version":3,"hosts":[{"name":"a","kind":"entry","state":"live"}]}`},
		"truncated":    {status: 200, length: "500", body: `{"version":3,"hosts":[`, want: hostlist.ErrUnavailable},
		"not JSON":     {status: 200, body: `<html>`, want: hostlist.ErrInvalid},
		"wrong type":   {status: 200, body: `{"version":"x"}`, want: hostlist.ErrInvalid},
		"no list":      {status: 200, body: `{"hosts":{}}`, want: hostlist.ErrInvalid},
		"endless":      {status: 200, body: `{"hosts":[` + strings.Repeat(" ", 17<<20) + `]}`, want: hostlist.ErrInvalid},
		"server error": {status: 500, body: `{}`, want: hostlist.ErrUnavailable},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if test.length != "" {
					w.Header().Set("Content-Length", test.length)
				}
				w.WriteHeader(test.status)
				_, _ = io.WriteString(w, test.body)
			}))
			defer server.Close()
			client := hostlist.New(ident.Address(server.Listener.Addr().String()), server.Client())
			list, err := client.Fetch(context.Background())
			if test.want != nil {
				c.Assert(err, qt.ErrorIs, test.want)
				return
			}
			c.Assert(err, qt.IsNil)
			c.Assert(list.Version, qt.Equals, uint64(3))
			c.Assert(list.Hosts, qt.HasLen, 1)
		})
	}
}

// Guards against a host that stops following the list because of one row that cannot be
// used: the others have to be in force.
func TestRejectedRow(t *testing.T) {
	tests := map[string]string{
		"unknown kind":        `{"name":"b","kind":"x","state":"live"}`,
		"unknown state":       `{"name":"b","kind":"entry","state":"x"}`,
		"no name":             `{"kind":"entry","state":"live"}`,
		"wrong type":          `{"name":5,"kind":"entry","state":"live"}`,
		"number out of range": `{"name":"b","kind":"entry","state":"live","incarnation":1e40}`,
		"not an object":       `"b"`,
		"nested":              strings.Repeat("[", 5000) + strings.Repeat("]", 5000),
	}
	for name, row := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = io.WriteString(w, `{"version":3,"hosts":[{"name":"a","kind":"entry","state":"live"},`+row+`,{"name":"c","kind":"entry","state":"live"}]}`)
			}))
			defer server.Close()
			list, err := hostlist.New(ident.Address(server.Listener.Addr().String()), server.Client()).Fetch(t.Context())
			c.Assert(err, qt.IsNil)
			c.Check(list.Hosts, qt.HasLen, 2)
			c.Check(list.Rejected, qt.HasLen, 1)
		})
	}
}

// Guards against an unreachable platform that is taken for an empty host list.
func TestFetchUnreachable(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	_, err := hostlist.New(ident.Address(server.Listener.Addr().String()), server.Client()).Fetch(context.Background())
	c.Assert(err, qt.ErrorIs, hostlist.ErrUnavailable)
}

// An unchanged list must not be transferred again, and a changed list must be
// fetched.
func TestFetchUnchanged(t *testing.T) {
	c := qt.New(t)
	version, transfers := "1", 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		tag := `"` + version + `"`
		w.Header().Set("ETag", tag)
		if r.Header.Get("If-None-Match") == tag {
			w.WriteHeader(http.StatusNotModified)
			return
		}
		transfers++
		_, _ = w.Write([]byte(`{"version":` + version + `,"hosts":[{"name":"a","kind":"entry","state":"live"}]}`))
	}))
	defer server.Close()
	client := hostlist.New(ident.Address(strings.TrimPrefix(server.URL, "http://")), http.DefaultClient)
	for _, want := range []string{"1", "1", "2", "2"} {
		version = want
		list, err := client.Fetch(t.Context())
		c.Assert(err, qt.IsNil)
		c.Assert(strconv.FormatUint(list.Version, 10), qt.Equals, want)
		c.Assert(list.Hosts, qt.HasLen, 1)
	}
	c.Assert(transfers, qt.Equals, 2)
}
