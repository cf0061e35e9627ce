package memberlist

import (
	"cmp"
	"encoding/json"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/deflate"
)

const (
	// maxEncoded bounds the size of a list in bytes. The entry of a host takes about 150.
	maxEncoded = 4 << 20
	// minorityPatience is how long a writer that sees less than half of the listed hosts
	// keeps the others listed.
	minorityPatience = 2 * time.Minute
)

// Member is a host in the list.
type Member struct {
	Host     ident.HostID        `json:"host"`
	Address  ident.Address       `json:"address"` // of its peer port
	Domain   ident.FailureDomain `json:"domain"`
	Region   ident.Region        `json:"region"`
	Capacity float32             `json:"capacity"` // cores
}

// Encode returns the value of the list's entry in the store. Equal lists give equal values.
func Encode(members []Member) ([]byte, error) {
	encoded, err := json.Marshal(members)
	if err != nil {
		return nil, errors.Annotate(err, "encode list of hosts")
	}
	return deflate.Compress(encoded)
}

// Decode returns the list in the value of its entry.
func Decode(value []byte) ([]Member, error) {
	encoded, err := deflate.Decompress(value, maxEncoded)
	if err != nil {
		return nil, err
	}
	var members []Member
	if err := json.Unmarshal(encoded, &members); err != nil {
		return nil, errors.Annotate(err, "decode list of hosts")
	}
	return members, nil
}

// Writer computes the list that the store should have.
type Writer struct {
	now           func() time.Time
	minoritySince time.Time // when the writer began to see less than half of the listed hosts; zero if it sees more
}

// NewWriter returns a Writer.
func NewWriter(now func() time.Time) *Writer {
	return &Writer{
		now: now,
	}
}

// Next returns the list in place of the listed one, sorted by host, from the hosts that
// are live as far as the writer sees.
func (w *Writer) Next(listed, live []Member) []Member {
	next := make(map[ident.HostID]Member)
	if w.keepsOthers(len(listed), len(live)) {
		for _, member := range listed {
			next[member.Host] = member
		}
	}
	for _, member := range live {
		next[member.Host] = member
	}
	list := make([]Member, 0, len(next))
	for _, member := range next {
		list = append(list, member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Host, b.Host) })
	return list
}

// keepsOthers reports whether listed hosts stay listed although they are not live.
func (w *Writer) keepsOthers(listed, live int) bool {
	if 2*live >= listed {
		w.minoritySince = time.Time{}
		return false
	}
	if w.minoritySince.IsZero() {
		w.minoritySince = w.now()
	}
	return w.now().Sub(w.minoritySince) < minorityPatience
}
