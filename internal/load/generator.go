package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

const (
	errIncomplete = errors.ConstError("answer ended early")
	errTooLarge   = errors.ConstError("answer is too large")
)

// Generator sends the load of a Config and records the responses.
type Generator struct {
	config Config
}

// New returns a Generator, or an error if a required setting is missing.
func New(config Config) (*Generator, error) {
	if len(config.Targets) == 0 || config.Build == nil || config.Check == nil {
		return nil, errors.New("load needs targets, a build and a check function")
	}
	if config.Deadline <= 0 {
		config.Deadline = defaultDeadline
	}
	if config.MaxInFlight <= 0 {
		config.MaxInFlight = defaultMaxInFlight
	}
	return &Generator{
		config: config,
	}, nil
}

// Run sends the load and returns the report after every request has ended. When
// ctx is cancelled, it sends no more requests and cancels those in flight.
func (g *Generator) Run(ctx context.Context) *Report {
	transport := &http.Transport{
		MaxIdleConnsPerHost: g.config.MaxInFlight,
		DisableCompression:  true,
	}
	defer transport.CloseIdleConnections()
	r := newRecorder(g.config.Deadline)
	slots := make(chan struct{}, g.config.MaxInFlight)
	arrivals := newArrivals(g.config)
	var running sync.WaitGroup
	start := time.Now()
	for number := 0; ; number++ {
		a, ok := arrivals.next()
		if !ok || !sleepUntil(ctx, start.Add(a.at)) {
			break
		}
		request := g.config.Build(number, a.organisation)
		request.Number = number
		request.Organisation = a.organisation
		r.offered(request)
		select {
		case slots <- struct{}{}:
		default:
			r.unsent()
			continue
		}
		running.Go(func() {
			defer func() { <-slots }()
			g.send(ctx, transport, string(a.target), request, start.Add(a.at), r)
		})
	}
	running.Wait()
	return r.finish(time.Since(start))
}

// sleepUntil waits until t and reports whether t came before ctx was done.
func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send sends one request and records its result. Latency is measured from the
// planned arrival.
func (g *Generator) send(ctx context.Context, transport http.RoundTripper, target string, request Request, planned time.Time, r *recorder) {
	// Twice the deadline, so that late responses are counted as late instead of
	// broken.
	ctx, cancel := context.WithTimeout(ctx, 2*g.config.Deadline)
	defer cancel()
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		r.broken(request, err)
		return
	}
	// Without GetBody the transport does not resend a request with a body. A resend
	// would hide that the system closed a connection.
	httpRequest.GetBody = nil
	for _, header := range request.Headers {
		httpRequest.Header.Add(header.Name, header.Value)
	}
	httpResponse, err := transport.RoundTrip(httpRequest)
	if err != nil {
		r.broken(request, err)
		return
	}
	defer func() { _ = httpResponse.Body.Close() }()
	response := Response{
		Status: httpResponse.StatusCode,
	}
	body := io.LimitReader(httpResponse.Body, maxResponseBytes+1)
	if request.Stream && strings.HasPrefix(httpResponse.Header.Get("Content-Type"), "text/event-stream") {
		response.Text, err = readStream(body, planned, r)
	} else {
		response.Body, err = io.ReadAll(body)
	}
	if err == nil && len(response.Body) > maxResponseBytes {
		err = errTooLarge
	}
	if err != nil {
		r.broken(request, err)
		return
	}
	latency := time.Since(planned)
	var mismatch error
	if response.Status >= 200 && response.Status < 300 {
		mismatch = g.config.Check(request, response)
	}
	r.completed(request, response, latency, mismatch)
}

// readStream returns the text of a stream of server-sent events, or an error if the
// stream contains an error event or ends without the [DONE] event.
func readStream(body io.Reader, planned time.Time, r *recorder) (string, error) {
	var text strings.Builder
	last := planned
	first := true
	errorEvent := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxResponseBytes)
	for lines.Scan() {
		if lines.Text() == "event: error" {
			errorEvent = true
		}
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if errorEvent {
			return "", errors.Annotate(errIncomplete, data)
		}
		if data == "[DONE]" {
			return text.String(), nil
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &chunk); err != nil {
			return "", errors.Annotate(err, "parse event")
		}
		for _, choice := range chunk.Choices {
			if choice.Delta.Content == "" {
				continue
			}
			now := time.Now()
			r.token(now.Sub(last), first)
			first = false
			last = now
			text.WriteString(choice.Delta.Content)
		}
	}
	if err := lines.Err(); err != nil {
		return "", errors.Annotate(err, "read stream")
	}
	return "", errors.Annotate(errIncomplete, "no end mark")
}
