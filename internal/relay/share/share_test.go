package share_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
)

var start = time.Unix(1_700_000_000, 0)

// offer is what an organisation offers of one class, and how many tenths are admitted.
type offer struct {
	organisation ident.OrganisationID
	class        share.Class
	cost         share.Cost // in each tenth of a second
	admitted     int
}

func (o offer) work() share.Work {
	return share.Work{
		Organisation: o.organisation,
		Weight:       1,
		Class:        o.class,
		Cost:         o.cost,
	}
}

// record returns the accounts after ten seconds of offers, and the time.
func record(offers ...offer) (*share.Accounts, time.Time) {
	accounts, now := share.New(), start
	for i := range 100 {
		for _, o := range offers {
			accounts.Record(now, o.work(), i*o.admitted%10 < o.admitted)
		}
		now = now.Add(100 * time.Millisecond)
	}
	return accounts, now
}

// Guards against limits on those who offer less than their share, and against shares that
// apply although hardly anything is refused.
func TestRatio(t *testing.T) {
	tests := map[string]struct {
		offers []offer
		want   []float64 // ratio of each offer
	}{
		"all admitted":      {offers: []offer{{"a", 0, 9, 10}, {"b", 0, 1, 10}}, want: []float64{0, 0}},
		"equal":             {offers: []offer{{"a", 0, 9, 5}, {"b", 0, 9, 5}}, want: []float64{1, 1}},
		"one wants little":  {offers: []offer{{"a", 0, 9, 5}, {"b", 0, 1, 10}}, want: []float64{1, 0}},
		"little is refused": {offers: []offer{{"a", 0, 9, 5}, {"b", 0, 1, 5}}, want: []float64{1.125, 0}},
		"both want more":    {offers: []offer{{"a", 0, 20, 4}, {"b", 0, 10, 4}}, want: []float64{1.33, 0}},
		"class within":      {offers: []offer{{"a", 0, 9, 6}, {"a", 2, 2, 5}, {"b", 0, 3, 10}}, want: []float64{1, 0.23, 0}},
		"classes alike":     {offers: []offer{{"a", 0, 9, 5}, {"a", 2, 9, 3}, {"b", 0, 3, 10}}, want: []float64{1, 0.75, 0}},
		"patient refused":   {offers: []offer{{"a", 1, 8, 10}, {"a", 2, 8, 3}, {"b", 1, 2, 10}, {"b", 2, 8, 5}}, want: []float64{0, 0.6, 0, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			accounts, now := record(test.offers...)
			for i, o := range test.offers {
				got := float64(accounts.Ratio(now, o.work()))
				c.Check(got > test.want[i]-0.08 && got < test.want[i]+0.08, qt.IsTrue, qt.Commentf("offer %d: %.3f, want %.3f", i, got, test.want[i]))
			}
		})
	}
}

// Guards against usage that limits an organisation long after its last request, and
// against counters that are kept for all organisations that ever occurred.
func TestDecay(t *testing.T) {
	c := qt.New(t)
	accounts, now := record(offer{"a", 0, 9, 5}, offer{"b", 0, 9, 5})
	ratio := accounts.Ratio(now, offer{"a", 0, 9, 5}.work())
	c.Assert(ratio.Limited(), qt.IsTrue)
	c.Check(ratio.Wait() < 2*time.Second, qt.IsTrue)
	c.Check(accounts.Unmet(now), qt.IsTrue)
	now = now.Add(time.Minute)
	c.Check(accounts.Unmet(now), qt.IsFalse)
	c.Check(accounts.Largest(now, 10), qt.HasLen, 0)
}
