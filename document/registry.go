package document

import (
	"encoding/binary"
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Set is an immutable set of documents in effect.
type Set struct {
	documents map[ident.ServiceName]Versioned
	digest    uint64
}

// Registry holds the documents in effect in a process. It is safe for concurrent
// use.
type Registry struct {
	current atomic.Pointer[Set]
	mu      sync.Mutex    // held by writers; guards changed
	changed chan struct{} // closed and replaced when a document takes effect
}

// NewRegistry returns a registry without documents.
func NewRegistry() *Registry {
	r := &Registry{
		changed: make(chan struct{}),
	}
	r.current.Store(&Set{})
	return r
}

// Offer puts a parsed document into effect if its revision is higher than the
// registry's revision of the same service, and reports whether it did. It ignores
// a document whose Service is nil.
func (r *Registry) Offer(v Versioned) bool {
	if v.Service == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	set := r.current.Load()
	held := set.Revision(v.Service.Name)
	if v.Revision <= held {
		return false
	}
	next := &Set{
		documents: maps.Clone(set.documents),
		digest:    set.digest ^ contribution(v.Service.Name, held) ^ contribution(v.Service.Name, v.Revision),
	}
	if next.documents == nil {
		next.documents = make(map[ident.ServiceName]Versioned)
	}
	next.documents[v.Service.Name] = v
	r.current.Store(next)
	close(r.changed)
	r.changed = make(chan struct{})
	return true
}

// Snapshot returns the documents in effect.
func (r *Registry) Snapshot() *Set {
	return r.current.Load()
}

// Digest returns the digest of the documents in effect, as Set.Digest does.
func (r *Registry) Digest() uint64 {
	return r.current.Load().digest
}

// Changed returns a channel that is closed when the next document takes
// effect. Callers call it before Snapshot, so that they miss no change.
func (r *Registry) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// Document returns the document of a service.
func (s *Set) Document(name ident.ServiceName) (Versioned, bool) {
	v, ok := s.documents[name]
	return v, ok
}

// Revision returns the revision of a service's document, or 0 if there is none.
func (s *Set) Revision(name ident.ServiceName) ident.Revision {
	return s.documents[name].Revision
}

// Names returns the names of the services in ascending order.
func (s *Set) Names() []ident.ServiceName {
	return slices.Sorted(maps.Keys(s.documents))
}

// Digest returns a 64-bit hash of all names and revisions. It does not depend on
// the order in which documents were offered, and is 0 for a set without documents.
func (s *Set) Digest() uint64 {
	return s.digest
}

// Select returns the named documents, or all of them if names is empty, whose
// revisions are higher than those in known. It stops before their texts exceed
// limit bytes, but always returns the first such document.
func (s *Set) Select(names []ident.ServiceName, known map[ident.ServiceName]ident.Revision, limit int) []Versioned {
	if len(names) == 0 {
		names = s.Names()
	}
	var selected []Versioned
	size := 0
	for _, name := range names {
		v, ok := s.documents[name]
		if !ok || v.Revision <= known[name] {
			continue
		}
		size += len(v.Text)
		if size > limit && len(selected) > 0 {
			break
		}
		selected = append(selected, v)
	}
	return selected
}

// contribution returns the value that a document adds to the digest by XOR. It is 0
// for revision 0, which stands for no document.
func contribution(name ident.ServiceName, revision ident.Revision) uint64 {
	if revision == 0 {
		return 0
	}
	buffer := binary.LittleEndian.AppendUint64(make([]byte, 0, 72), uint64(revision))
	return xxhash.Sum64(append(buffer, name...))
}
