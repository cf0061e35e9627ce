package settings_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/settings"
)

const valid = `[entry]
host = entry-1
domain = erie-hall
region = great-lakes
callers = 127.0.1.1:8080
operator = 127.0.1.1:8081
peers = 127.0.1.1:8082
[platform]
store = 127.0.0.10:7000
hosts = 127.0.0.10:7000
`

func TestParseDefaults(t *testing.T) {
	c := qt.New(t)
	parsed, err := settings.Parse("a.ini", []byte(valid))
	c.Assert(err, qt.IsNil)
	c.Assert(parsed.ShutdownTimeout.String(), qt.Equals, "30s")
	c.Assert(parsed.Events, qt.Equals, 65536)
	c.Assert(parsed.LoadRate, qt.Equals, 1.0)
	c.Assert(parsed.Advertise, qt.Equals, parsed.Peers)
}

// Guards against a host behind a forwarder that gossips the address it listens
// on: the other hosts have to connect to the address of the forwarder.
func TestParseAdvertise(t *testing.T) {
	c := qt.New(t)
	parsed, err := settings.Parse("a.ini", []byte(strings.Replace(valid, "[platform]", "advertise = 127.0.3.1:8082\n[platform]", 1)))
	c.Assert(err, qt.IsNil)
	c.Assert(string(parsed.Peers), qt.Equals, "127.0.1.1:8082")
	c.Assert(string(parsed.Advertise), qt.Equals, "127.0.3.1:8082")
}

// Guards against a start with an invalid setting, and against an error that does
// not name the setting.
func TestParseFaults(t *testing.T) {
	cases := map[string]struct {
		text string
		want []string
	}{
		"unknown key": {
			text: valid + "[log]\nlevl = info\n",
			want: []string{"[log] levl: unknown key"},
		},
		"unknown section": {
			text: valid + "[logs]\nlevel = info\n",
			want: []string{"[logs]: unknown section"},
		},
		"duplicate key": {
			text: valid + "hosts = 127.0.0.10:7001\n",
			want: []string{"a.ini", "[platform] hosts: given 2 times"},
		},
		"duplicate key with the same value": {
			text: valid + "hosts = 127.0.0.10:7000\n",
			want: []string{"[platform] hosts: given 2 times"},
		},
		"duplicate key in a section that occurs twice": {
			text: valid + "[entry]\nhost = entry-1\n",
			want: []string{"[entry] host: given 2 times"},
		},
		"wrong unit": {
			text: valid + "[stop]\nlongest = 30\n",
			want: []string{"[stop] longest", "with a unit"},
		},
		"rate of zero": {
			text: valid + "loads = 0\n",
			want: []string{"[platform] loads", "positive number"},
		},
		"rate that is not a number": {
			text: valid + "loads = NaN\n",
			want: []string{"[platform] loads", "positive number"},
		},
		"infinite rate": {
			text: valid + "loads = Inf\n",
			want: []string{"[platform] loads", "positive number"},
		},
		"address without port": {
			text: strings.Replace(valid, "127.0.1.1:8080", "localhost", 1),
			want: []string{"[entry] callers", "IP number and a port"},
		},
		"advertised address without port": {
			text: strings.Replace(valid, "[platform]", "advertise = localhost\n[platform]", 1),
			want: []string{"[entry] advertise", "IP number and a port"},
		},
		"two ports with the same address": {
			text: strings.Replace(valid, "127.0.1.1:8081", "127.0.1.1:8080", 1),
			want: []string{"[entry] operator: same address as callers"},
		},
		"drain longer than stop": {
			text: valid + "[stop]\nlongest = 1s\ndrain = 2s\n",
			want: []string{"[stop] drain: must be shorter than longest"},
		},
		"several faults at once": {
			text: "[entry]\nhost = a b\n[log]\nlevel = loud\n",
			want: []string{"[entry] host", "[entry] domain: missing", "[platform] store: missing", "[log] level"},
		},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.Parse("a.ini", []byte(tc.text))
			c.Assert(errors.Is(err, settings.ErrInvalid), qt.IsTrue)
			for _, want := range tc.want {
				c.Check(err.Error(), qt.Contains, want)
			}
		})
	}
}

// Guards against a setting that the README does not list, which operators could find
// only in the code.
func TestReadmeListsSettings(t *testing.T) {
	c := qt.New(t)
	readme, err := os.ReadFile("../../README.md")
	c.Assert(err, qt.IsNil)
	c.Assert(string(readme), qt.Contains, settings.Help())
}
