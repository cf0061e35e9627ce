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

// ErrNoAnswer reports an entry host whose operators' port gave no usable answer.
const ErrNoAnswer = errors.ConstError("entry host did not answer")

// Target is the operators' port of one entry host.
type Target struct {
	Host    ident.HostID
	Address ident.Address
}

// Answer is what one entry host returned, or why it did not.
type Answer[T any] struct {
	Target Target
	Value  T
	Err    error
}

// Events reads the events of a request from every target at once.
func Events(ctx context.Context, client *http.Client, targets []Target, request ident.RequestID) []Answer[[]timeline.Event] {
	query := url.Values{
		"request": []string{string(request)},
	}
	return all[[]timeline.Event](ctx, client, targets, "/timeline?"+query.Encode())
}

// Status reads the status page of every target at once.
func Status(ctx context.Context, client *http.Client, targets []Target) []Answer[json.RawMessage] {
	return all[json.RawMessage](ctx, client, targets, "/status")
}

func all[T any](ctx context.Context, client *http.Client, targets []Target, path string) []Answer[T] {
	ended := make(chan int)
	answers := make([]Answer[T], len(targets))
	for i, target := range targets {
		go func(ctx context.Context) {
			answers[i] = fetch[T](ctx, client, target, path)
			ended <- i
		}(ctx)
	}
	for range targets {
		<-ended
	}
	return answers
}

func fetch[T any](ctx context.Context, client *http.Client, target Target, path string) Answer[T] {
	answer := Answer[T]{
		Target: target,
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+string(target.Address)+path, nil)
	if err != nil {
		answer.Err = errors.Annotatef(ErrNoAnswer, "%s: %v", target.Host, err)
		return answer
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Err = errors.Annotatef(ErrNoAnswer, "%s: %v", target.Host, err)
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		answer.Err = errors.Annotatef(ErrNoAnswer, "%s: status %d", target.Host, response.StatusCode)
		return answer
	}
	if err := json.NewDecoder(response.Body).Decode(&answer.Value); err != nil {
		answer.Err = errors.Annotatef(ErrNoAnswer, "%s: %v", target.Host, err)
	}
	return answer
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
