package upstreamhttp

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/internal/transport/httpstatus"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

const (
	// maxSkipped is the number of responses to other requests, and of informational
	// responses, that are skipped before a response.
	maxSkipped       = 2
	maxInformational = 8
	// maxHeaderBytes bounds the header of a response, and maxSkippedBytes the body of a
	// response that is skipped: a faulty upstream may send bytes without end.
	maxHeaderBytes  = 64 << 10
	maxSkippedBytes = 1 << 20
	// writeEndTimeout is how long the rest of a request may take after the end of an
	// unframed response. An upstream that has broken off ends it at once.
	writeEndTimeout = time.Second
)

// errUnidentified means that a response on a reused connection may belong to an earlier
// request.
const errUnidentified = errors.ConstError("response without a request id on a reused connection")

// receivedHeader is the header of the response to a request.
type receivedHeader struct {
	header     *http.Response
	reply      wire.Reply
	expected   bool // no response to another request came before it
	identified bool // it has the id of the request
}

// readResponse reads the header of the response to the request. It skips
// informational responses and responses to other requests. It returns errUnidentified if
// the request may be sent again and the response may belong to another request.
func (c *Client) readResponse(conn *connection, request Request) (receivedHeader, error) {
	skipped, informational := 0, 0
	outgoing := &http.Request{
		Method: request.Method, // tells whether the response has a body
	}
	for {
		response, err := conn.readHeader(outgoing) //nolint:bodyclose // Response.Close closes it
		if err != nil {
			return receivedHeader{}, err
		}
		switch httpstatus.KindOf(response.StatusCode) {
		case httpstatus.Invalid:
			return receivedHeader{}, errors.Errorf("response has status %03d", response.StatusCode)
		case httpstatus.Informational:
			informational++
			if informational > maxInformational {
				return receivedHeader{}, errors.Annotatef(ErrOversized, "more than %d informational responses", maxInformational)
			}
			continue
		case httpstatus.Final:
		}
		reply := c.config.Codec.Reply(response.StatusCode, response.Header)
		switch owner := ownerOf(reply, request, conn.used || skipped > 0); {
		case owner == thisRequest:
			return receivedHeader{
				header:     response,
				reply:      reply,
				expected:   skipped == 0,
				identified: request.ID != "" && reply.Request == request.ID,
			}, nil
		case owner == unknownRequest && request.Repeatable:
			return receivedHeader{}, errUnidentified
		}
		skipped++
		if skipped > maxSkipped || response.Close {
			return receivedHeader{}, errors.Errorf("response belongs to request %q", reply.Request)
		}
		if err := skipBody(response); err != nil {
			return receivedHeader{}, errors.Annotate(err, "skip response to another request")
		}
	}
}

// owner tells to which request a response belongs.
type owner uint8

const (
	thisRequest owner = iota + 1
	otherRequest
	unknownRequest
)

// ownerOf returns the owner of a response. Without an id it is this request only if the
// connection has carried no other one: a faulty upstream may write the response to an
// earlier request once more. Responses to requests without an id cannot be told apart
// here; see Response.Accept.
func ownerOf(reply wire.Reply, request Request, reused bool) owner {
	switch {
	case reply.Request == request.ID:
		return thisRequest
	case reply.Request != "" || reply.Sealed:
		return otherRequest
	case reused:
		return unknownRequest
	}
	return thisRequest
}

// skipBody reads the body of a response to another request.
func skipBody(response *http.Response) error {
	n, err := io.CopyN(io.Discard, response.Body, maxSkippedBytes+1)
	switch {
	case err == io.EOF:
		return nil
	case err != nil:
		return err
	}
	return errors.Annotatef(ErrOversized, "body exceeds %d bytes", n-1)
}

// Response is an upstream's response. The caller must close it.
type Response struct {
	Status      int
	Header      http.Header
	Reply       wire.Reply
	Length      int64 // of the body in bytes; -1 if unknown
	Unframed    bool  // the body ends with the connection, whether it is complete or not
	Misdirected bool  // a reused connection led to an upstream that no longer has the address

	client   *Client
	conn     *connection
	body     io.ReadCloser
	stop     func() bool // detaches the context from the connection
	sending  *requestWrite
	reusable bool // the connection may be used again once the response is accepted
	accepted bool
	complete bool
	distinct bool // see Request
}

// Read reads the body. The body is complete only if the error is io.EOF. It returns ErrLost
// for an unframed body that ends before the request has been written.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if err != io.EOF {
		return n, err
	}
	// A reset is reported only once, to a read or a write. Reads after a write that has
	// failed find an orderly end. The body of a refusal is not passed on.
	if r.Unframed && !r.Reply.NotRun && !r.awaitSent() {
		return n, errors.Annotate(ErrLost, "body without a length ends before the request has been written")
	}
	r.complete = true
	return n, io.EOF
}

// ReadAll reads the whole body, of at most limit bytes, into the memory of the lease. It
// returns ErrLost if the body is incomplete, or a copy of the previous one although it must
// be distinct, or if there is no memory for it, and ErrOversized if it is longer.
func (r *Response) ReadAll(ctx context.Context, lease *memory.Lease, limit int64) ([]byte, error) {
	body, err := lease.ReadAll(ctx, r, r.Length, limit)
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return nil, errors.WithType(errors.Annotatef(ErrLost, "body exceeds %d bytes", limit), ErrOversized)
	case err != nil:
		return nil, errors.Annotatef(ErrLost, "read body: %v", err)
	case r.distinct && r.conn.hasHad(body):
		r.reusable = false
		return nil, errors.Annotate(ErrLost, "response repeats an earlier one")
	}
	return body, nil
}

// Accept records that the response is the one to its request, as the caller can tell by
// its content. The connection of a response that neither has the id of the request nor is
// accepted is not used again, since the response that belongs there may still arrive.
func (r *Response) Accept() { r.accepted = true }

// Close ends the exchange. If the exchange is incomplete, Close also closes the
// connection, which tells the upstream that nobody waits for the response.
func (r *Response) Close() {
	detached := r.stop()
	finished := detached && r.complete && r.sent()
	switch {
	case finished && r.reusable && r.accepted && r.conn.reader.Buffered() == 0:
		r.client.putIdle(r.conn)
		return
	case finished:
		r.client.discardIdle(r.conn)
		return
	}
	r.client.discard(r.conn) // makes writeRequest return
	<-r.sending.done
}

// awaitSent waits at most writeEndTimeout for the end of the writing and reports whether
// the whole request has been written.
func (r *Response) awaitSent() bool {
	timer := time.NewTimer(writeEndTimeout)
	defer timer.Stop()
	select {
	case <-r.sending.done:
		return r.sending.err == nil
	case <-timer.C:
		return false
	}
}

// sent reports whether the whole request has been written.
func (r *Response) sent() bool {
	select {
	case <-r.sending.done:
		return r.sending.err == nil
	default:
		return false
	}
}
