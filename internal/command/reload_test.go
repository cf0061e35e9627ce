package command

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/relay/logging"
)

const relaySettings = `[host]
name = edge-1
domain = erie-hall
region = great-lakes
callers = 127.0.1.1:8080
ready = 127.0.1.1:8081
peers = 127.0.1.1:8082
metrics = 127.0.1.1:9102
[store]
address = 127.0.0.10:7000
[log]
level = info
`

// Guards against a change that is ignored without a log line or applied in part,
// and against a log that repeats the same fault.
func TestReload(t *testing.T) {
	type step struct {
		content   string
		requested bool
		want      string // part of the line that the step logs; empty if it logs none
	}
	debug := strings.Replace(relaySettings, "info", "debug", 1)
	cases := map[string][]step{
		"unchanged": {
			{
				content: relaySettings,
			},
			{
				content:   relaySettings,
				requested: true,
				want:      "settings: reloaded, unchanged",
			},
		},
		"log level": {
			{
				content: debug,
				want:    `"changed":["[log] level"],"restart":[]`,
			},
			{
				content: debug,
			},
		},
		"needs a restart": {
			{
				content:   strings.Replace(debug, "edge-1", "edge-2", 1),
				requested: true,
				want:      `"changed":["[host] name","[log] level"],"restart":["[host] name"]`,
			},
		},
		"fault is reported once": {
			{
				content: relaySettings + "levl = x\n",
				want:    "not usable",
			},
			{
				content: relaySettings + "levl = x\n",
			},
			{
				content:   relaySettings + "levl = x\n",
				requested: true,
				want:      "not usable",
			},
			{
				content: relaySettings,
			},
			{
				content: relaySettings + "levl = x\n",
				want:    "not usable",
			},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			file := filepath.Join(c.TempDir(), "relay.ini")
			var out bytes.Buffer
			log := logging.New(&out, zerolog.InfoLevel, 100)
			r := newReloader(file, []byte(relaySettings), nil, log)
			for _, s := range steps {
				c.Assert(os.WriteFile(file, []byte(s.content), 0o600), qt.IsNil)
				r.reload(s.requested)
			}
			c.Assert(log.Close(), qt.IsNil)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			for _, s := range steps {
				if s.want == "" {
					continue
				}
				c.Assert(len(lines) > 0, qt.IsTrue, qt.Commentf("no line for %q", s.want))
				c.Check(lines[0], qt.Contains, s.want)
				lines = lines[1:]
			}
			c.Check(lines, qt.HasLen, 0)
		})
	}
}

// Guards against a daemon that ends, or logs repeatedly, while its settings file is
// missing for a moment.
func TestReloadWithoutFile(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	log := logging.New(&out, zerolog.InfoLevel, 100)
	r := newReloader(filepath.Join(c.TempDir(), "none"), []byte(relaySettings), nil, log)
	r.reload(false)
	r.reload(false)
	c.Assert(log.Close(), qt.IsNil)
	c.Check(strings.Count(out.String(), "\n"), qt.Equals, 1)
}
