package forward_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a response that no upstream has given: a caller that gives up, but still
// reads, was told that its request had succeeded.
func TestCallerEndsItsSide(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resumable/x"} {
		t.Run(path, func(t *testing.T) {
			c := qt.New(t)
			f := start(t, scriptedResponse{hang: true}, scriptedResponse{hang: true})
			conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", f.server.Listener.Addr().String())
			c.Assert(err, qt.IsNil)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nKey: k\r\nContent-Length: 0\r\n\r\n", path)
			c.Assert(err, qt.IsNil)
			time.Sleep(50 * time.Millisecond) // until an upstream has the request
			c.Assert(conn.(*net.TCPConn).CloseWrite(), qt.IsNil)
			received, _ := io.ReadAll(conn) // may be reset
			c.Check(string(received), qt.Equals, "")
		})
	}
}
