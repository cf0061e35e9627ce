//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

// answer is what a client has received for one attempt.
type answer struct {
	status     int
	err        error
	retryAfter time.Duration
	body       string
	lastEvent  int  // of a stream; the last whole event
	whole      bool // the response has its proper end
}

// attempt sends one attempt on a new connection and reads the answer.
func attempt(ctx context.Context, address, method, path, body string, request standin.Request) answer {
	transport := &http.Transport{
		DialContext:       (&net.Dialer{Timeout: time.Second}).DialContext,
		DisableKeepAlives: true,
	}
	ctx, cancel := context.WithTimeout(ctx, request.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return answer{
			err: err,
		}
	}
	r.Host = routeHost
	request.SetHeader(r.Header)
	response, err := transport.RoundTrip(r)
	if err != nil {
		return answer{
			err: err,
		}
	}
	defer func() { _ = response.Body.Close() }()
	a := answer{
		status: response.StatusCode,
	}
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(seconds * float64(time.Second))
	}
	a.body, a.lastEvent, a.err = readEvents(response.Body)
	a.whole = a.err == nil
	return a
}

// readEvents reads a body and returns the whole events in it, and the number of the last one.
func readEvents(body io.Reader) (text string, last int, err error) {
	reader := bufio.NewReader(body)
	var events, event strings.Builder
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last, _ = strconv.Atoi(strings.TrimSpace(id))
		}
		if line == "\n" {
			events.WriteString(event.String())
			event.Reset()
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			return events.String() + event.String(), last, nil
		}
		return events.String(), eventsIn(events.String()), err
	}
}

// eventsIn returns the number of the last whole event of a text.
func eventsIn(text string) int {
	last := 0
	for line := range strings.Lines(text) {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last, _ = strconv.Atoi(strings.TrimSpace(id))
		}
	}
	return last
}

func (a answer) String() string {
	switch {
	case a.err != nil && a.status == 0:
		return fmt.Sprintf("no answer (%v)", a.err)
	case a.err != nil:
		return fmt.Sprintf("%d, broken off after event %d (%v)", a.status, a.lastEvent, a.err)
	case a.lastEvent > 0:
		return fmt.Sprintf("%d, whole, last event %d", a.status, a.lastEvent)
	}
	return fmt.Sprintf("%d, whole, %d bytes, Retry-After %s", a.status, len(a.body), a.retryAfter)
}

func newID(prefix string, n, attempt int) ident.RequestID {
	return ident.RequestID(fmt.Sprintf("%s%03d-%d", prefix, n, attempt))
}
