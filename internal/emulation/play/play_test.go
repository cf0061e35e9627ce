package play_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
	"github.com/nutmegshift/nutmegshift/internal/emulation/play"
)

const seeds = 3

var deployments = []string{"franchise", "roues"}

// load parses a deployment without packet loss and retries, and with engines that read
// prompts in almost no time, so that only the decisions about stages affect the results.
func load(t *testing.T, name string, changes ...string) *deployment.Deployment {
	t.Helper()
	content, err := deployment.Builtin(name)
	qt.Assert(t, err, qt.IsNil)
	d, err := deployment.Parse(name, content)
	qt.Assert(t, err, qt.IsNil)
	all := []deployment.Change{}
	simplifications := []string{"deployment.loss=0"}
	for _, k := range d.Kinds {
		simplifications = append(simplifications, fmt.Sprintf("kind %s.retries=0", k.Name))
	}
	for _, e := range d.Engines {
		simplifications = append(simplifications, fmt.Sprintf("engines %s.rate=100000", e.Name), fmt.Sprintf("engines %s.pairs=0s", e.Name))
	}
	for _, text := range append(simplifications, changes...) {
		change, err := deployment.ParseChange(text)
		qt.Assert(t, err, qt.IsNil)
		all = append(all, change)
	}
	d, err = deployment.Parse(name, content, all...)
	qt.Assert(t, err, qt.IsNil)
	return d
}

// runSeeds runs a deployment with each seed and checks the reports.
func runSeeds(t *testing.T, d *deployment.Deployment, check func(c *qt.C, report play.Report)) {
	t.Helper()
	for seed := range uint64(seeds) {
		report := play.Run(d, seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			for _, kind := range append(report.Kinds, report.Total()) {
				c.Logf("%-14s asked %4d, on time %4d, late %3d, refused %3d, failed %3d", kind.Kind, kind.Requests, kind.OnTime, kind.Late, kind.Refused, kind.Failed)
			}
			check(c, report)
		})
	}
}

// Guards against queueing and refusals at the usual load, which is half of the capacity
// of full batches.
func TestSteadyLoadIsOnTime(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			runSeeds(t, load(t, name), func(c *qt.C, report play.Report) {
				for _, kind := range report.Kinds {
					c.Check(kind.OnTime >= kind.Requests*99/100, qt.IsTrue, qt.Commentf("%s", kind.Kind))
				}
			})
		})
	}
}

// Guards against a coordinator that earns less than hosts which batch independently and
// so fill the upstreams with small batches and queues.
func TestOneCoordinatorServesMore(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				single := play.Run(load(t, name), seed).Total().WorthShare()
				perHost := play.Run(load(t, name, "policy.batching=host"), seed).Total().WorthShare()
				qt.Check(t, single > perHost, qt.IsTrue, qt.Commentf("seed %d: %.2f and %.2f", seed, single, perHost))
			}
		})
	}
}

// Guards against bursts that make most responses late, and against less urgent kinds
// that are served before more urgent ones which need the same upstreams.
func TestBurst(t *testing.T) {
	tests := map[string]struct {
		deployment string
		kind       string
		fault      []string
		order      []string // kinds that share the scarce upstreams, the most urgent first
	}{
		"most urgent kind": {
			deployment: "franchise",
			kind:       "rules-chat",
			order:      []string{"rules-chat", "rind-tag"},
		},
		"most urgent kind, one upstream lost": {
			deployment: "franchise",
			kind:       "rules-chat",
			fault:      []string{"fault.service=exhibitor-portal", "fault.count=1"},
			order:      []string{"rules-chat", "rind-tag"},
		},
		"largest kind": {
			deployment: "franchise",
			kind:       "entry-dossier",
			order:      []string{"entry-dossier", "rind-tag"},
		},
		"all kinds": {
			deployment: "franchise",
			order:      []string{"rules-chat", "rind-tag"},
		},
		"most urgent kind, large batches": {
			deployment: "roues",
			kind:       "avis",
			order:      []string{"avis"},
		},
		"slow upstream": {
			deployment: "roues",
			kind:       "dossier",
			fault:      []string{"fault.service=stock", "fault.count=1", "fault.slow=5"},
			order:      []string{"avis"},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			changes := []string{"burst.kind=" + test.kind, "burst.from=8s", "burst.to=14s", "burst.factor=2.5"}
			if test.fault != nil {
				changes = append(changes, "fault.from=10s", "fault.to=15s")
			}
			d := load(t, test.deployment, append(changes, test.fault...)...)
			runSeeds(t, d, func(c *qt.C, report play.Report) {
				last := 1.0
				for _, name := range test.order {
					kind := report.Kind(name)
					served := float64(kind.OnTime+kind.Late) / float64(kind.Requests)
					c.Check(served <= last+0.05, qt.IsTrue, qt.Commentf("%s is served in %.2f of the cases, a more urgent kind in %.2f", name, served, last))
					last = served
				}
				first := report.Kind(test.order[0])
				c.Check(float64(first.OnTime) >= 0.8*float64(first.Requests), qt.IsTrue, qt.Commentf("%s", first.Kind))
				total := report.Total()
				c.Check(total.Late <= total.Requests/10, qt.IsTrue, qt.Commentf("late: %d of %d", total.Late, total.Requests))
				// A request that fails after seconds of waiting is worse than one that
				// is refused at once.
				c.Check(total.Failed <= total.Requests/50, qt.IsTrue, qt.Commentf("failed: %d of %d", total.Failed, total.Requests))
			})
		})
	}
}

// Guards against upstreams that get no work after they were lost or slow.
func TestUpstreamRecovery(t *testing.T) {
	for name, slow := range map[string]string{"lost": "0", "slow": "5"} {
		t.Run(name, func(t *testing.T) {
			d := load(t, "franchise", "fault.service=judging-board", "fault.count=4", "fault.from=5s", "fault.to=9s", "fault.slow="+slow, "deployment.length=60s")
			runSeeds(t, d, func(c *qt.C, report play.Report) {
				total := report.Total()
				// The fault lasts 4 of 60 s, and calls that it affects end up to 2 s later.
				c.Check(total.OnTime >= total.Requests*80/100, qt.IsTrue)
			})
		})
	}
}

// Guards against runs that differ with the same deployment and seed.
func TestRunsAreDeterministic(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			content, err := deployment.Builtin(name)
			qt.Assert(t, err, qt.IsNil)
			d, err := deployment.Parse(name, append(content, "\n[takeover]\nat = 8s\n[fault]\nservice = "+engines[name]+"\ncount = 2\nfrom = 12s\nto = 14s\n"...))
			qt.Assert(t, err, qt.IsNil)
			first := play.Run(d, 7)
			for range 3 {
				qt.Assert(t, play.Run(d, 7), qt.DeepEquals, first)
			}
		})
	}
}

var engines = map[string]string{
	"franchise": "nutmeg-pool",
	"roues":     "atelier-llm",
}

// Guards against a new coordinator that fails requests because the upstreams still hold
// results for its predecessor, which nobody releases. This happens if the host of the
// coordinator, or all hosts, lose power.
func TestTakeover(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			runSeeds(t, load(t, name, "takeover.at=10s"), func(c *qt.C, report play.Report) {
				total := report.Total()
				c.Check(total.Failed <= total.Requests/200, qt.IsTrue, qt.Commentf("failed: %d of %d", total.Failed, total.Requests))
				// The results expire after 4 s. With the requests in progress at the
				// takeover, it affects the requests of 6 of 30 s.
				c.Check(total.OnTime >= total.Requests*80/100, qt.IsTrue, qt.Commentf("on time: %d of %d", total.OnTime, total.Requests))
			})
		})
	}
}

// Guards against frozen hosts that occupy the capacity of the upstreams and so block the
// requests of all hosts.
func TestFrozenHosts(t *testing.T) {
	for name, hosts := range map[string]int{"franchise": 5, "roues": 3} {
		t.Run(name, func(t *testing.T) {
			d := load(t, name, fmt.Sprintf("freeze.hosts=%d", hosts), "freeze.from=10s", "freeze.to=16s")
			runSeeds(t, d, func(c *qt.C, report play.Report) {
				total := report.Total()
				c.Check(total.Refused <= total.Requests/50, qt.IsTrue, qt.Commentf("refused: %d of %d", total.Refused, total.Requests))
				// The frozen hosts get 10% of the requests; another 2% are waiting when
				// the freeze begins.
				c.Check(total.OnTime >= total.Requests*85/100, qt.IsTrue, qt.Commentf("on time: %d of %d", total.OnTime, total.Requests))
			})
		})
	}
}

// Guards against engine crashes without effect in the emulation, and against streams
// that are not resumed at another engine.
func TestEngineCrash(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			d := load(t, name, "fault.service="+engines[name], "fault.count=6", "fault.from=10s", "fault.to=14s")
			runSeeds(t, d, func(c *qt.C, report play.Report) {
				total := report.Total()
				c.Check(total.Failed > 0, qt.IsTrue, qt.Commentf("streams that may not run twice fail"))
				c.Check(total.Failed <= total.Requests*5/100, qt.IsTrue, qt.Commentf("failed: %d of %d", total.Failed, total.Requests))
				for _, kind := range report.Kinds {
					if resumes(d, kind.Kind) {
						c.Check(kind.Failed, qt.Equals, 0, qt.Commentf("%s", kind.Kind))
					}
				}
			})
		})
	}
}

func resumes(d *deployment.Deployment, name string) bool {
	for _, k := range d.Kinds {
		if k.Name == name {
			return k.Resumes
		}
	}
	return false
}

// Guards against requests that are counted twice or not at all.
func TestCountsAddUp(t *testing.T) {
	d := load(t, "franchise", "burst.from=8s", "burst.to=14s", "burst.factor=3", "kind rind-tag.retries=1")
	runSeeds(t, d, func(c *qt.C, report play.Report) {
		asked := 0
		for _, second := range report.Seconds {
			asked += second.Requests
			c.Check(second.OnTime+second.Late+second.Refused+second.Failed, qt.Equals, second.Requests)
		}
		total := report.Total()
		c.Check(asked, qt.Equals, total.Requests)
		c.Check(total.OnTime+total.Late+total.Refused+total.Failed, qt.Equals, total.Requests)
		c.Check(report.StageTime > 0 && report.WastedStageTime < report.StageTime, qt.IsTrue)
		c.Check(total.FirstEventTime(0.5) > 0 && total.FirstEventTime(0.5) < 2*time.Second, qt.IsTrue)
	})
}
