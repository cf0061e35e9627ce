package system

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/platform/standin"
)

const (
	releaseStreams  = 16
	releaseInterval = 400 * time.Millisecond // between the events of a stream
	// takeUpTries is how often a caller tries to take up a stream.
	takeUpTries = 5
)

// chat is a stream that a caller receives, over one or more requests.
type chat struct {
	origin    ident.RequestID
	requests  []ident.RequestID
	lastEvent int
	complete  bool
}

// request sends a request for the rest of the stream to a host and reads events until
// enough reports true, or the stream ends.
func (s *chat) request(ctx context.Context, h *relayHost, enough func() bool) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	id := ident.RequestID(fmt.Sprintf("%s-%d", s.origin, len(s.requests)))
	stated := standin.Request{
		ID:      id,
		Key:     "first",
		Timeout: callTimeout,
		Prompt: &standin.Prompt{
			Pieces: 2,
			Input:  100,
			Output: 20,
			Parts:  "aa:40,own" + string(s.origin) + ":60",
		},
	}
	if s.lastEvent > 0 {
		stated.Resumes = &standin.Resumption{
			Origin:    s.requests[0],
			LastEvent: s.lastEvent,
		}
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/chat/x", h.callers), strings.NewReader("body"))
	if err != nil {
		return err
	}
	request.Host = "a.example"
	stated.SetHeader(request.Header)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", response.StatusCode)
	}
	s.requests = append(s.requests, id)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() && !enough() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			_, _ = fmt.Sscan(text, &s.lastEvent)
		}
	}
	s.complete = lines.Err() == nil && s.lastEvent == soakEvents
	return lines.Err()
}

// eachChat calls f for all streams at the same time.
func eachChat(streams []*chat, f func(i int, s *chat)) {
	var group sync.WaitGroup
	for i, s := range streams {
		group.Go(func() { f(i, s) })
	}
	group.Wait()
}

// releasesOf returns the releases of the upstreams that ran a stream.
func (c *soakCluster) releasesOf(s *chat) map[string]bool {
	releases := make(map[string]bool)
	for _, u := range c.upstreams {
		for _, run := range u.Runs() {
			for _, id := range s.requests {
				if run.Request == id {
					releases[run.Release] = true
				}
			}
		}
	}
	return releases
}

// Guards against streams that are joined from two releases of upstream software, or refused
// without need, when callers take them up after all hosts have been killed.
func TestStreamsTakenUpAfterKillOfAllHosts(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cluster := newSoakCluster(ctx, t)
	releases := []string{"v1", "v2"}
	for _, slot := range cluster.slots {
		if slot.config.Kind == standin.Engine {
			slot.config.Release, releases = releases[0], releases[1:]
			slot.config.EventInterval = releaseInterval
			cluster.replaceUpstream(slot, true)
		}
	}
	await(t, "an entry with both releases", func() bool {
		entry, err := cluster.store.Get(ctx, "releases")
		return err == nil && strings.Contains(string(entry.Value), "v2")
	})

	streams := newChats()
	killed := make(chan struct{})
	time.AfterFunc(4*releaseInterval, func() {
		defer close(killed)
		eachHost(cluster, func(h *relayHost) { cluster.restart(h, syscall.SIGKILL, 0) })
	})
	eachChat(streams, func(i int, s *chat) {
		_ = s.request(ctx, cluster.hosts[i%soakHosts], func() bool { return false }) // is broken off
	})
	<-killed
	await(t, "readiness of all hosts", func() bool {
		ready := 0
		for _, h := range cluster.hosts {
			if h.isReady() {
				ready++
			}
		}
		return ready == soakHosts
	})
	eachChat(streams, func(i int, s *chat) {
		for try := range takeUpTries {
			if s.complete || s.lastEvent == 0 {
				return
			}
			_ = s.request(ctx, cluster.hosts[(i+1+try)%soakHosts], func() bool { return false }) // may be refused
			time.Sleep(releaseInterval)
		}
	})

	begun, complete := 0, 0
	for _, s := range streams {
		if s.lastEvent == 0 {
			continue
		}
		begun++
		if s.complete {
			complete++
		}
		c.Check(cluster.releasesOf(s), qt.HasLen, 1, qt.Commentf("stream %s, requests %s", s.origin, s.requests))
	}
	c.Check(begun > releaseStreams/2, qt.IsTrue, qt.Commentf("%d streams begun", begun))
	c.Check(2*complete >= begun, qt.IsTrue, qt.Commentf("%d of %d streams complete", complete, begun))
	c.Check(cluster.failures, qt.HasLen, 0)
}

// eachHost calls f for all hosts at the same time.
func eachHost(c *soakCluster, f func(h *relayHost)) {
	var group sync.WaitGroup
	for _, h := range c.hosts {
		group.Go(func() { f(h) })
	}
	group.Wait()
}
