package upstreamhttp_test

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/standin/tcp"
)

// uploadBytes is more than the socket buffers of both sides hold.
const uploadBytes = 32 << 20

// early is an upstream that responds before it has read the request.
type early struct {
	address ident.Address
	reset   chan struct{} // receives an element when a connection has been reset
}

// serveEarly starts an upstream that writes a text, and then resets the connection once the client
// has begun to send.
func serveEarly(t *testing.T, text string) early {
	e := early{
		reset: make(chan struct{}, 100),
	}
	e.address = tcp.Serve(t, func(conn *net.TCPConn) {
		write(conn, text)
		_, _ = conn.Read(make([]byte, 1)) // a reset before that may fail the client's connect
		time.Sleep(5 * time.Millisecond)  // the client fills the socket buffers
		_ = conn.SetLinger(0)
		_ = conn.Close()
		e.reset <- struct{}{}
	}).Address()
	return e
}

// readEvents reads a response as a stream of events.
func readEvents(response *upstreamhttp.Response) error {
	events := upstreamhttp.NewEvents(response, newLease())
	for {
		if _, err := events.Next(context.Background()); err != nil {
			if err == io.EOF {
				return nil
			}
			return err
		}
	}
}

// Guards against a part of a body that counts as the whole, after a reset during a long
// upload: writing the request takes the error of the connection, and reading the response
// finds an orderly end. A length or chunks show the end of a body without the connection.
func TestResetDuringUpload(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n"
	const tries = 10 // the order of reads and writes after a reset varies
	body := func(response *upstreamhttp.Response) error {
		_, err := readAll(response, 1<<10)
		return err
	}
	tests := map[string]struct {
		text  string
		read  func(response *upstreamhttp.Response) error
		whole bool
	}{
		"body without length":   {text: head + "\r\npart", read: body},
		"empty, without length": {text: head + "\r\n", read: body},
		"events without length": {text: head + "\r\nid: 1\ndata: a\n\n", read: readEvents},
		"body with length":      {text: head + "Content-Length: 5\r\n\r\nwhole", read: body, whole: true},
		"part with length":      {text: head + "Content-Length: 5\r\n\r\npart", read: body},
		"chunked body":          {text: head + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", read: body, whole: true},
		"chunked part":          {text: head + "Transfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", read: body},
		"chunked events":        {text: head + "Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n0\r\n\r\n", read: readEvents, whole: true},
		"chunked part of event": {text: head + "Transfer-Encoding: chunked\r\n\r\n8\r\nid: 1\n\n\n\r\n", read: readEvents},
	}
	upload := make([]byte, uploadBytes)
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			upstream := serveEarly(t, test.text)
			client := newClient(t)
			for i := range tries {
				r := request(upstream.address)
				r.Body = upload
				response, err := client.Send(t.Context(), r)
				c.Assert(err, qt.IsNil)
				if i%2 == 0 { // otherwise the reset comes while the body is read
					<-upstream.reset
					time.Sleep(5 * time.Millisecond)
				}
				err = test.read(response)
				response.Close()
				if test.whole {
					c.Check(err, qt.IsNil)
				} else {
					c.Check(err, qt.ErrorIs, upstreamhttp.ErrLost)
				}
			}
		})
	}
}

// Guards against a whole body that counts as a part: an upstream ends it with its side of
// the connection, and reads the rest of the request afterwards.
func TestEndBeforeUpload(t *testing.T) {
	c := qt.New(t)
	address := tcp.Serve(t, func(conn *net.TCPConn) {
		write(conn, "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n\r\nwhole")
		_ = conn.CloseWrite()
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, conn)
	}).Address()
	r := request(address)
	r.Body = bytes.Repeat([]byte("x"), uploadBytes)
	response, err := newClient(t).Send(t.Context(), r)
	c.Assert(err, qt.IsNil)
	defer response.Close()
	body, err := readAll(response, 1<<10)
	c.Assert(err, qt.IsNil)
	c.Check(string(body), qt.Equals, "whole")
}

// Guards against an early response that counts as lost although nothing of it can be lost.
func TestEarlyResponseWithoutBody(t *testing.T) {
	tests := map[string]struct {
		method string
		text   string
	}{
		"refusal":      {method: http.MethodPost, text: "HTTP/1.1 503 X\r\nNot-Run: 1\r\nId: a\r\n\r\nfull"},
		"head":         {method: http.MethodHead, text: "HTTP/1.1 200 OK\r\nSeal: s\r\nId: a\r\n\r\n"},
		"no content":   {method: http.MethodPost, text: "HTTP/1.1 204 X\r\nSeal: s\r\nId: a\r\n\r\n"},
		"not modified": {method: http.MethodPost, text: "HTTP/1.1 304 X\r\nSeal: s\r\nId: a\r\n\r\n"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ended := make(chan struct{})
			address := tcp.Serve(t, func(conn *net.TCPConn) {
				write(conn, test.text)
				_ = conn.CloseWrite()
				<-ended // the rest of the request is not read
			}).Address()
			r := request(address)
			r.Method = test.method
			r.Body = make([]byte, uploadBytes)
			response, err := newClient(t).Send(t.Context(), r)
			c.Assert(err, qt.IsNil)
			_, err = readAll(response, 1<<10)
			c.Check(err, qt.IsNil)
			response.Close()
			close(ended)
		})
	}
}
