package hostlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Errors that Client returns, annotated.
const (
	ErrUnavailable = errors.ConstError("host list unavailable")
	ErrInvalid     = errors.ConstError("answer is not a host list")
)

// maxListBytes bounds the response, since a faulty service may send bytes without end.
// The rows of 4,100 hosts take 1 MB.
const maxListBytes = 16 << 20

// Client reads the host list over HTTP. It is safe for concurrent use.
//
// It sends conditional requests, which transfer only a list that has changed: the
// whole list, read once a second, took 12 KB/s at 9 hosts and 44 upstreams, more
// than all other control traffic of a host.
type Client struct {
	url    string
	client *http.Client
	mu     sync.Mutex
	etag   string // entity tag of last
	last   List   // read-only
}

// New returns a client of the host list at address.
func New(address ident.Address, client *http.Client) *Client {
	return &Client{
		url:    "http://" + string(address) + "/hosts",
		client: client,
	}
}

// Fetch returns the current list, which the caller must not change. It returns
// ErrUnavailable if no complete successful response arrived, and ErrInvalid if it
// is malformed, so that a reader never acts on a partial list. Single rows that
// cannot be used do not invalidate the others.
func (c *Client) Fetch(ctx context.Context) (List, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return List{}, errors.Annotate(err, "build host list request")
	}
	etag, last := c.cached()
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return List{}, errors.Annotatef(ErrUnavailable, "fetch host list: %v", err)
	}
	defer func() {
		_ = response.Body.Close()
	}()
	if response.StatusCode == http.StatusNotModified && etag != "" {
		return last, nil
	}
	if response.StatusCode != http.StatusOK {
		return List{}, errors.Annotatef(ErrUnavailable, "fetch host list: status %d", response.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	switch {
	case err != nil:
		return List{}, errors.Annotatef(ErrUnavailable, "read host list: %v", err)
	case len(body) > maxListBytes:
		return List{}, errors.Annotatef(ErrInvalid, "host list exceeds %d bytes", maxListBytes)
	}
	list, err := decode(body)
	if err != nil {
		return List{}, err
	}
	c.store(response.Header.Get("ETag"), list)
	return list, nil
}

// encodedList is a List whose rows are not decoded yet.
type encodedList struct {
	Version uint64            `json:"version"`
	Hosts   []json.RawMessage `json:"hosts"`
}

// decode decodes a list. A row that is malformed or fails Check is rejected, and the
// others are used.
func decode(body []byte) (List, error) {
	var encoded encodedList
	if err := json.Unmarshal(body, &encoded); err != nil {
		return List{}, errors.Annotatef(ErrInvalid, "decode host list: %v", err)
	}
	list := List{
		Version: encoded.Version,
	}
	for i, row := range encoded.Hosts {
		var host Host
		err := json.Unmarshal(row, &host)
		if err == nil {
			err = host.Check()
		}
		if err != nil {
			list.Rejected = append(list.Rejected, errors.Annotatef(err, "host list row %d", i))
			continue
		}
		list.Hosts = append(list.Hosts, host)
	}
	return list, nil
}

func (c *Client) cached() (string, List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.last
}

func (c *Client) store(etag string, list List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag = etag
	c.last = list
}

// Check returns ErrInvalid if the row has no name or an unknown kind or state.
func (h Host) Check() error {
	if h.Name == "" {
		return errors.Annotate(ErrInvalid, "host without a name")
	}
	if h.Kind != EntryHost && h.Kind != UpstreamHost {
		return errors.Annotatef(ErrInvalid, "host %q has kind %q", h.Name, h.Kind)
	}
	if h.State != Live && h.State != Leaving {
		return errors.Annotatef(ErrInvalid, "host %q has state %q", h.Name, h.State)
	}
	return nil
}
