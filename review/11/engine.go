//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegshift/nutmegshift/kv"
)

// kind is the kind of an engine.
type kind int

const (
	plain kind = iota
	model      // answers with a stream of events
	stage      // runs pieces
)

// engine is a server of the platform. Its fields are set before start, but for the atomic ones.
type engine struct {
	d        *deployment
	id       string
	service  string
	zone     string
	version  string
	kind     kind
	slots    int
	queue    int           // requests that wait for a slot
	first    time.Duration // time to the answer, or to the first event
	gap      time.Duration // between events
	events   int
	callTime time.Duration // of a call of a stage, and of each of its pieces
	itemTime time.Duration

	shed  atomic.Uint64 // in thousandths: requests turned away with 503 Not-Executed
	limit atomic.Value  // string: Server-Limit; empty for none

	onRequest func(r *http.Request) // of every request but health checks; may be nil
	onRun     func(r *http.Request) // of every request that is run; may be nil

	crashes func(r *http.Request) bool // crashes the engine as it begins to answer some requests; may be nil

	turn    sync.Mutex    // of the calls of a stage
	begun   chan struct{} // has an element for each slot in use
	mu      sync.Mutex
	running int
	born    time.Time
	server  *http.Server
	address string
}

func (e *engine) key() kv.Key { return kv.Key("servers/" + e.id) }

// start listens, at the address before if there was one, and registers.
func (e *engine) start() error {
	address := e.address
	if address == "" {
		address = e.d.ip() + ":0"
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.born = time.Now()
	e.begun = make(chan struct{}, e.slots)
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	go e.server.Serve(listener)
	e.register("ready")
	return nil
}

// register writes the entry of the engine.
func (e *engine) register(state string) time.Time {
	value, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version,
		"slots": e.slots, "state": state, "cold_left_ms": 0, "seq": 1, "born": e.born.UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	return e.d.put(e.key(), value)
}

// close ends the engine as a crash does: its connections are reset, its port refuses.
func (e *engine) close() {
	if e.server != nil {
		_ = e.server.Close()
	}
}

func (e *engine) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if text, _ := e.limit.Load().(string); text != "" {
		w.Header().Set("Server-Limit", text)
	}
	if e.kind == stage {
		e.mu.Lock()
		w.Header().Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(e.running, e.slots), max(0, e.running-e.slots), e.slots))
		e.mu.Unlock()
	}
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", e.id)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.onRequest != nil {
		e.onRequest(r)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		w.Header().Set("Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case e.kind == stage && r.URL.Path == "/api/stage-run":
		e.runPieces(w, r, body)
		return
	case e.kind == stage:
		return // stage-free
	case id == "":
		e.refuse(w, http.StatusBadRequest)
		return
	}
	if !e.take() {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	if e.onRun != nil {
		e.onRun(r)
	}
	if e.kind == model && !e.awaitSlot(r) {
		return
	}
	w.Header().Set("Server-Seal", "seal-"+id)
	if !wait(r, e.first) {
		return
	}
	if e.crashes != nil && e.crashes(r) {
		panic(http.ErrAbortHandler)
	}
	if e.kind == plain {
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	e.stream(w, r, id)
}

func (e *engine) refuse(w http.ResponseWriter, status int) {
	w.Header().Set("Not-Executed", "1")
	w.WriteHeader(status)
}

// take takes a slot, or a place of the queue of a stage.
func (e *engine) take() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	places := e.slots + e.queue
	if e.running >= places || rand.Uint64N(1000) < e.shed.Load() {
		return false
	}
	e.running++
	return true
}

func (e *engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

// awaitSlot waits until fewer requests than slots have begun. It returns false if the caller
// leaves before.
func (e *engine) awaitSlot(r *http.Request) bool {
	select {
	case e.begun <- struct{}{}:
		context.AfterFunc(r.Context(), func() { <-e.begun })
		return true
	case <-r.Context().Done():
		return false
	}
}

// wait returns false if the caller leaves before the time has passed.
func wait(r *http.Request, d time.Duration) bool {
	select {
	case <-time.After(d):
		return true
	case <-r.Context().Done():
		return false
	}
}

// stream writes events, each of which names the engine and its version.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id string) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	controller := http.NewResponseController(w)
	for i := last + 1; i <= e.events; i++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %s %s\n\n", i, e.id, e.version, id); err != nil || controller.Flush() != nil {
			return
		}
		if i < e.events && !wait(r, e.gap) {
			panic(http.ErrAbortHandler)
		}
	}
}

type pieces struct {
	Items []struct {
		ID      string   `json:"id"`
		Phase   int      `json:"phase"`
		Segment int      `json:"segment"`
		Inputs  []string `json:"inputs"`
	} `json:"items"`
}

// runPieces runs a call of a stage. The calls of an engine run one after another.
func (e *engine) runPieces(w http.ResponseWriter, r *http.Request, body []byte) {
	var call pieces
	if err := json.Unmarshal(body, &call); err != nil || len(call.Items) == 0 {
		e.refuse(w, http.StatusBadRequest)
		return
	}
	if !e.take() {
		e.refuse(w, http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	if e.onRun != nil {
		e.onRun(r)
	}
	e.turn.Lock()
	time.Sleep(e.callTime + time.Duration(len(call.Items))*e.itemTime)
	e.turn.Unlock()
	type result struct {
		Handle string `json:"handle"`
	}
	var answer struct {
		Items []result `json:"items"`
	}
	for range call.Items {
		answer.Items = append(answer.Items, result{Handle: fmt.Sprintf("%s/%016x", e.address, rand.Uint64())})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
