package settings_test

import (
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/internal/settings"
)

const validRelay = `[host]
name = edge-1
domain = erie-hall
region = great-lakes
callers = 127.0.1.1:8080
ready = 127.0.1.1:8081
peers = 127.0.1.1:8082
metrics = 127.0.1.1:9102
seeds = 127.0.1.1:8082, 127.0.1.2:8082
[store]
address = 127.0.0.10:7000
`

func TestParseRelay(t *testing.T) {
	c := qt.New(t)
	parsed, err := settings.ParseRelay("a.ini", []byte(validRelay))
	c.Assert(err, qt.IsNil)
	c.Check(parsed.Advertise, qt.Equals, parsed.Peers)
	c.Check(parsed.Seeds, qt.HasLen, 2)
	c.Check(parsed.RetryShare, qt.Equals, 0.2)
	c.Check(parsed.Grace.String(), qt.Equals, "8s")
}

// Guards against a daemon that starts with settings that contradict each other
// or whose keys it does not know.
func TestParseRelayFaults(t *testing.T) {
	cases := map[string]struct {
		text string
		want string
	}{
		"two ports with the same address": {
			text: strings.Replace(validRelay, "127.0.1.1:9102", "127.0.1.1:8081", 1),
			want: "[host] metrics: same address as ready",
		},
		"seed without a port": {
			text: strings.Replace(validRelay, "127.0.1.2:8082", "127.0.1.2", 1),
			want: "[host] seeds",
		},
		"unknown key": {
			text: validRelay + "port = 1\n",
			want: "[store] port: unknown key",
		},
		"missing": {
			text: strings.Replace(validRelay, "domain", "#domain", 1),
			want: "[host] domain: missing",
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, err := settings.ParseRelay("a.ini", []byte(test.text))
			c.Assert(errors.Is(err, settings.ErrInvalid), qt.IsTrue)
			c.Assert(err.Error(), qt.Contains, test.want)
		})
	}
}

// Guards against a deployment template that the daemon rejects once it is filled in.
func TestRelayTemplate(t *testing.T) {
	c := qt.New(t)
	content, err := os.ReadFile("../../deploy/relay.ini")
	c.Assert(err, qt.IsNil)
	values := map[string]string{
		"{{node_name}}":                    "edge-1",
		"{{zone}}":                         "erie-hall",
		"{{region}}":                       "great-lakes",
		"{{#zones}}{{@}}:{{.}},{{/zones}}": "erie-hall:great-lakes,huron-hall:great-lakes,",
		"{{ip}}":                           "10.1.0.1",
		"{{listen.frontend}}":              "10.1.0.1:8625",
		"{{listen.ready}}":                 "10.1.0.1:8621",
		"{{listen.control}}":               "10.1.0.1:8628",
		"{{seeds}}":                        "",
		"{{limits.cpu_share}}":             "0.4",
		"{{limits.memory_mb}}":             "284",
		"{{limits.max_fds}}":               "4100",
		"{{platform.address}}":             "10.200.1.7:8624",
		"{{heartbeat_ms}}":                 "1200",
		"{{bounds.config_apply_ms}}":       "2000",
		"{{bounds.retry_budget_ratio}}":    "0.2",
		"{{bounds.retry_allowance}}":       "58",
		"{{bounds.budget_window_s}}":       "10",
		"{{bounds.grace_s}}":               "8",
	}
	text := string(content)
	for placeholder, value := range values {
		text = strings.ReplaceAll(text, placeholder, value)
	}
	c.Assert(text, qt.Not(qt.Contains), "{{")
	_, err = settings.ParseRelay("relay.ini", []byte(text))
	c.Assert(err, qt.IsNil)
}

func TestDifferences(t *testing.T) {
	c := qt.New(t)
	changed := strings.Replace(validRelay, "edge-1", "edge-2", 1) + "lease = 30s\n[log]\nlevel = debug\n"
	keys, err := settings.Differences([]byte(validRelay), []byte(changed))
	c.Assert(err, qt.IsNil)
	c.Assert(keys, qt.DeepEquals, []string{"[host] name", "[log] level", "[store] lease"})
}
