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
	"github.com/nutmegshift/nutmegshift/kv"
)

// Config holds the dependencies of a Store.
type Config struct {
	Address ident.Address
	Client  *http.Client  // its redirect policy is not used
	Limit   time.Duration // longest single call; a watch may take Wait longer
	Wait    time.Duration // time after which the service answers a watch without changes
	// Protocol is that of the service; nil is that of the project's stand-ins.
	Protocol Protocol
}

// Store is a kv.Store over HTTP.
type Store struct {
	base     string
	client   *http.Client
	limit    time.Duration
	wait     time.Duration
	protocol Protocol
}

var _ kv.Store = (*Store)(nil)

// New returns a store that reaches the service at the configured address.
func New(config Config) *Store {
	client := *config.Client
	// A followed redirect could send a write twice.
	client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	protocol := config.Protocol
	if protocol == nil {
		protocol = plain{}
	}
	return &Store{
		base:     "http://" + string(config.Address),
		client:   &client,
		limit:    config.Limit,
		wait:     config.Wait,
		protocol: protocol,
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key kv.Key) (kv.Entry, error) {
	entry, err := read(ctx, s, s.protocol.Get(key), s.limit, s.protocol.Entry)
	return entry, errors.Annotatef(err, "get %q", key)
}

// List implements kv.Store. A service that chooses the size of its pages may
// send more than the limit.
func (s *Store) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	page, err := read(ctx, s, s.protocol.List(prefix, after, limit), s.limit, s.protocol.Page)
	if limit > 0 && len(page.Entries) > limit {
		page.Entries = page.Entries[:limit]
		page.More = true
	}
	return page, errors.Annotatef(err, "list %q", prefix)
}

// Put implements kv.Store. A key that is not valid UTF-8 is refused, because
// JSON would change it.
func (s *Store) Put(ctx context.Context, put kv.Put) (kv.Version, error) {
	if !utf8.ValidString(string(put.Key)) {
		return 0, errors.NotValidf("key %q", put.Key)
	}
	if len(put.Value) > kv.MaxValueBytes {
		return 0, errors.Annotatef(kv.ErrTooLarge, "put %q", put.Key)
	}
	version, err := write(ctx, s, s.protocol.Put(put), s.protocol.Version)
	return version, errors.Annotatef(err, "put %q", put.Key)
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key kv.Key, expect kv.Version) error {
	_, err := write(ctx, s, s.protocol.Delete(key, expect), done)
	return errors.Annotatef(err, "delete %q", key)
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	changes, err := read(ctx, s, s.protocol.Watch(prefix, after, s.wait), s.limit+s.wait, s.protocol.Changes)
	return changes, errors.Annotatef(err, "watch %q", prefix)
}

// Grant implements kv.Store. The ttl is rounded up to milliseconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	lease, err := write(ctx, s, s.protocol.Grant(ttl), s.protocol.Lease)
	return lease, errors.Annotate(err, "grant lease")
}

// Renew implements kv.Store.
func (s *Store) Renew(ctx context.Context, lease kv.LeaseID) error {
	_, err := write(ctx, s, s.protocol.Renew(lease), done)
	return errors.Annotatef(err, "renew lease %d", lease)
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, lease kv.LeaseID) error {
	_, err := write(ctx, s, s.protocol.Revoke(lease), done)
	return errors.Annotatef(err, "revoke lease %d", lease)
}

// done decodes an answer whose body holds nothing of interest; a body that is
// not JSON does not come from the service.
func done(body []byte) (struct{}, error) {
	var fields map[string]json.RawMessage
	return struct{}{}, json.Unmarshal(body, &fields)
}

// read makes a call without an effect.
func read[T any](ctx context.Context, s *Store, c Call, limit time.Duration, decode func([]byte) (T, error)) (T, error) {
	return exchange(ctx, s, call{
		Call:  c,
		limit: limit,
	}, decode)
}

// write makes a call that may take effect although its answer is lost.
func write[T any](ctx context.Context, s *Store, c Call, decode func([]byte) (T, error)) (T, error) {
	return exchange(ctx, s, call{
		Call:  c,
		limit: s.limit,
		write: true,
	}, decode)
}

type call struct {
	Call
	limit time.Duration
	write bool
}

// lost returns the error of a call that was sent and has no usable answer.
func (c call) lost(cause string) error {
	if c.write {
		return errors.Annotate(kv.ErrUncertain, cause)
	}
	return errors.Annotate(kv.ErrUnavailable, cause)
}

func exchange[T any](ctx context.Context, s *Store, c call, decode func([]byte) (T, error)) (T, error) {
	var none T
	body, err := s.do(ctx, c)
	if err != nil {
		return none, err
	}
	answer, err := decode(body)
	if err != nil {
		return none, c.lost("decode answer: " + err.Error())
	}
	return answer, nil
}

// do returns the body of the answer if its status is 200.
func (s *Store) do(ctx context.Context, c call) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	request, sent, err := s.request(ctx, c)
	if err != nil {
		return nil, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		if !sent.Load() {
			return nil, errors.Annotate(kv.ErrUnavailable, err.Error())
		}
		return nil, c.lost(err.Error())
	}
	defer func() {
		_ = response.Body.Close()
	}()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, c.lost("read answer: " + err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return nil, s.refused(c, response.StatusCode, body)
	}
	return body, nil
}

// request builds the HTTP request; sent becomes true once a connection is
// assigned to it. The transport asks for another connection only if it wrote
// nothing to the first, so GetConn resets sent.
func (s *Store) request(ctx context.Context, c call) (*http.Request, *atomic.Bool, error) {
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

// refused translates an answer other than 200. A 4xx or 503 states that the
// service did not accept the call, so it had no effect; 500, 502 and 504 may
// come from a proxy after the service has run the call.
func (s *Store) refused(c call, status int, body []byte) error {
	cause := "status " + strconv.Itoa(status)
	if err := s.protocol.Refusal(c.Call, status, body); err != nil {
		return errors.Annotate(err, cause)
	}
	if status == http.StatusServiceUnavailable || status >= 400 && status < 500 {
		return errors.Annotate(kv.ErrUnavailable, cause)
	}
	return c.lost(cause)
}
