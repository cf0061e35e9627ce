package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/timeline"
)

// ErrNoResponse reports an entry host whose operators' port returned no usable
// response.
const ErrNoResponse = errors.ConstError("entry host did not answer")

// Target is the operators' port of one entry host.
type Target struct {
	Host    ident.HostID
	Address ident.Address
}

// Result is the value that one entry host returned, or the error of its request.
type Result[T any] struct {
	Target Target
	Value  T
	Err    error
}

// Events reads the events of a request from all targets concurrently; an empty request
// selects all events. The results are in the order of targets.
func Events(ctx context.Context, client *http.Client, targets []Target, request ident.RequestID) []Result[[]timeline.Event] {
	query := url.Values{
		"request": []string{string(request)},
	}
	return fetchAll[[]timeline.Event](ctx, client, targets, "/timeline?"+query.Encode())
}

// Status reads the status of all targets concurrently. The results are in the order
// of targets.
func Status(ctx context.Context, client *http.Client, targets []Target) []Result[json.RawMessage] {
	return fetchAll[json.RawMessage](ctx, client, targets, "/status")
}

func fetchAll[T any](ctx context.Context, client *http.Client, targets []Target, path string) []Result[T] {
	done := make(chan int)
	results := make([]Result[T], len(targets))
	for i, target := range targets {
		go func(ctx context.Context) {
			results[i] = fetch[T](ctx, client, target, path)
			done <- i
		}(ctx)
	}
	for range targets {
		<-done
	}
	return results
}

func fetch[T any](ctx context.Context, client *http.Client, target Target, path string) Result[T] {
	result := Result[T]{
		Target: target,
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(target.Address)+path, nil)
	if err != nil {
		result.Err = errors.Annotatef(ErrNoResponse, "%s: %v", target.Host, err)
		return result
	}
	response, err := client.Do(request)
	if err != nil {
		result.Err = errors.Annotatef(ErrNoResponse, "%s: %v", target.Host, err)
		return result
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		result.Err = errors.Annotatef(ErrNoResponse, "%s: status %d", target.Host, response.StatusCode)
		return result
	}
	if err := json.NewDecoder(response.Body).Decode(&result.Value); err != nil {
		result.Err = errors.Annotatef(ErrNoResponse, "%s: %v", target.Host, err)
	}
	return result
}

// Format returns one line for an event: time, host, part, name and fields.
func Format(event timeline.Event) string {
	line := fmt.Sprintf("%s+%d %-10s %-9s %s",
		time.UnixMicro(event.Time.Wall).UTC().Format("15:04:05.000000"), event.Time.Count, event.Host, event.Part, event.Name)
	if event.Attempt != "" {
		line += " attempt=" + string(event.Attempt)
	}
	for _, field := range event.Fields {
		line += " " + field.Name + "=" + field.Value
	}
	return line
}
