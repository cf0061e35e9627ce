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

// Generator runs one load.
type Generator struct {
	config Config
}

// New returns a generator for the settings.
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

// Run sends the load and returns after every request has ended. A cancelled
// context stops the arrivals and the requests in flight.
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
		r.offer(request)
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

// sleepUntil reports whether the moment came before the context ended.
func sleepUntil(ctx context.Context, moment time.Time) bool {
	timer := time.NewTimer(time.Until(moment))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// send runs one request; latency counts from its planned arrival.
func (g *Generator) send(ctx context.Context, transport http.RoundTripper, target string, request Request, planned time.Time, r *recorder) {
	// Twice the deadline, so that late answers are seen and counted as late.
	ctx, cancel := context.WithTimeout(ctx, 2*g.config.Deadline)
	defer cancel()
	message, err := http.NewRequestWithContext(ctx, request.Method, "http://"+target+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		r.broken(request, err)
		return
	}
	// Without GetBody the transport does not resend a request that has a body,
	// which would hide connections that the system broke.
	message.GetBody = nil
	for _, header := range request.Headers {
		message.Header.Add(header.Name, header.Value)
	}
	response, err := transport.RoundTrip(message)
	if err != nil {
		r.broken(request, err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	answer := Answer{
		Status: response.StatusCode,
	}
	body := io.LimitReader(response.Body, maxReply+1)
	if request.Stream && strings.HasPrefix(response.Header.Get("Content-Type"), "text/event-stream") {
		answer.Text, err = readStream(body, planned, r)
	} else {
		answer.Body, err = io.ReadAll(body)
	}
	if err == nil && len(answer.Body) > maxReply {
		err = errTooLarge
	}
	if err != nil {
		r.broken(request, err)
		return
	}
	latency := time.Since(planned)
	var mismatch error
	if answer.Status >= 200 && answer.Status < 300 {
		mismatch = g.config.Check(request, answer)
	}
	r.answered(request, answer, latency, mismatch)
}

// readStream returns the text of a stream that ends with its end mark.
func readStream(body io.Reader, planned time.Time, r *recorder) (string, error) {
	var text strings.Builder
	last := planned
	first := true
	failed := false
	lines := bufio.NewScanner(body)
	lines.Buffer(nil, maxReply)
	for lines.Scan() {
		if lines.Text() == "event: error" {
			failed = true
		}
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if failed {
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
