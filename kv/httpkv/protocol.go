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
	Body   any // sent as JSON; nil sends none
}

// Protocol translates the operations of a kv.Store to calls of one service and
// the answers back. Decoders get the body of an answer with status 200 and
// return an error if it is malformed.
type Protocol interface {
	Get(key kv.Key) Call
	List(prefix, after kv.Key, limit int) Call
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

	// Refusal returns the error of package kv that an answer other than 200
	// states, or nil if the answer says nothing about the call.
	Refusal(call Call, status int, body []byte) error
}

// plain is the protocol of package kvjson.
type plain struct{}

var _ Protocol = plain{}

func (plain) Get(key kv.Key) Call {
	return Call{
		Method: http.MethodGet,
		Path:   kvjson.EntryPath,
		Query:  url.Values{"key": {string(key)}},
	}
}

func (plain) List(prefix, after kv.Key, limit int) Call {
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

func (plain) Put(put kv.Put) Call {
	return Call{
		Method: http.MethodPut,
		Path:   kvjson.EntryPath,
		Body:   kvjson.Put(put),
	}
}

func (plain) Delete(key kv.Key, expect kv.Version) Call {
	return Call{
		Method: http.MethodDelete,
		Path:   kvjson.EntryPath,
		Query: url.Values{
			"key":    {string(key)},
			"expect": {strconv.FormatUint(uint64(expect), 10)},
		},
	}
}

func (plain) Watch(prefix kv.Key, after kv.Cursor, wait time.Duration) Call {
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

func (plain) Grant(ttl time.Duration) Call {
	return Call{
		Method: http.MethodPost,
		Path:   kvjson.LeasePath,
		Body: kvjson.Grant{
			TTL: (ttl + time.Millisecond - 1).Milliseconds(),
		},
	}
}

func (plain) Renew(lease kv.LeaseID) Call {
	return Call{
		Method: http.MethodPost,
		Path:   kvjson.RenewPath,
		Body: kvjson.Lease{
			Lease: lease,
		},
	}
}

func (plain) Revoke(lease kv.LeaseID) Call {
	return Call{
		Method: http.MethodDelete,
		Path:   kvjson.LeasePath,
		Query:  url.Values{"lease": {strconv.FormatUint(uint64(lease), 10)}},
	}
}

func (plain) Entry(body []byte) (kv.Entry, error) {
	var found kvjson.Entry
	err := json.Unmarshal(body, &found)
	return kv.Entry(found), err
}

func (plain) Page(body []byte) (kv.Page, error) {
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

func (plain) Version(body []byte) (kv.Version, error) {
	var written kvjson.Written
	err := json.Unmarshal(body, &written)
	return written.Version, err
}

func (plain) Changes(body []byte) (kv.Changes, error) {
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

func (plain) Lease(body []byte) (kv.LeaseID, error) {
	var granted kvjson.Lease
	err := json.Unmarshal(body, &granted)
	return granted.Lease, err
}

func (plain) Refusal(_ Call, status int, body []byte) error {
	switch status {
	case http.StatusNotFound:
		var fault kvjson.Error
		if json.Unmarshal(body, &fault) == nil && fault.Error == kvjson.NotFound {
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
