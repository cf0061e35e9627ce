//go:build review

package review

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// lastAttempt counts the attempts of callers.
var lastAttempt atomic.Int64

// NewAttempt returns an id that no other attempt has.
func NewAttempt() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, lastAttempt.Add(1))
}

// Request is one attempt of a caller.
type Request struct {
	Attempt    string // empty means a new one
	Method     string
	Path       string
	Key        string // empty means no key
	Body       []byte
	DeadlineMS int
	Header     map[string]string
}

// Answer is what the caller of an attempt has received.
type Answer struct {
	Attempt string
	Status  int // 0 if the connection ended without a complete answer
	Seal    string
	Body    string
	Err     error
}

// Send sends an attempt to a host and waits for the answer.
func Send(ctx context.Context, client *http.Client, h *Host, r Request) Answer {
	answer := Answer{Attempt: r.Attempt}
	if answer.Attempt == "" {
		answer.Attempt = NewAttempt()
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = bytes.NewReader(r.Body)
	}
	request, err := http.NewRequestWithContext(ctx, r.Method, "http://"+h.Callers+r.Path, body)
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Host = "fair.example"
	request.Header.Set("Attempt-Id", answer.Attempt)
	request.Header.Set("Deadline-Ms", strconv.Itoa(r.DeadlineMS))
	request.Header.Set("Accept-Encoding", "identity")
	for name, value := range r.Header {
		request.Header.Set(name, value)
	}
	if r.Key != "" {
		request.Header.Set("Authorization", "Bearer "+r.Key)
	}
	response, err := client.Do(request)
	if err != nil {
		answer.Err = err
		return answer
	}
	defer func() { _ = response.Body.Close() }()
	received, err := io.ReadAll(response.Body)
	answer.Body = string(received)
	answer.Seal = response.Header.Get("Server-Seal")
	if err != nil {
		answer.Err = err
		return answer
	}
	answer.Status = response.StatusCode
	return answer
}

// String describes the answer in the log.
func (a Answer) String() string {
	if a.Err != nil {
		return fmt.Sprintf("attempt %s: no complete answer: %v", a.Attempt, a.Err)
	}
	text := strings.TrimSpace(a.Body)
	if len(text) > 60 {
		text = text[:60] + "..."
	}
	return fmt.Sprintf("attempt %s: status %d, seal %q, %q", a.Attempt, a.Status, a.Seal, text)
}
