package grpcrelay

import (
	"sync"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/internal/relay/zstdpatch"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// minPatchedValue is the size in bytes from which a value is sent as a patch.
	minPatchedValue = 8 << 10
	// maxPatches bounds the cached patches. The hosts that lack the latest table have one
	// of its last few versions.
	maxPatches = 16
)

// errPatch is the error of a patch that cannot be applied. It wraps cell.ErrUnreachable.
var errPatch = errors.Annotate(cell.ErrUnreachable, "patch not applicable")

// patchID identifies a patch by the versions of an entry that it leads from and to.
type patchID struct {
	key           kv.Key
	base, version kv.Version
}

// patches encodes changes as patches. It caches the latest ones, since several hosts lack
// the same change.
type patches struct {
	mu     sync.Mutex
	cached map[patchID][]byte
}

func newPatches() *patches {
	return &patches{
		cached: make(map[patchID][]byte),
	}
}

// encode replaces the value of a change by a patch of the entry that the request names, if
// the replica still has that version of it.
func (p *patches) encode(change *Change, request *SyncRequest, replica *discovery.Replica) error {
	if change.GetDeleted() || change.GetKey() != request.GetKey() || len(change.GetValue()) < minPatchedValue {
		return nil
	}
	id := patchID{
		key:     kv.Key(request.GetKey()),
		base:    kv.Version(request.GetVersion()),
		version: kv.Version(change.GetVersion()),
	}
	base, ok := replica.Value(id.key, id.base)
	if !ok {
		return nil
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	patch, ok := p.cached[id]
	if !ok {
		var err error
		if patch, err = zstdpatch.Encode(base, change.GetValue()); err != nil {
			return err
		}
		if len(p.cached) >= maxPatches {
			clear(p.cached)
		}
		p.cached[id] = patch
	}
	change.Value, change.Patch = nil, patch
	return nil
}

// changedValue returns the value of a change that was requested with a base. Errors wrap
// errPatch.
func changedValue(change *Change, base kv.Entry) ([]byte, error) {
	if len(change.GetPatch()) == 0 {
		return change.GetValue(), nil
	}
	if change.GetKey() != string(base.Key) {
		return nil, errors.Annotatef(errPatch, "%.80q", change.GetKey())
	}
	value, err := zstdpatch.Decode(base.Value, change.GetPatch(), kv.MaxValueBytes)
	if err != nil {
		return nil, errors.Annotatef(errPatch, "%v", err)
	}
	return value, nil
}
