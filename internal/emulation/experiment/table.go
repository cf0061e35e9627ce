package experiment

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

// Table writes the points of a plan.
func Table(out io.Writer, points []Point) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "variant\tvalue\tworth\tspread\ton time\tlate\trefused\tfailed\tfirst p50\tp99\twasted\titems\tread again")
	for _, p := range points {
		s := p.Summary
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.3f\t%.3f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.1f\t%s\n", p.Variant, p.Value, s.Worth, s.Spread,
			percent(s.OnTime), percent(s.Late), percent(s.Refused), percent(s.Failed), milliseconds(s.Median), milliseconds(s.Slowest),
			percent(s.Wasted), s.Items, percent(s.Again))
	}
	return errors.Trace(w.Flush())
}

// Kinds writes what one run gave for each kind of request.
func Kinds(out io.Writer, report play.Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "kind\tasked\ton time\tlate\trefused\tfailed\tworth\tfirst p50\tp99\tpause p90\tp99")
	for _, k := range append(report.Kinds, report.Total()) {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.3f\t%s\t%s\t%s\t%s\n", k.Kind, k.Asked, k.OnTime, k.Late, k.Refused, k.Failed, k.Share(),
			milliseconds(k.First(0.5)), milliseconds(k.First(0.99)), milliseconds(k.Pause(0.9)), milliseconds(k.Pause(0.99)))
	}
	_, _ = fmt.Fprintf(w, "stages: %d calls, %d items, %d found their upstream full, %s, %s of it wasted\n", report.Calls, report.Items, report.Full,
		report.Busy.Round(time.Second), report.Wasted.Round(time.Second))
	_, _ = fmt.Fprintf(w, "engines: %d prompt tokens read, %d of them again, %d found, %d fetched, %d requests preempted\n", report.Engines.Read, report.Engines.Again,
		report.Engines.Found, report.Engines.Moved, report.Engines.Preempted)
	return errors.Trace(w.Flush())
}

func percent(part float64) string { return fmt.Sprintf("%.1f%%", 100*part) }

func milliseconds(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }
