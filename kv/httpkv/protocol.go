package httpkv

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/kvjson"
	"github.com/nutmegshift/nutmegshift/kv"
)

// Call is one HTTP call of a Protocol.
type Call struct {
	Method string
	Path   string
	Query  url.Values
	Body   any // sent as JSON; nil sends no body
}

// Protocol translates the operations of a kv.Store into HTTP calls and decodes
// the responses. Versions and cursors are those within an epoch, on both sides. Decoders get
// the body of a response with status 200 and return an error if it is malformed. Methods
// must be safe for concurrent use.
type Protocol interface {
	Get(key kv.Key) Call
	List(prefix, after kv.Key, limit int) Call
	// ListStale is a List whose result may be out of date. It costs the service less.
	ListStale(prefix, after kv.Key, limit int) Call
	Put(put kv.Put) Call
	Delete(key kv.Key, expect kv.Version) Call
	Watch(prefix kv.Key, after kv.Cursor, wait time.Duration) Call
	Grant(ttl time.Duration) Call
	Renew(lease kv.LeaseID) Call
	Revoke(lease kv.LeaseID) Call

	Entry(body []byte) (kv.Entry, error)
	Page(body []byte) (kv.Page, error)
	Version(body []byte) (kv.Version, error)
	Changes(body []byte) (kv.Changes, error)
	Lease(body []byte) (kv.LeaseID, error)

	// Epoch returns the epoch of the service that a response states, 0 if it states none.
	Epoch(header http.Header) (kv.Epoch, error)

	// Refusal returns the error of package kv that a response with a status
	// other than 200 stands for, or nil if it stands for none. For nil, Store
	// returns kv.ErrUnavailable, or kv.ErrUncertain for a write whose status is
	// neither 4xx nor 503.
	Refusal(call Call, status int, body []byte) error
}

// kvjsonProtocol is the protocol of package kvjson.
type kvjsonProtocol struct{}

var _ Protocol = kvjsonProtocol{}

func (kvjsonProtocol) Get(key kv.Key) Call {
	return Call{
		Method: http.MethodGet,
		Path:   kvjson.EntryPath,
		Query:  url.Values{"key": {string(key)}},
	}
}

func (kvjsonProtocol) List(prefix, after kv.Key, limit int) Call {
	return Call{
		Method: http.MethodGet,
		Path:   kvjson.ListPath,
		Query: url.Values{
			"prefix": {string(prefix)},
			"after":  {string(after)},
			"limit":  {strconv.Itoa(limit)},
		},
	}
}

func (p kvjsonProtocol) ListStale(prefix, after kv.Key, limit int) Call {
	return p.List(prefix, after, limit)
}

func (kvjsonProtocol) Put(put kv.Put) Call {
	return Call{
		Method: http.MethodPut,
		Path:   kvjson.EntryPath,
		Body:   kvjson.Put(put),
	}
}

func (kvjsonProtocol) Delete(key kv.Key, expect kv.Version) Call {
	return Call{
		Method: http.MethodDelete,
		Path:   kvjson.EntryPath,
		Query: url.Values{
			"key":    {string(key)},
			"expect": {strconv.FormatUint(uint64(expect), 10)},
		},
	}
}

func (kvjsonProtocol) Watch(prefix kv.Key, after kv.Cursor, wait time.Duration) Call {
	return Call{
		Method: http.MethodGet,
		Path:   kvjson.WatchPath,
		Query: url.Values{
			"prefix": {string(prefix)},
			"after":  {strconv.FormatUint(uint64(after), 10)},
			"wait":   {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
	}
}

func (kvjsonProtocol) Grant(ttl time.Duration) Call {
	return Call{
		Method: http.MethodPost,
		Path:   kvjson.LeasePath,
		Body: kvjson.Grant{
			TTL: (ttl + time.Millisecond - 1).Milliseconds(),
		},
	}
}

func (kvjsonProtocol) Renew(lease kv.LeaseID) Call {
	return Call{
		Method: http.MethodPost,
		Path:   kvjson.RenewPath,
		Body: kvjson.Lease{
			Lease: lease,
		},
	}
}

func (kvjsonProtocol) Revoke(lease kv.LeaseID) Call {
	return Call{
		Method: http.MethodDelete,
		Path:   kvjson.LeasePath,
		Query:  url.Values{"lease": {strconv.FormatUint(uint64(lease), 10)}},
	}
}

func (kvjsonProtocol) Entry(body []byte) (kv.Entry, error) {
	var found kvjson.Entry
	err := json.Unmarshal(body, &found)
	return kv.Entry(found), err
}

func (kvjsonProtocol) Page(body []byte) (kv.Page, error) {
	var found kvjson.Page
	if err := json.Unmarshal(body, &found); err != nil {
		return kv.Page{}, err
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

func (kvjsonProtocol) Version(body []byte) (kv.Version, error) {
	var response kvjson.PutResponse
	err := json.Unmarshal(body, &response)
	return response.Version, err
}

func (kvjsonProtocol) Changes(body []byte) (kv.Changes, error) {
	var found kvjson.Changes
	if err := json.Unmarshal(body, &found); err != nil {
		return kv.Changes{}, err
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

func (kvjsonProtocol) Lease(body []byte) (kv.LeaseID, error) {
	var granted kvjson.Lease
	err := json.Unmarshal(body, &granted)
	return granted.Lease, err
}

func (kvjsonProtocol) Epoch(http.Header) (kv.Epoch, error) { return 0, nil }

func (kvjsonProtocol) Refusal(_ Call, status int, body []byte) error {
	switch status {
	case http.StatusNotFound:
		var response kvjson.Error
		if json.Unmarshal(body, &response) == nil && response.Error == kvjson.NotFound {
			return kv.ErrNotFound
		}
		return kv.ErrUnavailable
	case http.StatusConflict:
		return kv.ErrConflict
	case http.StatusGone:
		return kv.ErrCompacted
	case http.StatusPreconditionFailed:
		return kv.ErrLeaseLost
	case http.StatusRequestEntityTooLarge:
		return kv.ErrTooLarge
	}
	return nil
}
