package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

// Table writes a table of the points of a plan.
func Table(out io.Writer, points []Point) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "variant\tvalue\tworth\tspread\ton time\tlate\trefused\tfailed\tfirst p50\tp99\twasted\titems\tread again")
	for _, p := range points {
		s := p.Summary
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%s\n", p.Variant, p.Value, s.WorthShare, s.WorthDeviation,
			percent(s.OnTime), percent(s.Late), percent(s.Refused), percent(s.Failed), milliseconds(s.MedianFirstEvent), milliseconds(s.P99FirstEvent),
			percent(s.WastedStageTime), s.ItemsPerCall, percent(s.Reread))
	}
	return errors.Trace(w.Flush())
}

// KindTable writes a table of the results of a run for each kind of request, and the
// totals of stages and engines.
func KindTable(out io.Writer, report play.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "kind\tasked\ton time\tlate\trefused\tfailed\tworth\tfirst p50\tp99\tpause p90\tp99")
	for _, k := range append(report.Kinds, report.Total()) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t%s\n", k.Kind, k.Requests, k.OnTime, k.Late, k.Refused, k.Failed, k.WorthShare(),
			milliseconds(k.FirstEventTime(0.5)), milliseconds(k.FirstEventTime(0.99)), milliseconds(k.Pause(0.9)), milliseconds(k.Pause(0.99)))
	}
	_, _ = fmt.Fprintf(w, "stages: %d calls, %d items, %d found their upstream full, %s, %s of it wasted\n", report.Calls, report.Items, report.FullCalls,
		report.StageTime.Round(time.Second), report.WastedStageTime.Round(time.Second))
	_, _ = fmt.Fprintf(w, "engines: %d prompt tokens read, %d of them again, %d found, %d fetched, %d requests preempted\n", report.Engines.Read, report.Engines.Reread,
		report.Engines.CacheHits, report.Engines.Fetched, report.Engines.Preempted)
	return errors.Trace(w.Flush())
}

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
