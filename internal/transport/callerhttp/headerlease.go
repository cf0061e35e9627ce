package callerhttp

import (
	"context"
	"sync"

	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

const (
	// fieldBytes is the memory that a header field takes beside its text: entries of the
	// maps of the received and of the forwarded header.
	fieldBytes = 192
	// textCopies is how often the text of a header is held: as received and as parsed.
	textCopies = 2
)

// headerLease is the memory of the headers of one connection: that of the request in
// progress, and that of the next one, which may have arrived.
type headerLease struct {
	lease *memory.Lease // nil if there is no limit

	mu      sync.Mutex
	current int64 // bytes of the request in progress
	next    int64 // bytes of the request that has arrived, or is arriving
	closed  bool
}

// reserve takes the memory for a header of the given size that arrives. It reports false
// if there is none.
func (h *headerLease) reserve(bytes, fields int) bool {
	if h.lease == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	next := int64(textCopies*bytes + fieldBytes*fields)
	if h.closed || h.lease.Resize(context.Background(), h.current+next) != nil {
		return false
	}
	h.next = next
	return true
}

// start records that the request whose header has arrived is in progress.
func (h *headerLease) start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current, h.next = h.current+h.next, 0
}

// end returns the memory of the request that was in progress.
func (h *headerLease) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current = 0
	h.shrink()
}

// close returns all memory.
func (h *headerLease) close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.current, h.next, h.closed = 0, 0, true
	h.shrink()
}

func (h *headerLease) shrink() {
	if h.lease != nil {
		_ = h.lease.Resize(context.Background(), h.current+h.next) // a smaller size always fits
	}
}
