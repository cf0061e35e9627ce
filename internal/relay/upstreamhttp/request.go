package upstreamhttp

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// maxInlineBody is the size, in bytes, up to which a body fits into the socket
// buffers, so that writing it does not wait for the upstream.
const maxInlineBody = 4 << 10

// requestWrite tracks the writing of a request.
type requestWrite struct {
	done chan struct{} // closed when writing has ended
	err  error         // valid once done is closed
}

// writeRequest writes a request. A long body is written concurrently with reading
// the response, since an upstream may respond before it has the whole body.
func writeRequest(ctx context.Context, conn *connection, outgoing *http.Request, length int) *requestWrite {
	pending := &requestWrite{
		done: make(chan struct{}),
	}
	write := func(context.Context) {
		defer close(pending.done)
		// A single write, so that the header and a short body share a packet.
		var b bytes.Buffer
		if pending.err = outgoing.Write(&b); pending.err != nil {
			return
		}
		_, pending.err = conn.Write(b.Bytes())
	}
	if length <= maxInlineBody {
		write(ctx)
	} else {
		go write(ctx)
	}
	return pending
}

// buildRequest converts the request; its target and body stay unchanged.
func buildRequest(request Request) (*http.Request, error) {
	target := &url.URL{
		Scheme: "http",
		Host:   string(request.Upstream.Address),
		Opaque: request.Target,
	}
	if strings.HasPrefix(request.Target, "//") {
		// net/http puts the scheme in front of an opaque target with two slashes.
		parsed, err := url.ParseRequestURI(request.Target)
		if err != nil {
			return nil, err
		}
		target = &url.URL{
			Path:     "//" + strings.TrimPrefix(parsed.Path, "//"),
			RawPath:  parsed.RawPath,
			RawQuery: parsed.RawQuery,
		}
	}
	header := request.Header
	if header == nil {
		header = make(http.Header)
	}
	if _, ok := header["User-Agent"]; !ok {
		header["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	outgoing := &http.Request{
		Method:        request.Method,
		URL:           target,
		Host:          request.Host,
		Header:        header,
		ContentLength: int64(len(request.Body)),
	}
	if len(request.Body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(request.Body))
	}
	return outgoing, nil
}
