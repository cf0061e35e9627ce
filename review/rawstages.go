//go:build review

package review

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
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

// RawStages is an upstream that runs stages and writes its responses by itself, so that
// it can write one twice. It serves one request at a time on a connection.
type RawStages struct {
	Upstream *Upstream
	Limits   Segments
	Record   *Record
	Ledger   *Ledger
	// Extra is asked after each response to a release of results whether the upstream
	// writes it once more, at the point where the next response is expected.
	Extra func() bool

	turn chan struct{} // holds an element while a call runs
}

// StartRawStages serves and registers the upstream.
func (d *Deployment) StartRawStages(s *RawStages) error {
	s.turn = make(chan struct{}, 1)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, listener)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return d.Register(s.Upstream, listener.Addr().String())
}

// serve serves the requests of a connection one after the other.
func (s *RawStages) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	extra := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if extra != "" {
			s.Record.Printf("upstream %s: writes its response to the release once more, although %s has arrived", s.Upstream.ID, request.URL.Path)
			if _, err := io.WriteString(conn, extra); err != nil {
				return
			}
			extra = ""
		}
		if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != s.Upstream.ID {
			_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		switch request.URL.Path {
		case "/api/stage-run":
			if !s.run(conn, body) {
				return
			}
		case "/api/stage-free":
			response := "HTTP/1.1 200 OK\r\nServer-Load: 0,0,1\r\nContent-Length: 0\r\n\r\n"
			if _, err := io.WriteString(conn, response); err != nil {
				return
			}
			if s.Extra() {
				extra = response
			}
		default:
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nInstance-Id: "+s.Upstream.ID+"\r\nContent-Length: 0\r\n\r\n")
		}
	}
}

// run runs a batch and writes the response. It returns false if the connection is lost.
func (s *RawStages) run(conn net.Conn, body []byte) bool {
	var request struct {
		Items []StageItem `json:"items"`
	}
	if err := json.Unmarshal(body, &request); err != nil {
		_, err := io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	s.turn <- struct{}{}
	s.Record.Printf("upstream %s: runs %s", s.Upstream.ID, describe(request.Items))
	time.Sleep(time.Duration((s.Limits.CallMS + s.Limits.ItemMS*float64(len(request.Items))) * float64(time.Millisecond)))
	<-s.turn
	var response struct {
		Items []map[string]string `json:"items"`
	}
	for _, item := range request.Items {
		response.Items = append(response.Items, map[string]string{"handle": s.Ledger.add(s.Upstream.Address, item)})
	}
	encoded, err := json.Marshal(response)
	if err != nil {
		return false
	}
	s.Record.Printf("upstream %s: responds with the results of %s", s.Upstream.ID, describe(request.Items))
	_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nServer-Load: 0,0,1\r\nContent-Length: %d\r\n\r\n%s", len(encoded), encoded)
	return err == nil
}

// describe lists the requests of a batch.
func describe(items []StageItem) string {
	counts := make(map[string]int)
	var order []string
	for _, item := range items {
		name := fmt.Sprintf("stage %d of attempt %s", item.Phase, item.ID)
		if counts[name] == 0 {
			order = append(order, name)
		}
		counts[name]++
	}
	var parts []string
	for _, name := range order {
		parts = append(parts, fmt.Sprintf("%d pieces of %s", counts[name], name))
	}
	return strings.Join(parts, ", ")
}

// Ledger knows of which piece each result is.
type Ledger struct {
	mu    sync.Mutex
	items map[string]StageItem
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger {
	return &Ledger{
		items: make(map[string]StageItem),
	}
}

func (l *Ledger) add(address string, item StageItem) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	handle := fmt.Sprintf("%s/%06x%05x", address, time.Now().UnixNano()&0xffffff, len(l.items))
	l.items[handle] = item
	return handle
}

// Item returns the piece that a result is of.
func (l *Ledger) Item(handle string) (StageItem, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	item, ok := l.items[handle]
	return item, ok
}
