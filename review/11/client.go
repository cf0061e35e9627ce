//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// answer is what a client has seen of one attempt.
type answer struct {
	status   int // 0 if the connection ended without an answer
	sealed   bool
	after    time.Duration // Retry-After
	body     string
	complete bool
	last     int      // last event
	versions []string // of the engines whose events came, in order
}

var transport = &http.Transport{DisableKeepAlives: true, DisableCompression: true}

// send makes one attempt on a new connection and reads its answer to the end.
func send(ctx context.Context, to *relay, host, method, path, id string, timeout time.Duration, header map[string]string, body string) answer {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+to.callers+path, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	request.Host = host
	request.Header.Set("Attempt-Id", id)
	request.Header.Set("Deadline-Ms", strconv.FormatInt(timeout.Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer key")
	for name, value := range header {
		request.Header.Set(name, value)
	}
	var a answer
	response, err := transport.RoundTrip(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	a.sealed = response.Header.Get("Server-Seal") == "seal-"+id
	if seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.after = time.Duration(seconds * float64(time.Second))
	}
	scanner := bufio.NewScanner(response.Body)
	for scanner.Scan() {
		line := scanner.Text()
		switch {
		case strings.HasPrefix(line, "id: "):
			a.last, _ = strconv.Atoi(line[4:])
		case strings.HasPrefix(line, "data: "):
			fields := strings.Fields(line)
			if len(fields) == 4 && (len(a.versions) == 0 || a.versions[len(a.versions)-1] != fields[2]) {
				a.versions = append(a.versions, fields[2])
			}
		}
		a.body += line
	}
	a.complete = scanner.Err() == nil
	return a
}
