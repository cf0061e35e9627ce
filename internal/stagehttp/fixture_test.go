package stagehttp

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/tcp"
	"github.com/nutmegshift/nutmegshift/pipeline"
)

// script writes the response to one request on a raw connection. It returns whether
// the connection stays open for another request.
type script func(conn *net.TCPConn, request *http.Request) bool

// rawServer is a TCP server whose responses are written by a script.
type rawServer struct {
	address     ident.Address
	requests    atomic.Int64 // complete requests read
	connections atomic.Int64
}

func startServer(t *testing.T, respond script) *rawServer {
	s := &rawServer{}
	s.address = tcp.Serve(t, func(conn *net.TCPConn) {
		s.connections.Add(1)
		reader := bufio.NewReader(conn)
		for {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, err = io.Copy(io.Discard, request.Body)
			if err != nil {
				return
			}
			s.requests.Add(1)
			if !respond(conn, request) {
				return
			}
		}
	}).Address()
	return s
}

// respondWith returns a script that responds to every request with the attempt id of
// the request, extra header lines and a body.
func respondWith(status int, body string, lines ...string) script {
	return func(conn *net.TCPConn, request *http.Request) bool {
		return write(conn, fmt.Sprintf("HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s",
			status, request.Header.Get(attemptHeader), len(body), joinHeader(lines), body))
	}
}

// respondRaw returns a script that writes a status line, the attempt id and the
// text, and then closes the connection.
func respondRaw(text string) script {
	return func(conn *net.TCPConn, request *http.Request) bool {
		write(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: "+request.Header.Get(attemptHeader)+"\r\n"+text)
		return false
	}
}

func joinHeader(lines []string) string {
	if len(lines) == 0 {
		return ""
	}
	return strings.Join(lines, "\r\n") + "\r\n"
}

func write(conn net.Conn, text string) bool {
	_, err := io.WriteString(conn, text)
	return err == nil
}

func resetConnection(conn *net.TCPConn, _ *http.Request) bool {
	_ = conn.SetLinger(0)
	return false
}

func newClient(t *testing.T, config Config) *Client {
	c := New(config)
	t.Cleanup(c.Close)
	return c
}

func poolCall(attempt ident.AttemptID) pipeline.Call {
	return pipeline.Call{
		Attempt: attempt,
		Method:  http.MethodPost,
		Path:    "/v1/encode",
		Body:    []byte(`{"input":"x"}`),
	}
}

func plainCall(attempt ident.AttemptID) pipeline.Call {
	return pipeline.Call{
		Attempt: attempt,
		Method:  http.MethodPost,
		Path:    "/fees?year=1",
		Body:    []byte(`{"fee":1}`),
	}
}
