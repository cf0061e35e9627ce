package measure

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Print writes the measurement to out as a text table with one column for each
// variant.
func (m Measurement) Print(out io.Writer) error {
	o := m.Options
	t := &table{
		out: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0),
	}
	t.line(fmt.Sprintf("scenario %s, deployment %s, seed %d: capacity %.0f/s, rate %.0f/s, deadline %s, %d entry hosts",
		o.Scenario.Name, o.Deployment.Name, o.Seed, m.Capacity, m.Rate, m.Deadline, o.Deployment.Entries))
	t.row("", m.Results, func(r Result) string { return r.Variant })
	t.row("attainment", m.Results, func(r Result) string { return percent(r.Report.Attained, r.Report.Offered) })
	t.row("offered/late/broken/wrong", m.Results, func(r Result) string {
		return fmt.Sprintf("%d/%d/%d/%d", r.Report.Offered, r.Report.Late, r.Report.Broken, r.Report.Mismatched)
	})
	t.row("goodput 1/s", m.Results, func(r Result) string {
		return fmt.Sprintf("%.1f", float64(r.Report.Attained)/o.Scenario.duration.Seconds())
	})
	t.row("latency p50/p95/p99 ms", m.Results, func(r Result) string { return quantiles(r.Report.Latency) })
	t.row("first token p50/p95/p99 ms", m.Results, func(r Result) string { return quantiles(r.Report.FirstToken) })
	t.row("token gap p50/p95/p99 ms", m.Results, func(r Result) string { return quantiles(r.Report.TokenGap) })
	for _, p := range o.Scenario.phases {
		t.row(p.name+" attainment, goodput 1/s", m.Results, func(r Result) string { return p.summary(r) })
	}
	t.row("price per attained", m.Results, func(r Result) string {
		return fmt.Sprintf("%.3f", totalPrice(r)/float64(max(1, r.Report.Attained)))
	})
	for _, stage := range stageNames(m.Results) {
		t.row(fmt.Sprintf("%s attempts/crossed/wasted", stage), m.Results, func(r Result) string {
			c := r.cost(stage)
			return fmt.Sprintf("%d/%d/%d", c.Attempts, c.Crossed, c.Wasted)
		})
		t.row(fmt.Sprintf("%s seconds/wasted/price", stage), m.Results, func(r Result) string {
			c := r.cost(stage)
			return fmt.Sprintf("%.1f/%.1f/%.1f", c.Seconds, c.WastedSeconds, c.Price)
		})
	}
	for _, organisation := range o.Deployment.Organisations {
		t.row(string(organisation)+", p95 ms", m.Results, func(r Result) string {
			tally := r.Report.Organisations[organisation]
			return fmt.Sprintf("%s of %d, %.0f", percent(tally.Attained, tally.Offered), tally.Offered, r.p95(organisation))
		})
	}
	t.row("statuses", m.Results, func(r Result) string { return statusCounts(r.Report.Statuses) })
	t.row("engine requests left", m.Results, func(r Result) string { return fmt.Sprint(r.EngineInFlight) })
	t.row("crashes", m.Results, func(r Result) string { return fmt.Sprint(r.Crashes) })
	for _, name := range eventNames(m.Results) {
		t.row("event "+name, m.Results, func(r Result) string { return fmt.Sprint(r.Events[name]) })
	}
	t.row("attained each second", m.Results, func(r Result) string {
		var each []string
		for _, s := range r.Seconds {
			each = append(each, fmt.Sprint(s.Attained))
		}
		return strings.Join(each, " ")
	})
	for _, r := range m.Results {
		for _, example := range r.Report.Examples[:min(3, len(r.Report.Examples))] {
			t.line("example of " + r.Variant + ": " + example)
		}
	}
	return errors.Annotate(t.out.Flush(), "print measurement")
}

type table struct {
	out *tabwriter.Writer
}

func (t *table) row(name string, results []Result, value func(Result) string) {
	cells := []string{name}
	for _, r := range results {
		cells = append(cells, value(r))
	}
	t.line(strings.Join(cells, "\t"))
}

func (t *table) line(text string) { _, _ = fmt.Fprintln(t.out, text) }

// summary returns the attainment of the requests that arrived in the phase, and
// the goodput during the phase, as one cell.
func (p phase) summary(r Result) string {
	var sum Second
	for i, s := range r.Seconds {
		at := time.Duration(i) * time.Second
		if at >= p.from && at < p.to {
			sum.Offered += s.Offered
			sum.AttainedByArrival += s.AttainedByArrival
			sum.Attained += s.Attained
		}
	}
	return fmt.Sprintf("%s, %.1f", percent(sum.AttainedByArrival, sum.Offered), float64(sum.Attained)/(p.to-p.from).Seconds())
}

func (r Result) cost(stage ident.StageName) Cost {
	for _, c := range r.Costs {
		if c.Stage == stage {
			return c
		}
	}
	return Cost{}
}

func (r Result) p95(organisation ident.OrganisationID) float64 {
	sorted := r.Latencies[organisation]
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[len(sorted)*95/100].Microseconds()) / 1000
}

func totalPrice(r Result) float64 {
	total := 0.0
	for _, c := range r.Costs {
		total += c.Price
	}
	return total
}

func stageNames(results []Result) []ident.StageName {
	found := make(map[ident.StageName]bool)
	for _, r := range results {
		for _, c := range r.Costs {
			found[c.Stage] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// eventNames returns the sorted names of all counted events, without the events
// that every request causes.
func eventNames(results []Result) []string {
	found := make(map[string]bool)
	for _, r := range results {
		for name := range r.Events {
			found[name] = true
		}
	}
	for _, routine := range []string{"entry arrived", "entry admitted", "entry answered", "pipeline attempt", "pipeline attempt done", "pipeline first token"} {
		delete(found, routine)
	}
	return slices.Sorted(maps.Keys(found))
}

func percent(part, whole int) string {
	return fmt.Sprintf("%.2f%%", 100*float64(part)/float64(max(1, whole)))
}

func quantiles(h *hdrhistogram.Histogram) string {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return fmt.Sprintf("%.1f/%.1f/%.1f", ms(50), ms(95), ms(99))
}

func statusCounts(statuses map[int]int) string {
	var each []string
	for _, status := range slices.Sorted(maps.Keys(statuses)) {
		each = append(each, fmt.Sprintf("%d:%d", status, statuses[status]))
	}
	return strings.Join(each, " ")
}
