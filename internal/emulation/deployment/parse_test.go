package deployment_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/emulation/deployment"
)

const small = `
[deployment]
hosts = 2
domains = 1
length = 10s
[policy]
batching = host
[engines e]
count = 1
batch = 4
memory = 1000
step = 4ms
rate = 50
chunk = 100
stride = 5
speeds = 1, 1.3
[pool p]
count = 2
slots = 1
items = 4
call = 200ms
room = 1000
[kind chat]
engines = e
rate = 2
objective = 1s
deadline = 5s
input = 100, 1.2, 400
events = 10
shared = 20, 30
things = 2, 5
[stage chat.1]
pool = p
after = 0
pieces = 4
bytes = 10
[stage chat.0]
pool = p
pieces = 1.5, 0.4
share = 0.5
[burst first]
kind = chat
from = 1s
to = 2s
factor = 2
`

// Guards against misread values, and against stages out of order.
func TestParse(t *testing.T) {
	c := qt.New(t)
	change, err := deployment.ParseChange("kind chat.rate=7.5")
	c.Assert(err, qt.IsNil)
	d, err := deployment.Parse("small", []byte(small), change)
	c.Assert(err, qt.IsNil)
	c.Check(d.Hosts, qt.Equals, 2)
	c.Check(d.Length, qt.Equals, 10*time.Second)
	c.Check(d.Policy.Batching, qt.Equals, deployment.ByHost)
	c.Check(d.Policy.Affinity, qt.Equals, deployment.Bounded)
	c.Check(d.Engines[0].TimeFactors, qt.DeepEquals, []float64{1, 1.3})
	c.Assert(d.Kinds, qt.HasLen, 1)
	chat := d.Kinds[0]
	c.Check(chat.Rate, qt.Equals, 7.5)
	c.Check(chat.Input, qt.DeepEquals, deployment.Distribution{100, 1.2, 400})
	c.Assert(chat.Stages, qt.HasLen, 2)
	c.Check(chat.Stages[0].Share, qt.Equals, 0.5)
	c.Check(chat.Stages[1].After, qt.DeepEquals, []int{0})
	c.Check(chat.Stages[1].WorkFactor, qt.Equals, 1.0)
	c.Check(d.Bursts[0].Factor, qt.Equals, 2.0)
}

// Guards against mistakes in a deployment that are accepted, or reported without
// section and key.
func TestParseFaults(t *testing.T) {
	tests := map[string]struct {
		from, to string // what is replaced in the text
		want     string
	}{
		"unknown key":         {from: "hosts = 2", to: "hosts = 2\nhost = 3", want: "[deployment] host: unknown key"},
		"unknown section":     {from: "[burst first]", to: "[bursts first]", want: "[bursts first]: unknown section"},
		"not a number":        {from: "hosts = 2", to: "hosts = two", want: "[deployment]:"},
		"not a duration":      {from: "call = 200ms", to: "call = 200", want: "[pool p]"},
		"missing key":         {from: "hosts = 2", to: "", want: "[deployment] hosts: must be above zero"},
		"unknown policy":      {from: "batching = host", to: "batching = both", want: "[policy] batching"},
		"unknown pool":        {from: "pool = p\nafter", to: "pool = q\nafter", want: `[stage chat.1] pool: no pool "q"`},
		"unknown engines":     {from: "engines = e", to: "engines = f", want: `[kind chat] engines: no engines "f"`},
		"stage after itself":  {from: "after = 0", to: "after = 1", want: "[stage chat.1] after: 1 is not a stage before"},
		"gap in the stages":   {from: "[stage chat.1]", to: "[stage chat.2]", want: "numbered from 0 without gaps"},
		"stage, unknown kind": {from: "[stage chat.1]", to: "[stage talk.1]", want: `no kind "talk"`},
		"unnumbered stage":    {from: "[stage chat.1]", to: "[stage chat]", want: "expected the name of a kind and a number"},
		"things missing":      {from: "things = 2, 5", to: "things = 2", want: "[kind chat] things"},
		"no mean":             {from: "events = 10", to: "events = 0", want: "[kind chat] events: expected a mean"},
		"share above one":     {from: "share = 0.5", to: "share = 1.5", want: "[stage chat.0] share: must be between 0 and 1"},
		"burst, unknown kind": {from: "kind = chat", to: "kind = talk", want: `[burst] kind: no kind "talk"`},
		"value in no section": {from: "[deployment]", to: "x = 1\n[deployment]", want: "x: outside of any section"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(strings.Contains(small, test.from), qt.IsTrue)
			_, err := deployment.Parse("small", []byte(strings.Replace(small, test.from, test.to, 1)))
			c.Assert(err, qt.ErrorIs, deployment.ErrInvalid)
			c.Check(err.Error(), qt.Contains, test.want)
		})
	}
}

// Guards against changes without a section or value that are accepted, and against
// sections with a dot in their name that are split at the wrong place.
func TestParseChange(t *testing.T) {
	tests := map[string]struct {
		text string
		want deployment.Change
		ok   bool
	}{
		"plain":           {text: "deployment.hosts=3", want: deployment.Change{Section: "deployment", Key: "hosts", Value: "3"}, ok: true},
		"name with a dot": {text: "stage chat.0.pieces = 4, 0.5", want: deployment.Change{Section: "stage chat.0", Key: "pieces", Value: "4, 0.5"}, ok: true},
		"no value":        {text: "deployment.hosts"},
		"no section":      {text: "hosts=3"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := deployment.ParseChange(test.text)
			qt.Check(t, err == nil, qt.Equals, test.ok)
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}

// Guards against built-in deployments that are invalid.
func TestBuiltin(t *testing.T) {
	c := qt.New(t)
	names, err := deployment.Names()
	c.Assert(err, qt.IsNil)
	c.Check(names, qt.Contains, "franchise")
	for _, name := range names {
		text, err := deployment.Builtin(name)
		c.Assert(err, qt.IsNil)
		_, err = deployment.Parse(name, text)
		c.Check(err, qt.IsNil)
	}
	_, err = deployment.Builtin("none")
	c.Check(err, qt.IsNotNil)
}

// Guards against values beyond the maximum of a distribution, and against a log-normal
// distribution whose median, and not its mean, is the configured mean.
func TestDistribution(t *testing.T) {
	c := qt.New(t)
	c.Check(deployment.Distribution{4}.Draw(3), qt.Equals, 4.0)
	c.Check(deployment.Distribution{4, 0.5, 6}.Draw(3), qt.Equals, 6.0)
	c.Check(deployment.Distribution{4, 0.5, 6}.Draw(0) < 4, qt.IsTrue, qt.Commentf("the median is below the mean"))
}
