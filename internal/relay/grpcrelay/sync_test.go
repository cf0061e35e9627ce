package grpcrelay

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/nutmegshift/nutmegshift/internal/relay/cell"
	"github.com/nutmegshift/nutmegshift/internal/relay/discovery"
	"github.com/nutmegshift/nutmegshift/kv"
)

// sink ignores all changes.
type sink struct{}

func (sink) Put(kv.Entry)                          {}
func (sink) Removed(kv.Key, kv.Version, time.Time) {}

// registrations returns n entries that resemble those of upstreams.
func registrations(n int) []kv.Entry {
	var entries []kv.Entry
	for i := range n {
		entries = append(entries, kv.Entry{
			Key:     kv.Key(fmt.Sprintf("servers/i-%08x", i*2654435761)),
			Value:   fmt.Appendf(nil, `{"service":"huvo11a","address":"10.128.%d.%d:8080","zone":"erie-hall","version":"v1","slots":64,"state":"ready"}`, i/250, i%250),
			Version: kv.Version(i + 1),
		})
	}
	return entries
}

// anySize keeps values of any size.
func anySize(kv.Key) int { return math.MaxInt }

// Guards against a full transfer that lacks entries, that is compressed again for every
// host when many start at once, or that is older than the replica.
func TestFullTransfer(t *testing.T) {
	c := qt.New(t)
	replica := discovery.NewReplica(sink{}, time.Second, time.Now, anySize)
	s := NewServer(ServerConfig{
		Replica: replica,
		Now:     time.Now,
	})
	entries := registrations(1000)
	replica.ApplyListing(entries, 1000)
	plainBytes := 0
	for _, entry := range entries {
		plainBytes += len(entry.Key) + len(entry.Value)
	}
	check := func(entries int, cursor uint64) *SyncReply {
		reply, err := s.Sync(t.Context(), &SyncRequest{})
		c.Assert(err, qt.IsNil)
		c.Assert(reply.GetCursor(), qt.Equals, cursor)
		c.Assert(reply.GetAfter(), qt.Equals, uint64(0))
		changes, err := unpack(reply.GetPacked())
		c.Assert(err, qt.IsNil)
		c.Assert(changes, qt.HasLen, entries)
		return reply
	}
	first := check(1000, 1000)
	c.Check(len(first.GetPacked()) < plainBytes/4, qt.IsTrue, qt.Commentf("%d of %d bytes", len(first.GetPacked()), plainBytes))
	c.Check(&check(1000, 1000).GetPacked()[0], qt.Equals, &first.GetPacked()[0], qt.Commentf("compressed more than once"))
	replica.ApplyWatch(1000, kv.Changes{
		Cursor: 1001,
		Changes: []kv.Change{{
			Entry: kv.Entry{
				Key:     "servers/new",
				Version: 1001,
			},
		}},
	})
	check(1001, 1001)
	reply, err := s.Sync(t.Context(), &SyncRequest{
		After: 1000,
	})
	c.Assert(err, qt.IsNil)
	c.Check(reply.GetChanges(), qt.HasLen, 1)
	c.Check(reply.GetPacked(), qt.HasLen, 0)
}

// Guards against so many full transfers at a time that they saturate the link of a host
// and none of them ends in time. Transfers of the latest changes are not limited, but
// those to a host that may lack removals from before the listing of this one are.
func TestTransfersAreLimited(t *testing.T) {
	c := qt.New(t)
	replica := discovery.NewReplica(sink{}, time.Second, time.Now, anySize)
	replica.ApplyListing(registrations(10), 10)
	replica.ApplyWatch(10, kv.Changes{
		Cursor: 11,
		Changes: []kv.Change{{
			Entry: kv.Entry{
				Key:     "servers/new",
				Version: 11,
			},
		}},
	})
	s := NewServer(ServerConfig{
		Replica: replica,
		Now:     time.Now,
	})
	for range maxFullTransfers {
		s.transfers.slots <- struct{}{}
	}
	full := map[string]*SyncRequest{
		"host that has started": {},
		"host behind the last listing": {
			After: 9,
		},
	}
	for name, request := range full {
		_, err := s.Sync(t.Context(), request)
		c.Check(status.Code(err), qt.Equals, codes.ResourceExhausted, qt.Commentf("%s", name))
	}
	reply, err := s.Sync(t.Context(), &SyncRequest{
		After: 10,
	})
	c.Check(err, qt.IsNil)
	c.Check(reply.GetChanges(), qt.HasLen, 1)
	<-s.transfers.slots
	for name, request := range full {
		reply, err := s.Sync(context.Background(), request)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", name))
		c.Check(reply.GetAfter(), qt.Equals, uint64(0), qt.Commentf("%s", name))
		c.Check(reply.GetChanges(), qt.HasLen, 11, qt.Commentf("%s", name))
	}
}

// Guards against a patch that does not restore the value, that is sent to a host without its
// base, or that is part of the cached transfer of all entries.
func TestPatchedTransfer(t *testing.T) {
	c := qt.New(t)
	replica := discovery.NewReplica(sink{}, time.Second, time.Now, anySize)
	var values [4][]byte
	for i := range values {
		for _, entry := range registrations(1000) {
			values[i] = append(values[i], entry.Value...)
		}
		values[i] = append(values[i], byte(i))
		replica.ApplyListing([]kv.Entry{{
			Key:     "table",
			Value:   values[i],
			Version: kv.Version(i + 1),
		}}, 1)
	}
	s := NewServer(ServerConfig{
		Replica: replica,
		Now:     time.Now,
	})
	tests := map[string]struct {
		after   kv.Cursor
		key     kv.Key
		version kv.Version
		patched bool
	}{
		"previous version":        {after: 1, key: "table", version: 3, patched: true},
		"earlier version":         {after: 1, key: "table", version: 1, patched: true},
		"unknown version":         {after: 1, key: "table", version: 9},
		"other entry":             {after: 1, key: "other", version: 3},
		"no entry":                {after: 1},
		"transfer of all entries": {key: "table", version: 3},
		"previous version, again": {after: 1, key: "table", version: 3, patched: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			reply, err := s.Sync(t.Context(), &SyncRequest{
				After:   uint64(test.after),
				Key:     string(test.key),
				Version: uint64(test.version),
			})
			c.Assert(err, qt.IsNil)
			changes := reply.GetChanges()
			if len(reply.GetPacked()) > 0 {
				changes, err = unpack(reply.GetPacked())
				c.Assert(err, qt.IsNil)
			}
			c.Assert(changes, qt.HasLen, 1)
			c.Check(len(changes[0].GetPatch()) > 0, qt.Equals, test.patched)
			base := kv.Entry{
				Key: test.key,
			}
			if test.patched {
				base.Value = values[test.version-1]
			}
			value, err := changedValue(changes[0], base)
			c.Assert(err, qt.IsNil)
			c.Check(string(value) == string(values[3]), qt.IsTrue)
		})
	}
	_, err := changedValue(&Change{
		Key:   "table",
		Patch: []byte("damaged"),
	}, kv.Entry{
		Key: "table",
	})
	c.Check(err, qt.ErrorIs, errPatch)
	c.Check(err, qt.ErrorIs, cell.ErrUnreachable)
}

// Guards against damaged transfers that crash a host or fill its memory.
func FuzzUnpack(f *testing.F) {
	packed, err := pack([]*Change{{
		Key:   "a",
		Value: []byte("b"),
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(packed)
	f.Add(packed[:len(packed)/2])
	f.Add([]byte("no compressed data"))
	f.Fuzz(func(t *testing.T, packed []byte) {
		changes, err := unpack(packed)
		if err != nil && changes != nil {
			t.Fatalf("%d changes with error %v", len(changes), err)
		}
	})
}
