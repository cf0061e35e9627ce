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

func plannedArrivals(config Config) []arrival {
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

// Guards against a wrong rate, burst or share of organisations, and against
// arrivals that differ between runs with the same seed.
func TestArrivals(t *testing.T) {
	config := Config{
		Rate:     100,
		Duration: 100 * time.Second,
		Seed:     1,
		Bursts: []Burst{{
			Start:    50 * time.Second,
			Duration: 10 * time.Second,
			Factor:   3,
		}},
		Organisations: SkewedShares(0.6, "large", "b", "c"),
	}
	all := plannedArrivals(config)
	qt.Assert(t, slices.Equal(plannedArrivals(config), all), qt.IsTrue)
	burst, large := 0, 0
	for _, a := range all {
		if a.at >= 50*time.Second && a.at < 60*time.Second {
			burst++
		}
		if a.organisation == "large" {
			large++
		}
	}
	// The tolerances are five standard deviations of the Poisson and binomial counts.
	qt.Check(t, within(len(all), 12_000, 550), qt.IsTrue)
	qt.Check(t, within(burst, 3_000, 275), qt.IsTrue)
	qt.Check(t, within(large, len(all)*6/10, 270), qt.IsTrue)
	config.Seed = 2
	qt.Check(t, plannedArrivals(config)[0] == all[0], qt.IsFalse)
}

func within(got, want, tolerance int) bool { return got >= want-tolerance && got <= want+tolerance }

func run(t *testing.T, config Config, handler http.Handler) *Report {
	server := httptest.NewServer(handler)
	defer server.Close()
	config.Targets = []ident.Address{ident.Address(server.Listener.Addr().String())}
	config.Rate = 2000
	config.Duration = 100 * time.Millisecond
	config.Seed = 1
	config.Organisations = SkewedShares(0.5, "large", "b")
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
		config.Check = func(request Request, response Response) error {
			var body struct{ Output string }
			if err := json.Unmarshal(response.Body, &body); err != nil {
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

func encoderHandler() http.Handler {
	return upstreams.NewPool(upstreams.PoolConfig{
		Common: upstreams.Common{
			Slots: 1000,
		},
		Kind: upstreams.Encoder,
	}).Handler()
}

// Guards against correct responses that are not counted as attained.
func TestRunAttained(t *testing.T) {
	report := run(t, Config{}, encoderHandler())
	qt.Check(t, report.Attained, qt.Equals, report.Offered)
	qt.Check(t, report.Latency.TotalCount(), qt.Equals, int64(report.Offered))
	qt.Check(t, report.Organisations["large"].Attained > 0, qt.IsTrue)
	var text bytes.Buffer
	qt.Assert(t, report.Print(&text), qt.IsNil)
	qt.Check(t, text.String(), qt.Contains, "(100.00%)")
}

// Guards against a wrong, rejected, late or broken response that counts as
// attained.
func TestRunFaults(t *testing.T) {
	tests := map[string]struct {
		handler http.HandlerFunc
		config  Config
		count   func(r *Report) int
	}{
		"response to another request": {
			handler: func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"output":"encode(-1)"}`)) },
			count:   func(r *Report) int { return r.Mismatched },
		},
		"rejected": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				_, _ = w.Write([]byte(`{"error":{"ran":false}}`))
			},
			count: func(r *Report) int { return r.Ran["false"] },
		},
		"unknown whether executed": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusConflict)
				_, _ = w.Write([]byte(`{"error":{"ran":"unknown"}}`))
			},
			count: func(r *Report) int { return r.Ran["unknown"] },
		},
		"connection closed": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			count:   func(r *Report) int { return r.Broken },
		},
		"late": {
			handler: encoderHandler().ServeHTTP,
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

// Guards against a stream without its end event that counts as complete.
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
		Check: func(request Request, response Response) error {
			if response.Text != upstreams.EngineOutput(prompt(request.Number), 5) {
				return errors.Errorf("got %q", response.Text)
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
