package load

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/goleak"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func planned(config Config) []arrival {
	config.Targets = []ident.Address{"x"}
	var all []arrival
	for a := newArrivals(config); ; {
		next, ok := a.next()
		if !ok {
			return all
		}
		all = append(all, next)
	}
}

// Guards against a wrong rate, burst or mix, and against runs that a seed does
// not repeat.
func TestArrivals(t *testing.T) {
	config := Config{
		Rate:     100,
		Duration: 100 * time.Second,
		Seed:     1,
		Bursts: []Burst{{
			At:     50 * time.Second,
			For:    10 * time.Second,
			Factor: 3,
		}},
		Organisations: OneLarge(0.6, "large", "b", "c"),
	}
	all := planned(config)
	qt.Assert(t, slices.Equal(planned(config), all), qt.IsTrue)
	burst, large := 0, 0
	for _, a := range all {
		if a.at >= 50*time.Second && a.at < 60*time.Second {
			burst++
		}
		if a.organisation == "large" {
			large++
		}
	}
	// Five standard deviations of the Poisson and binomial counts.
	qt.Check(t, within(len(all), 12_000, 550), qt.IsTrue)
	qt.Check(t, within(burst, 3_000, 275), qt.IsTrue)
	qt.Check(t, within(large, len(all)*6/10, 270), qt.IsTrue)
	config.Seed = 2
	qt.Check(t, planned(config)[0] == all[0], qt.IsFalse)
}

func within(got, want, by int) bool { return got >= want-by && got <= want+by }

func run(t *testing.T, config Config, handler http.Handler) *Report {
	server := httptest.NewServer(handler)
	defer server.Close()
	config.Targets = []ident.Address{ident.Address(server.Listener.Addr().String())}
	config.Rate = 2000
	config.Duration = 100 * time.Millisecond
	config.Seed = 1
	config.Organisations = OneLarge(0.5, "large", "b")
	if config.Build == nil {
		config.Build = func(number int, _ ident.OrganisationID) Request {
			return Request{
				Method: http.MethodPost,
				Path:   "/v1/encode",
				Body:   fmt.Appendf(nil, `{"input":"%d"}`, number),
			}
		}
	}
	if config.Check == nil {
		config.Check = func(request Request, answer Answer) error {
			var body struct{ Output string }
			if err := json.Unmarshal(answer.Body, &body); err != nil {
				return err
			}
			if body.Output != upstreams.PoolOutput(upstreams.Encoder, fmt.Sprint(request.Number)) {
				return errors.Errorf("got %q", body.Output)
			}
			return nil
		}
	}
	generator, err := New(config)
	qt.Assert(t, err, qt.IsNil)
	report := generator.Run(t.Context())
	qt.Assert(t, report.Offered > 0, qt.IsTrue)
	return report
}

func encoder() http.Handler {
	return upstreams.NewPool(upstreams.PoolConfig{
		Common: upstreams.Common{
			Slots: 1000,
		},
		Kind: upstreams.Encoder,
	}).Handler()
}

// Guards against right answers that are not counted as attained.
func TestRunAttained(t *testing.T) {
	report := run(t, Config{}, encoder())
	qt.Check(t, report.Attained, qt.Equals, report.Offered)
	qt.Check(t, report.Latency.TotalCount(), qt.Equals, int64(report.Offered))
	qt.Check(t, report.Organisations["large"].Attained > 0, qt.IsTrue)
	var text bytes.Buffer
	qt.Assert(t, report.Print(&text), qt.IsNil)
	qt.Check(t, text.String(), qt.Contains, "(100.00%)")
}

// Guards against a wrong, refused, late or broken answer that counts as attained.
func TestRunFaults(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		config  Config
		count   func(r *Report) int
	}{
		"answer of another request": {
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"output":"encode(-1)"}`)) },
			count:   func(r *Report) int { return r.Mismatched },
		},
		"refused": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"error":{"ran":false}}`))
			},
			count: func(r *Report) int { return r.Ran["false"] },
		},
		"unknown": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"error":{"ran":"unknown"}}`))
			},
			count: func(r *Report) int { return r.Ran["unknown"] },
		},
		"broken": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			count:   func(r *Report) int { return r.Broken },
		},
		"late": {
			handler: encoder().ServeHTTP,
			config: Config{
				Deadline: time.Nanosecond,
			},
			count: func(r *Report) int { return r.Late + r.Broken },
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			report := run(t, test.config, test.handler)
			qt.Check(t, report.Attained, qt.Equals, 0)
			qt.Check(t, test.count(report), qt.Equals, report.Offered)
		})
	}
}

// Guards against a cut stream that counts as complete.
func TestRunStream(t *testing.T) {
	engine := upstreams.NewEngine(upstreams.EngineConfig{
		Common: upstreams.Common{
			Slots: 1000,
		},
		Tokens: 5,
	})
	prompt := func(number int) string { return fmt.Sprintf("rind %d", number) }
	config := Config{
		Build: func(number int, _ ident.OrganisationID) Request {
			return Request{
				Method: http.MethodPost,
				Path:   "/v1/chat/completions",
				Body:   fmt.Appendf(nil, `{"stream":true,"messages":[{"content":"%s"}]}`, prompt(number)),
				Stream: true,
			}
		},
		Check: func(request Request, answer Answer) error {
			if answer.Text != upstreams.EngineOutput(prompt(request.Number), 5) {
				return errors.Errorf("got %q", answer.Text)
			}
			return nil
		},
	}
	report := run(t, config, engine.Handler())
	qt.Check(t, report.Attained, qt.Equals, report.Offered)
	qt.Check(t, report.FirstToken.TotalCount(), qt.Equals, int64(report.Offered))
	qt.Check(t, report.TokenGap.TotalCount(), qt.Equals, int64(4*report.Offered))
	engine.SetFaults(upstreams.Faults{
		DropAfter: 2,
	})
	report = run(t, config, engine.Handler())
	qt.Check(t, report.Broken, qt.Equals, report.Offered)
}
