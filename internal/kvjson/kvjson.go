package kvjson

import (
	"github.com/nutmegshift/nutmegshift/kv"
)

// The paths of the protocol.
const (
	EntryPath = "/kv/entry"
	ListPath  = "/kv/list"
	WatchPath = "/kv/watch"
	LeasePath = "/kv/lease"
	RenewPath = "/kv/lease/renew"
)

// NotFound is the Error.Error of a missing key. It distinguishes a missing key
// from the 404 of a server that does not serve the path.
const NotFound = "not_found"

// Entry is a stored key with its value, and the response to a get call.
type Entry struct {
	Key     kv.Key     `json:"key"`
	Value   []byte     `json:"value"`
	Version kv.Version `json:"version"`
	Lease   kv.LeaseID `json:"lease,omitempty"`
}

// Page is the response to a list call.
type Page struct {
	Entries []Entry   `json:"entries"`
	Cursor  kv.Cursor `json:"cursor"`
	More    bool      `json:"more,omitempty"`
}

// Put is the body of a write.
type Put struct {
	Key    kv.Key     `json:"key"`
	Value  []byte     `json:"value"`
	Expect kv.Version `json:"expect"`
	Lease  kv.LeaseID `json:"lease,omitempty"`
}

// PutResponse is the response to a write.
type PutResponse struct {
	Version kv.Version `json:"version"`
}

// Change is one write or deletion.
type Change struct {
	Entry   Entry `json:"entry"`
	Deleted bool  `json:"deleted,omitempty"`
}

// Changes is the response to a watch call.
type Changes struct {
	Changes []Change  `json:"changes"`
	Cursor  kv.Cursor `json:"cursor"`
}

// Grant is the body of a lease request.
type Grant struct {
	TTL int64 `json:"ttl"` // milliseconds
}

// Lease is the response to a Grant and the body of a renewal.
type Lease struct {
	Lease kv.LeaseID `json:"lease"`
}

// Empty is the response to a call that returns nothing else.
type Empty struct{}

// Error is the response to a call that failed.
type Error struct {
	Error string `json:"error"`
}
