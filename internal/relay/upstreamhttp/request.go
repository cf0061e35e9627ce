package upstreamhttp

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// maxInlineBody is the size, in bytes, up to which a body fits into the socket
// buffers, so that writing it does not wait for the upstream.
const maxInlineBody = 4 << 10

// requestWrite tracks the writing of a request.
type requestWrite struct {
	done chan struct{} // closed when writing has ended
	err  error         // valid once done is closed
}

// writeRequest writes the header and body of a request. A long body is written
// concurrently with reading the response, since an upstream may respond before it has the
// whole body.
func writeRequest(ctx context.Context, conn *connection, header, body []byte) *requestWrite {
	pending := &requestWrite{
		done: make(chan struct{}),
	}
	write := func(context.Context) {
		defer close(pending.done)
		// A single write, so that the header and a short body share a packet.
		message := net.Buffers{header, body}
		_, pending.err = message.WriteTo(conn.Conn)
	}
	if len(body) <= maxInlineBody {
		write(ctx)
	} else {
		go write(ctx)
	}
	return pending
}

// encodeHeader returns the header of a request with its request line. The target is
// unchanged; net/http would change some targets, such as one that begins with two slashes.
func encodeHeader(request Request) ([]byte, error) {
	if request.Target == "" || strings.ContainsAny(request.Method+request.Target+request.Host, " \t\r\n") {
		return nil, errors.NotValidf("method %.20q, target %.80q or host %.80q", request.Method, request.Target, request.Host)
	}
	var b bytes.Buffer
	for _, text := range []string{request.Method, " ", request.Target, " HTTP/1.1\r\nHost: ", request.Host, "\r\n"} {
		b.WriteString(text)
	}
	if len(request.Body) > 0 || hasBody(request.Method) {
		b.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	if err := request.Header.Write(&b); err != nil {
		return nil, err
	}
	_, err := io.WriteString(&b, "\r\n")
	return b.Bytes(), err
}

// hasBody reports whether requests with a method usually have a body, so that the length
// of an empty one has to be stated.
func hasBody(method string) bool {
	switch method {
	case http.MethodPost, http.MethodPut, http.MethodPatch:
		return true
	}
	return false
}
