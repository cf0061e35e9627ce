package reporthttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/upstream"
)

// ErrNoReport states that an upstream returned no usable report.
const ErrNoReport = errors.ConstError("no usable report from upstream")

// maxReportBytes bounds the size of one report.
const maxReportBytes = 256 << 10

type loadBody struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	At      int64 `json:"at"` // Unix milliseconds
}

type cacheEvent struct {
	Number uint64 `json:"number"`
	Kind   string `json:"kind"`
	Prefix string `json:"prefix"`
}

type cacheBody struct {
	Events []cacheEvent `json:"events"`
}

// Load reads the load report of an upstream, or returns ErrNoReport.
func Load(ctx context.Context, client *http.Client, address ident.Address) (upstream.Load, error) {
	var body loadBody
	if err := get(ctx, client, address, "/load", &body); err != nil {
		return upstream.Load{}, err
	}
	return upstream.Load{
		Running: body.Running,
		Queued:  body.Queued,
		At:      time.UnixMilli(body.At),
	}, nil
}

// CacheEvents reads the cache events of an engine with sequence numbers greater
// than after, or returns ErrNoReport.
func CacheEvents(ctx context.Context, client *http.Client, address ident.Address, after uint64) ([]upstream.CacheEvent, error) {
	var body cacheBody
	if err := get(ctx, client, address, "/cache/events?after="+strconv.FormatUint(after, 10), &body); err != nil {
		return nil, err
	}
	events := make([]upstream.CacheEvent, 0, len(body.Events))
	for _, e := range body.Events {
		change := upstream.Stored
		if e.Kind != "add" {
			change = upstream.Evicted
		}
		events = append(events, upstream.CacheEvent{
			Sequence: e.Number,
			Change:   change,
			Prefix:   upstream.NewPrefix(e.Prefix),
		})
	}
	return events, nil
}

func get(ctx context.Context, client *http.Client, address ident.Address, path string, body any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(address)+path, nil)
	if err != nil {
		return errors.Annotatef(ErrNoReport, "read %s of %s: %v", path, address, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return errors.Annotatef(ErrNoReport, "read %s of %s: %v", path, address, err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrNoReport, "read %s of %s: status %d", path, address, response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(body); err != nil {
		return errors.Annotatef(ErrNoReport, "read %s of %s: %v", path, address, err)
	}
	return nil
}
