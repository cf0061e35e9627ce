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

// load reads a deployment whose links lose nothing, whose engines read prompts at
// once and whose callers do not retry, so that what is checked are the decisions
// about stages.
func load(t *testing.T, name string, changes ...string) *deployment.Deployment {
	t.Helper()
	content, err := deployment.Builtin(name)
	qt.Assert(t, err, qt.IsNil)
	d, err := deployment.Parse(name, content)
	qt.Assert(t, err, qt.IsNil)
	all := []deployment.Change{}
	calm := []string{"deployment.loss=0"}
	for _, k := range d.Kinds {
		calm = append(calm, fmt.Sprintf("kind %s.retries=0", k.Name))
	}
	for _, e := range d.Engines {
		calm = append(calm, fmt.Sprintf("engines %s.rate=100000", e.Name), fmt.Sprintf("engines %s.pairs=0s", e.Name))
	}
	for _, text := range append(calm, changes...) {
		change, err := deployment.ParseChange(text)
		qt.Assert(t, err, qt.IsNil)
		all = append(all, change)
	}
	d, err = deployment.Parse(name, content, all...)
	qt.Assert(t, err, qt.IsNil)
	return d
}

// each runs a deployment with every seed.
func each(t *testing.T, d *deployment.Deployment, check func(c *qt.C, report play.Report)) {
	t.Helper()
	for seed := range uint64(seeds) {
		report := play.Run(d, seed)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			c := qt.New(t)
			for _, kind := range append(report.Kinds, report.Total()) {
				c.Logf("%-14s asked %4d, on time %4d, late %3d, refused %3d, failed %3d", kind.Kind, kind.Asked, kind.OnTime, kind.Late, kind.Refused, kind.Failed)
			}
			check(c, report)
		})
	}
}

// Guards against queues or refusals at the usual load, which is half of the
// capacity of full batches.
func TestSteadyLoadIsOnTime(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			each(t, load(t, name), func(c *qt.C, report play.Report) {
				for _, kind := range report.Kinds {
					c.Check(kind.OnTime >= kind.Asked*99/100, qt.IsTrue, qt.Commentf("%s", kind.Kind))
				}
			})
		})
	}
}

// Guards against hosts that batch against each other, which fills upstreams with
// small batches and queues.
func TestOneCoordinatorServesMore(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(seeds) {
				one := play.Run(load(t, name), seed).Total().Share()
				each := play.Run(load(t, name, "policy.batching=host"), seed).Total().Share()
				qt.Check(t, one > each, qt.IsTrue, qt.Commentf("seed %d: %.2f and %.2f", seed, one, each))
			}
		})
	}
}

// Guards against a burst of one kind in which everything is late, and in which
// less urgent kinds are served before more urgent ones that need the same
// upstreams.
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
			each(t, d, func(c *qt.C, report play.Report) {
				last := 1.0
				for _, name := range test.order {
					kind := report.Kind(name)
					served := float64(kind.OnTime+kind.Late) / float64(kind.Asked)
					c.Check(served <= last+0.05, qt.IsTrue, qt.Commentf("%s is served in %.2f of the cases, a more urgent kind in %.2f", name, served, last))
					last = served
				}
				first := report.Kind(test.order[0])
				c.Check(float64(first.OnTime) >= 0.8*float64(first.Asked), qt.IsTrue, qt.Commentf("%s", first.Kind))
				total := report.Total()
				c.Check(total.Late <= total.Asked/10, qt.IsTrue, qt.Commentf("late: %d of %d", total.Late, total.Asked))
				// A request that waits for seconds and fails then is worse off than
				// one that is refused at once.
				c.Check(total.Failed <= total.Asked/50, qt.IsTrue, qt.Commentf("failed: %d of %d", total.Failed, total.Asked))
			})
		})
	}
}

// Guards against work that is not resumed after upstreams were lost or slow.
func TestUpstreamsComeBack(t *testing.T) {
	for name, slow := range map[string]string{"lost": "0", "slow": "5"} {
		t.Run(name, func(t *testing.T) {
			d := load(t, "franchise", "fault.service=judging-board", "fault.count=4", "fault.from=5s", "fault.to=9s", "fault.slow="+slow, "deployment.length=60s")
			each(t, d, func(c *qt.C, report play.Report) {
				total := report.Total()
				// The fault lasts 4 of 60 s, and calls of the fault end up to 2 s later.
				c.Check(total.OnTime >= total.Asked*80/100, qt.IsTrue)
			})
		})
	}
}

// Guards against runs that cannot be repeated.
func TestRunsRepeat(t *testing.T) {
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

// Guards against a coordinator that takes over and fails requests because the
// upstreams still hold results of the one before, which nobody releases: a loss
// of power of its host, or of all hosts.
func TestTakeover(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			each(t, load(t, name, "takeover.at=10s"), func(c *qt.C, report play.Report) {
				total := report.Total()
				c.Check(total.Failed <= total.Asked/200, qt.IsTrue, qt.Commentf("failed: %d of %d", total.Failed, total.Asked))
				// The results lapse after 4 s; with those that were in progress, the
				// requests of 6 of 30 s are concerned.
				c.Check(total.OnTime >= total.Asked*80/100, qt.IsTrue, qt.Commentf("on time: %d of %d", total.OnTime, total.Asked))
			})
		})
	}
}

// Guards against hosts that stand still and keep the room of the upstreams, which
// stops the requests of all hosts.
func TestFrozenHosts(t *testing.T) {
	for name, hosts := range map[string]int{"franchise": 5, "roues": 3} {
		t.Run(name, func(t *testing.T) {
			d := load(t, name, fmt.Sprintf("freeze.hosts=%d", hosts), "freeze.from=10s", "freeze.to=16s")
			each(t, d, func(c *qt.C, report play.Report) {
				total := report.Total()
				c.Check(total.Refused <= total.Asked/50, qt.IsTrue, qt.Commentf("refused: %d of %d", total.Refused, total.Asked))
				// The requests of the frozen hosts are 10% of all, and those that wait
				// as the freeze begins another 2%.
				c.Check(total.OnTime >= total.Asked*85/100, qt.IsTrue, qt.Commentf("on time: %d of %d", total.OnTime, total.Asked))
			})
		})
	}
}

// Guards against a model of engines that does not notice crashes, and streams that
// go on nowhere.
func TestEngineCrash(t *testing.T) {
	for _, name := range deployments {
		t.Run(name, func(t *testing.T) {
			d := load(t, name, "fault.service="+engines[name], "fault.count=6", "fault.from=10s", "fault.to=14s")
			each(t, d, func(c *qt.C, report play.Report) {
				total := report.Total()
				c.Check(total.Failed > 0, qt.IsTrue, qt.Commentf("streams that may not run twice are lost"))
				c.Check(total.Failed <= total.Asked*5/100, qt.IsTrue, qt.Commentf("failed: %d of %d", total.Failed, total.Asked))
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

// Guards against more than one time at which the same thing is counted.
func TestCountsAddUp(t *testing.T) {
	d := load(t, "franchise", "burst.from=8s", "burst.to=14s", "burst.factor=3", "kind rind-tag.retries=1")
	each(t, d, func(c *qt.C, report play.Report) {
		asked := 0
		for _, second := range report.Seconds {
			asked += second.Asked
			c.Check(second.OnTime+second.Late+second.Result.Refused+second.Failed, qt.Equals, second.Asked)
		}
		total := report.Total()
		c.Check(asked, qt.Equals, total.Asked)
		c.Check(total.OnTime+total.Late+total.Refused+total.Failed, qt.Equals, total.Asked)
		c.Check(report.Busy > 0 && report.Wasted < report.Busy, qt.IsTrue)
		c.Check(total.First(0.5) > 0 && total.First(0.5) < 2*time.Second, qt.IsTrue)
	})
}
