package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/transport/httpstatus"
	"github.com/nutmegshift/nutmegshift/kv"
)

// maxResponseBytes bounds the body of a response, since a faulty service may send bytes
// without end. A watch may report several values of kv.MaxValueBytes at a time.
const maxResponseBytes = 16 << 20

// firstBytes is the size of the first buffer of a response in bytes.
const firstBytes = 4 << 10

// Config holds the dependencies of a Store.
type Config struct {
	Address ident.Address
	Client  *http.Client  // its redirect policy is not used
	Limit   time.Duration // timeout of a call; that of a watch is Limit plus Wait
	Wait    time.Duration // time after which the service ends a watch without changes
	// Protocol is the protocol of the service; nil means that of the project's stand-ins.
	Protocol Protocol
}

// Store is a kv.Store over HTTP. It is safe for concurrent use.
type Store struct {
	base      string
	client    *http.Client
	timeout   time.Duration
	watchWait time.Duration
	protocol  Protocol
	epoch     atomic.Uint64 // highest kv.Epoch that a response has stated
}

var _ kv.Store = (*Store)(nil)

// New returns a store that calls the service at the configured address.
func New(config Config) *Store {
	client := *config.Client
	// A followed redirect could send a write twice.
	client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	protocol := config.Protocol
	if protocol == nil {
		protocol = kvjsonProtocol{}
	}
	return &Store{
		base:      "http://" + string(config.Address),
		client:    &client,
		timeout:   config.Limit,
		watchWait: config.Wait,
		protocol:  protocol,
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key kv.Key) (kv.Entry, error) {
	entry, err := read(ctx, s, s.protocol.Get(key), s.timeout, s.decodeEntry)
	return entry, errors.Annotatef(err, "get %q", key)
}

// List implements kv.Store. A service that chooses the size of its pages may
// send more entries than limit; the surplus is cut off.
func (s *Store) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	return s.list(ctx, s.protocol.List(prefix, after, limit), prefix, limit)
}

// ListStale is a List whose result may be out of date by the time that the service takes
// to replicate a write. It costs the service less.
func (s *Store) ListStale(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	return s.list(ctx, s.protocol.ListStale(prefix, after, limit), prefix, limit)
}

func (s *Store) list(ctx context.Context, c Call, prefix kv.Key, limit int) (kv.Page, error) {
	page, err := read(ctx, s, c, s.timeout, s.decodePage)
	if limit > 0 && len(page.Entries) > limit {
		page.Entries = page.Entries[:limit]
		page.More = true
	}
	if err == nil && page.More && len(page.Entries) == 0 {
		err = errors.Annotate(kv.ErrUnavailable, "page has no entries, but more follow")
	}
	return page, errors.Annotatef(err, "list %q", prefix)
}

// Put implements kv.Store. It returns a NotValid error for a key that is not
// valid UTF-8, because JSON would change it, and ErrConflict if the expected version is of
// an earlier epoch: that version may be another write now.
func (s *Store) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	if !utf8.ValidString(string(put.Key)) {
		return 0, errors.NotValidf("key %q", put.Key)
	}
	if len(put.Value) > kv.MaxValueBytes {
		return 0, errors.Annotatef(kv.ErrTooLarge, "put %q", put.Key)
	}
	if s.isEarlier(put.Expect) {
		return 0, errors.Annotatef(kv.ErrConflict, "put %q: version of an earlier epoch", put.Key)
	}
	put.Expect = kv.RevisionOf(put.Expect)
	version, err := write(ctx, s, s.protocol.Put(put), s.decodeVersion)
	return version, errors.Annotatef(err, "put %q", put.Key)
}

// Delete implements kv.Store. Like Put, it returns ErrConflict if the expected version is of
// an earlier epoch.
func (s *Store) Delete(ctx context.Context, key kv.Key, expect kv.Version) error {
	if s.isEarlier(expect) {
		return errors.Annotatef(kv.ErrConflict, "delete %q: version of an earlier epoch", key)
	}
	_, err := write(ctx, s, s.protocol.Delete(key, kv.RevisionOf(expect)), decodeEmpty)
	return errors.Annotatef(err, "delete %q", key)
}

// Watch implements kv.Store. It returns ErrCompacted if the cursor is of another epoch than
// the response: the changes between it and the backup from which the service was restored
// are lost, and others may have their numbers.
func (s *Store) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	call := s.protocol.Watch(prefix, kv.RevisionOf(after), s.watchWait)
	changes, err := read(ctx, s, call, s.timeout+s.watchWait, s.decodeChanges)
	if err == nil && kv.EpochOf(changes.Cursor) != kv.EpochOf(after) {
		return kv.Changes{}, errors.Annotatef(kv.ErrCompacted, "watch %q: cursor of epoch %d", prefix, kv.EpochOf(after))
	}
	return changes, errors.Annotatef(err, "watch %q", prefix)
}

// Grant implements kv.Store. The ttl is rounded up to milliseconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	lease, err := write(ctx, s, s.protocol.Grant(ttl), s.decodeLease)
	return lease, errors.Annotate(err, "grant lease")
}

// Renew implements kv.Store.
func (s *Store) Renew(ctx context.Context, lease kv.LeaseID) error {
	_, err := write(ctx, s, s.protocol.Renew(lease), decodeEmpty)
	return errors.Annotatef(err, "renew lease %d", lease)
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, lease kv.LeaseID) error {
	_, err := write(ctx, s, s.protocol.Revoke(lease), decodeEmpty)
	return errors.Annotatef(err, "revoke lease %d", lease)
}

// read makes a call that has no effect on the service.
func read[T any](ctx context.Context, s *Store, c Call, timeout time.Duration, decode func(response) (T, error)) (T, error) {
	return exchange(ctx, s, call{
		Call:    c,
		timeout: timeout,
	}, decode)
}

// write makes a call that may take effect even if its response is lost.
func write[T any](ctx context.Context, s *Store, c Call, decode func(response) (T, error)) (T, error) {
	return exchange(ctx, s, call{
		Call:    c,
		timeout: s.timeout,
		write:   true,
	}, decode)
}

type call struct {
	Call
	timeout time.Duration
	write   bool
}

// sentError returns the error of a call that was sent but got no usable response.
func (c call) sentError(cause string) error {
	if c.write {
		return errors.Annotate(kv.ErrUncertain, cause)
	}
	return errors.Annotate(kv.ErrUnavailable, cause)
}

// exchange sends the call and decodes the response.
func exchange[T any](ctx context.Context, s *Store, c call, decode func(response) (T, error)) (T, error) {
	var zero T
	received, err := s.do(ctx, c)
	if err != nil {
		return zero, err
	}
	result, err := decode(received)
	if err != nil {
		return zero, c.sentError("decode answer: " + err.Error())
	}
	return result, nil
}

// do sends the call and returns the response if its status is 200.
func (s *Store) do(ctx context.Context, c call) (response, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, sent, err := s.newRequest(ctx, c)
	if err != nil {
		return response{}, err
	}
	received, err := s.client.Do(request)
	if err != nil {
		if !sent.Load() {
			return response{}, errors.Annotate(kv.ErrUnavailable, err.Error())
		}
		return response{}, c.sentError(err.Error())
	}
	defer func() {
		_ = received.Body.Close()
	}()
	if httpstatus.KindOf(received.StatusCode) != httpstatus.Final {
		return response{}, c.sentError("status " + strconv.Itoa(received.StatusCode))
	}
	body, err := readAll(received.Body, maxResponseBytes+1)
	switch {
	case err != nil:
		return response{}, c.sentError("read answer: " + err.Error())
	case len(body) > maxResponseBytes:
		return response{}, c.sentError("answer exceeds " + strconv.Itoa(maxResponseBytes) + " bytes")
	}
	epoch, err := s.protocol.Epoch(received.Header)
	if err != nil || epoch > kv.MaxEpoch {
		return response{}, c.sentError("answer has no valid epoch")
	}
	s.observeEpoch(epoch)
	if received.StatusCode != http.StatusOK {
		return response{}, s.statusError(c, received.StatusCode, body)
	}
	return response{
		epoch: epoch,
		body:  body,
	}, nil
}

// newRequest builds the HTTP request. The returned flag becomes true once a
// connection is assigned to the request. The transport asks for another
// connection only if it wrote nothing to the first, so GetConn resets the flag.
func (s *Store) newRequest(ctx context.Context, c call) (*http.Request, *atomic.Bool, error) {
	var body io.Reader
	if c.Body != nil {
		encoded, err := json.Marshal(c.Body)
		if err != nil {
			return nil, nil, errors.Annotate(err, "encode request")
		}
		body = bytes.NewReader(encoded)
	}
	sent := new(atomic.Bool)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) {
			sent.Store(false)
		},
		GotConn: func(httptrace.GotConnInfo) {
			sent.Store(true)
		},
	})
	target := s.base + c.Path
	if len(c.Query) > 0 {
		target += "?" + c.Query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, c.Method, target, body)
	if err != nil {
		return nil, nil, errors.Annotate(err, "build request")
	}
	if c.Body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, sent, nil
}

// statusError returns the error for a response with a status other than 200. A
// 4xx or 503 states that the service did not accept the call, so it had no
// effect; 500, 502 and 504 may come from a proxy after the service has run the
// call.
func (s *Store) statusError(c call, status int, body []byte) error {
	cause := "status " + strconv.Itoa(status)
	if err := s.protocol.Refusal(c.Call, status, body); err != nil {
		return errors.Annotate(err, cause)
	}
	if status == http.StatusServiceUnavailable || status >= 400 && status < 500 {
		return errors.Annotate(kv.ErrUnavailable, cause)
	}
	return c.sentError(cause)
}

// readAll reads a body of at most limit bytes, or the first limit bytes of a longer one. Its
// buffer doubles up to the limit: io.ReadAll grows in smaller steps, and leaves five times as
// much garbage as the body has bytes.
func readAll(r io.Reader, limit int) ([]byte, error) {
	body := make([]byte, 0, firstBytes)
	for {
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case err == io.EOF || len(body) == limit:
			return body, nil
		case err != nil:
			return nil, err
		case len(body) == cap(body):
			larger := make([]byte, len(body), min(2*cap(body), limit))
			copy(larger, body)
			body = larger
		}
	}
}
