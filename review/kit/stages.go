//go:build review

package kit

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// StageItem is one piece of a batch.
type StageItem struct {
	ID      string   `json:"id"`
	Phase   int      `json:"phase"`
	Segment int      `json:"segment"`
	Key     string   `json:"key"`
	Inputs  []string `json:"inputs"`
}

// Stages is the API of an upstream that runs stages, one call at a time.
type Stages struct {
	Upstream *Upstream
	Limits   Segments
	Record   *Record
	// Arrived is called with each batch that reaches the upstream.
	Arrived func(u *Upstream, at time.Time, items []StageItem)

	turn       chan struct{}
	lastHandle atomic.Int64
}

// NewStages returns the API of an upstream that runs no call.
func NewStages(u *Upstream, limits Segments, record *Record, arrived func(*Upstream, time.Time, []StageItem)) *Stages {
	return &Stages{
		Upstream: u,
		Limits:   limits,
		Record:   record,
		Arrived:  arrived,
		turn:     make(chan struct{}, 1),
	}
}

func (s *Stages) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/api/stage-run":
		s.run(w, r)
	case "/api/stage-free":
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Stages) run(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	var request struct {
		Items []StageItem `json:"items"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.Arrived(s.Upstream, at, request.Items)
	s.turn <- struct{}{}
	time.Sleep(time.Duration((s.Limits.CallMS + s.Limits.ItemMS*float64(len(request.Items))) * float64(time.Millisecond)))
	<-s.turn
	var response struct {
		Items []map[string]string `json:"items"`
	}
	for range request.Items {
		handle := fmt.Sprintf("%s/%x%04x", s.Upstream.Address, time.Now().UnixNano()&0xffffff, s.lastHandle.Add(1))
		response.Items = append(response.Items, map[string]string{"handle": handle})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// Engine is the API of a model engine. It writes a stream of a few events.
type Engine struct {
	Record *Record
	Events int
	Pause  time.Duration
}

func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	attempt := r.Header.Get("Attempt-Id")
	if r.Header.Get("Inputs") == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.Record.Printf("model engine: runs attempt %s", attempt)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Server-Seal", "seal."+attempt)
	controller := http.NewResponseController(w)
	for id := 1; id <= e.Events; id++ {
		time.Sleep(e.Pause)
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s.%d\n\n", id, attempt, id); err != nil || controller.Flush() != nil {
			return
		}
	}
}
