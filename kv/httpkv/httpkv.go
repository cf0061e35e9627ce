package httpkv

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/kvjson"
	"github.com/nutmegshift/nutmegshift/kv"
)

// Config holds the dependencies of a Store.
type Config struct {
	Address ident.Address
	Client  *http.Client  // its redirect policy is not used
	Limit   time.Duration // longest single call; a watch may take Wait longer
	Wait    time.Duration // time after which the service answers a watch without changes
}

// Store is a kv.Store over HTTP.
type Store struct {
	base   string
	client *http.Client
	limit  time.Duration
	wait   time.Duration
}

var _ kv.Store = (*Store)(nil)

// New returns a store that reaches the service at the configured address.
func New(config Config) *Store {
	client := *config.Client
	// A followed redirect could send a write twice.
	client.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &Store{
		base:   "http://" + string(config.Address),
		client: &client,
		limit:  config.Limit,
		wait:   config.Wait,
	}
}

// Get implements kv.Store.
func (s *Store) Get(ctx context.Context, key kv.Key) (kv.Entry, error) {
	var found kvjson.Entry
	err := s.do(ctx, call{
		method: http.MethodGet,
		path:   kvjson.EntryPath,
		query:  url.Values{"key": {string(key)}},
		limit:  s.limit,
		answer: &found,
	})
	if err != nil {
		return kv.Entry{}, errors.Annotatef(err, "get %q", key)
	}
	return kv.Entry(found), nil
}

// List implements kv.Store.
func (s *Store) List(ctx context.Context, prefix, after kv.Key, limit int) (kv.Page, error) {
	var found kvjson.Page
	err := s.do(ctx, call{
		method: http.MethodGet,
		path:   kvjson.ListPath,
		query: url.Values{
			"prefix": {string(prefix)},
			"after":  {string(after)},
			"limit":  {strconv.Itoa(limit)},
		},
		limit:  s.limit,
		answer: &found,
	})
	if err != nil {
		return kv.Page{}, errors.Annotatef(err, "list %q", prefix)
	}
	page := kv.Page{
		Cursor: found.Cursor,
		More:   found.More,
	}
	for _, entry := range found.Entries {
		page.Entries = append(page.Entries, kv.Entry(entry))
	}
	return page, nil
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
	var written kvjson.Written
	err := s.do(ctx, call{
		method: http.MethodPut,
		path:   kvjson.EntryPath,
		body:   kvjson.Put(put),
		limit:  s.limit,
		write:  true,
		answer: &written,
	})
	return written.Version, errors.Annotatef(err, "put %q", put.Key)
}

// Delete implements kv.Store.
func (s *Store) Delete(ctx context.Context, key kv.Key, expect kv.Version) error {
	err := s.do(ctx, call{
		method: http.MethodDelete,
		path:   kvjson.EntryPath,
		query: url.Values{
			"key":    {string(key)},
			"expect": {strconv.FormatUint(uint64(expect), 10)},
		},
		limit:  s.limit,
		write:  true,
		answer: &kvjson.Done{},
	})
	return errors.Annotatef(err, "delete %q", key)
}

// Watch implements kv.Store.
func (s *Store) Watch(ctx context.Context, prefix kv.Key, after kv.Cursor) (kv.Changes, error) {
	var found kvjson.Changes
	err := s.do(ctx, call{
		method: http.MethodGet,
		path:   kvjson.WatchPath,
		query: url.Values{
			"prefix": {string(prefix)},
			"after":  {strconv.FormatUint(uint64(after), 10)},
			"wait":   {strconv.FormatInt(s.wait.Milliseconds(), 10)},
		},
		limit:  s.limit + s.wait,
		answer: &found,
	})
	if err != nil {
		return kv.Changes{}, errors.Annotatef(err, "watch %q", prefix)
	}
	changes := kv.Changes{
		Cursor: found.Cursor,
	}
	for _, change := range found.Changes {
		changes.Changes = append(changes.Changes, kv.Change{
			Entry:   kv.Entry(change.Entry),
			Deleted: change.Deleted,
		})
	}
	return changes, nil
}

// Grant implements kv.Store. The ttl is rounded up to milliseconds.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (kv.LeaseID, error) {
	var granted kvjson.Lease
	err := s.do(ctx, call{
		method: http.MethodPost,
		path:   kvjson.LeasePath,
		body: kvjson.Grant{
			TTL: (ttl + time.Millisecond - 1).Milliseconds(),
		},
		limit:  s.limit,
		write:  true,
		answer: &granted,
	})
	return granted.Lease, errors.Annotate(err, "grant lease")
}

// Renew implements kv.Store.
func (s *Store) Renew(ctx context.Context, lease kv.LeaseID) error {
	err := s.do(ctx, call{
		method: http.MethodPost,
		path:   kvjson.RenewPath,
		body: kvjson.Lease{
			Lease: lease,
		},
		limit:  s.limit,
		write:  true,
		answer: &kvjson.Done{},
	})
	return errors.Annotatef(err, "renew lease %d", lease)
}

// Revoke implements kv.Store.
func (s *Store) Revoke(ctx context.Context, lease kv.LeaseID) error {
	err := s.do(ctx, call{
		method: http.MethodDelete,
		path:   kvjson.LeasePath,
		query:  url.Values{"lease": {strconv.FormatUint(uint64(lease), 10)}},
		limit:  s.limit,
		write:  true,
		answer: &kvjson.Done{},
	})
	return errors.Annotatef(err, "revoke lease %d", lease)
}

type call struct {
	method string
	path   string
	query  url.Values
	body   any // nil sends none
	limit  time.Duration
	write  bool
	answer any // receives the body of a 200
}

// lost returns the error of a call that was sent and has no usable answer.
func (c call) lost(cause string) error {
	if c.write {
		return errors.Annotate(kv.ErrUncertain, cause)
	}
	return errors.Annotate(kv.ErrUnavailable, cause)
}

func (s *Store) do(ctx context.Context, c call) error {
	ctx, cancel := context.WithTimeout(ctx, c.limit)
	defer cancel()
	request, sent, err := s.request(ctx, c)
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		if !sent.Load() {
			return errors.Annotate(kv.ErrUnavailable, err.Error())
		}
		return c.lost(err.Error())
	}
	defer func() {
		_ = response.Body.Close()
	}()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return c.lost("read answer: " + err.Error())
	}
	if response.StatusCode != http.StatusOK {
		return c.refused(response.StatusCode, body)
	}
	if err := json.Unmarshal(body, c.answer); err != nil {
		return c.lost("decode answer: " + err.Error())
	}
	return nil
}

// request builds the HTTP request; sent becomes true once a connection is
// assigned to it. The transport asks for another connection only if it wrote
// nothing to the first, so GetConn resets sent.
func (s *Store) request(ctx context.Context, c call) (*http.Request, *atomic.Bool, error) {
	var body io.Reader
	if c.body != nil {
		encoded, err := json.Marshal(c.body)
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
	target := s.base + c.path
	if len(c.query) > 0 {
		target += "?" + c.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, c.method, target, body)
	if err != nil {
		return nil, nil, errors.Annotate(err, "build request")
	}
	if c.body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	return request, sent, nil
}

// refused translates an answer other than 200. A 4xx states that the service
// did not accept the call, so it had no effect; 500, 502 and 504 may come from
// a proxy after the service has run the call.
func (c call) refused(status int, body []byte) error {
	cause := "status " + strconv.Itoa(status)
	switch status {
	case http.StatusNotFound:
		var fault kvjson.Error
		if json.Unmarshal(body, &fault) == nil && fault.Error == kvjson.NotFound {
			return errors.Annotate(kv.ErrNotFound, cause)
		}
		return errors.Annotate(kv.ErrUnavailable, cause)
	case http.StatusConflict:
		return errors.Annotate(kv.ErrConflict, cause)
	case http.StatusGone:
		return errors.Annotate(kv.ErrCompacted, cause)
	case http.StatusPreconditionFailed:
		return errors.Annotate(kv.ErrLeaseLost, cause)
	case http.StatusRequestEntityTooLarge:
		return errors.Annotate(kv.ErrTooLarge, cause)
	case http.StatusServiceUnavailable:
		return errors.Annotate(kv.ErrUnavailable, cause)
	}
	if status >= 400 && status < 500 {
		return errors.Annotate(kv.ErrUnavailable, cause)
	}
	return c.lost(cause)
}
