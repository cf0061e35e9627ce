package stagehttp

import (
	"strconv"
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/upstream"
)

// parseLoad parses a load report of the form "running=3 queued=1 at=<Unix
// milliseconds>". It returns nil for anything else, since a load report is only a
// hint.
func parseLoad(text string) *upstream.Load {
	values := make(map[string]int64)
	for _, field := range strings.Fields(text) {
		name, number, found := strings.Cut(field, "=")
		value, err := strconv.ParseInt(number, 10, 64)
		if !found || err != nil || value < 0 {
			return nil
		}
		values[name] = value
	}
	for _, name := range []string{"running", "queued", "at"} {
		if _, ok := values[name]; !ok {
			return nil
		}
	}
	return &upstream.Load{
		Running: int(values["running"]),
		Queued:  int(values["queued"]),
		At:      time.UnixMilli(values["at"]),
	}
}
