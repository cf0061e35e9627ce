package memberlist_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/memberlist"
)

var start = time.Unix(1_700_000_000, 0)

// members returns hosts with the numbers from first to last.
func members(first, last int) []memberlist.Member {
	var list []memberlist.Member
	for i := first; i <= last; i++ {
		list = append(list, memberlist.Member{
			Host:     ident.HostID(fmt.Sprintf("edge-erie-hall-%03d", i)),
			Address:  ident.Address(fmt.Sprintf("10.1.%d.%d:8628", i/250, i%250)),
			Domain:   "erie-hall",
			Region:   "great-lakes",
			Capacity: 0.192,
		})
	}
	return list
}

// Guards against a host that has lost its connections and removes all others from the
// list, and against hosts that are gone but stay listed.
func TestNext(t *testing.T) {
	moved := members(1, 4)
	moved[0].Address = "10.9.9.9:8628"
	tests := map[string]struct {
		listed, live []memberlist.Member
		after        time.Duration // since the writer first saw this
		want         []memberlist.Member
	}{
		"first":                {live: members(1, 2), want: members(1, 2)},
		"the same":             {listed: members(1, 4), live: members(1, 4), want: members(1, 4)},
		"added":                {listed: members(1, 4), live: members(1, 6), want: members(1, 6)},
		"gone":                 {listed: members(1, 4), live: members(1, 2), want: members(1, 2)},
		"at another address":   {listed: members(1, 4), live: moved, want: moved},
		"most are gone":        {listed: members(1, 5), live: members(1, 2), want: members(1, 5)},
		"alone, not listed":    {listed: members(1, 5), live: members(6, 6), want: members(1, 6)},
		"most are gone, later": {listed: members(1, 5), live: members(1, 2), after: 3 * time.Minute, want: members(1, 2)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			now := start
			w := memberlist.NewWriter(func() time.Time { return now })
			w.Next(test.listed, test.live)
			now = start.Add(test.after)
			qt.Assert(t, w.Next(test.listed, test.live), qt.DeepEquals, test.want)
		})
	}
}

// Guards against a list of a large fleet that does not fit into an entry of the store, or
// takes so many bytes that a change of it burdens all hosts.
func TestEncode(t *testing.T) {
	c := qt.New(t)
	const limit = 16 << 10
	list := members(1, 1000)
	value, err := memberlist.Encode(list)
	c.Assert(err, qt.IsNil)
	c.Check(len(value) < limit, qt.IsTrue, qt.Commentf("%d bytes", len(value)))
	again, err := memberlist.Encode(list)
	c.Assert(err, qt.IsNil)
	c.Check(again, qt.DeepEquals, value)
	decoded, err := memberlist.Decode(value)
	c.Assert(err, qt.IsNil)
	c.Check(decoded, qt.DeepEquals, list)
}

// Guards against an entry of another writer that ends the process.
func FuzzDecode(f *testing.F) {
	value, err := memberlist.Encode(members(1, 3))
	qt.Assert(f, err, qt.IsNil)
	f.Add(value)
	f.Add([]byte{})
	f.Add([]byte(`[{"host":"a"}]`))
	f.Fuzz(func(_ *testing.T, value []byte) {
		_, _ = memberlist.Decode(value)
	})
}
