package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/internal/relay/budget"
)

var start = time.Unix(1_700_000_000, 0)

func newBudget(hosts int) *budget.Budget {
	return budget.New(budget.Config{
		Share:     0.2,
		Allowance: 30,
		Window:    10 * time.Second,
		Hosts:     func() int { return hosts },
	})
}

// Guards against more retries than all hosts together may make in any window. The
// requests that allow a retry are those of the window before it, so they may be up to
// two windows old at the end of the checked window.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const hosts = 3
		var all []*budget.Budget
		for range hosts {
			all = append(all, newBudget(hosts))
		}
		type count struct {
			at       time.Time
			requests int
			retries  int
		}
		var history []count
		now := start
		steps := rapid.IntRange(1, 80).Draw(t, "steps")
		for range steps {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")) * time.Millisecond)
			b := all[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			here := count{
				at: now,
			}
			for range rapid.IntRange(0, 20).Draw(t, "requests") {
				b.CountRequest(now, "s")
				here.requests++
			}
			for range rapid.IntRange(0, 40).Draw(t, "repeats") {
				if b.AllowRetry(now, "s") {
					here.retries++
				}
			}
			history = append(history, here)
		}
		for i, last := range history {
			requests, retries := 0, 0
			for _, c := range history[:i+1] {
				age := last.at.Sub(c.at)
				if age < 20*time.Second {
					requests += c.requests
				}
				if age < 9500*time.Millisecond { // counts expire in intervals of half a second
					retries += c.retries
				}
			}
			if float64(retries) > 0.2*float64(requests)+30 {
				t.Fatalf("%d retries of %d requests within 10 s", retries, requests)
			}
		}
	})
}

// Guards against a budget that stays exhausted.
func TestBudgetRecovers(t *testing.T) {
	c := qt.New(t)
	b := newBudget(3)
	allowed := 0
	for range 40 {
		if b.AllowRetry(start, "s") {
			allowed++
		}
	}
	c.Check(allowed, qt.Equals, 10, qt.Commentf("a third of the allowance"))
	c.Check(b.AllowRetry(start, "other"), qt.IsTrue)
	c.Check(b.AllowRetry(start.Add(11*time.Second), "s"), qt.IsTrue)
}
