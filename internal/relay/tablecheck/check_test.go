package tablecheck_test

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/relay/tablecheck"
)

// parts are the parts of a table that a test changes.
type parts struct {
	version       routes.Version
	limits        routes.Limits
	routes        []*routes.Route
	services      []*routes.Service
	organisations []*routes.Organisation
}

// sound returns the parts of a table without findings.
func sound() *parts {
	return &parts{
		version: 3,
		limits:  routes.Limits{Header: 16384, Body: 1 << 20, HeaderTimeout: 3 * time.Second, IdleTimeout: 15 * time.Second},
		routes: []*routes.Route{
			{Name: "chat", Host: "a.example", Prefix: "/chat/", Kind: routes.Stream, Shares: []routes.Share{{Service: "pool", Weight: 1}}, Stages: []routes.Stage{{Service: "board", Bytes: 1000}}, Timeout: 10 * time.Second, Objective: time.Second, Attempts: 1},
			{Name: "read", Host: "a.example", Prefix: "/read/", Kind: routes.Safe, Shares: []routes.Share{{Service: "entries", Weight: 1}}, Timeout: time.Second, Objective: 300 * time.Millisecond, Attempts: 2},
		},
		services: []*routes.Service{
			{Name: "pool", Connections: 100, Engine: &routes.Engine{Slots: 16}},
			{Name: "entries", Connections: 100},
			{Name: "board", Connections: 100, Batch: &routes.Batch{Items: 8, CallTime: 240 * time.Millisecond, ItemTime: 10 * time.Millisecond, Capacity: 1 << 20, Retention: 4 * time.Second}},
		},
		organisations: []*routes.Organisation{{Name: "o", Keys: []routes.Key{"secret-1", "secret-2"}}},
	}
}

func (p *parts) table() *routes.Table {
	return routes.New(p.version, p.limits, p.routes, p.services, p.organisations)
}

// lines returns findings as text, one a line.
func lines(findings []tablecheck.Finding) string {
	var b strings.Builder
	for _, finding := range findings {
		b.WriteString(finding.String() + "\n")
	}
	return b.String()
}

// Guards against a table that is published although requests fail by it, or parts of it never
// take effect.
func TestCheck(t *testing.T) {
	tests := map[string]struct {
		change func(p *parts)
		want   string // pattern
	}{
		"sound":                       {change: func(*parts) {}},
		"unknown service":             {change: func(p *parts) { p.routes[0].Shares[0].Service = "x" }, want: `error: route "chat": service "x" does not exist\nwarning: service "pool": no route uses it\n`},
		"unknown service of a stage":  {change: func(p *parts) { p.routes[0].Stages[0].Service = "x" }, want: `error: route "chat": service "x" of stage 0 does not exist\nwarning: service "board": no route uses it\n`},
		"stage at a plain service":    {change: func(p *parts) { p.routes[0].Stages[0].Service = "entries" }, want: `error: route "chat": service "entries" of stage 0 does not run stages\n(?s).*`},
		"result that never fits":      {change: func(p *parts) { p.routes[0].Stages[0].Bytes = 2 << 20 }, want: `error: route "chat": a result of stage 0 has 2097152 bytes.*\n`},
		"same host and prefix":        {change: func(p *parts) { p.routes[1].Prefix, p.routes[1].Host = "/chat/", "A.example" }, want: `error: route "read": never matches, route "chat" has the same host name and prefix\n`},
		"prefix without a slash":      {change: func(p *parts) { p.routes[0].Prefix = "chat/" }, want: `error: route "chat": prefix "chat/" does not begin with a slash.*\n`},
		"no weight":                   {change: func(p *parts) { p.routes[0].Shares[0].Weight = 0 }, want: `(?s)warning: route "chat": service "pool" has no weight.*error: route "chat": the weights of its services add up to 0\n`},
		"objective after the timeout": {change: func(p *parts) { p.routes[1].Objective = 2 * time.Second }, want: `warning: route "read": the objective of 2s is longer than the time-out of 1s\n`},
		"stages after the objective":  {change: func(p *parts) { p.routes[0].Objective = 500 * time.Millisecond }, want: `warning: route "chat": its stages and the first event take 550ms without any load, the objective is 500ms\n`},
		"stages after the timeout": {change: func(p *parts) {
			p.routes[0].Timeout, p.routes[0].Objective = 500*time.Millisecond, 400*time.Millisecond
		}, want: `error: route "chat": its stages and the first event take 550ms.*time-out is 500ms\n`},
		"attempts without effect": {change: func(p *parts) { p.routes[0].Attempts = 2 }, want: `warning: route "chat": 2 attempts have no effect.*\n`},
		"results expire too soon": {change: func(p *parts) { p.services[2].Batch.Retention = time.Millisecond }, want: `error: service "board": results expire after 1ms, a call takes 240ms\n`},
		"key of two organisations": {change: func(p *parts) {
			p.organisations = append(p.organisations, &routes.Organisation{Name: "p", Keys: []routes.Key{"secret-1"}})
		}, want: `error: organisation "p": has a key that organisation "o" has as well\n`},
		"organisation without keys": {change: func(p *parts) { p.organisations[0].Keys = nil }, want: `warning: organisation "o": has no key, its requests are rejected\n`},
		"large headers":             {change: func(p *parts) { p.limits.Header = 1 << 20 }, want: `error: limits: headers of 1048576 bytes are allowed, hosts reject those over 32768\n`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := sound()
			test.change(p)
			got := lines(tablecheck.Check(p.table()))
			qt.Assert(t, got, qt.Matches, test.want)
		})
	}
}

// Guards against a change that goes unnoticed before it is published, and against keys that
// are printed.
func TestCompare(t *testing.T) {
	tests := map[string]struct {
		change func(p *parts)
		want   string // pattern
	}{
		"higher version":  {change: func(*parts) {}},
		"same version":    {change: func(p *parts) { p.version = 3 }, want: `error: version: 3 is not higher than 3, which is in force; hosts ignore it\n`},
		"limit":           {change: func(p *parts) { p.limits.Body = 5 }, want: `change: limits: Body was 1048576 and is 5\n`},
		"route removed":   {change: func(p *parts) { p.routes = p.routes[:1] }, want: `change: route "read": is removed\n`},
		"route renamed":   {change: func(p *parts) { p.routes[1].Name = "get" }, want: `change: route "read": is removed\nchange: route "get": is added\n`},
		"route changed":   {change: func(p *parts) { p.routes[1].Timeout = time.Minute }, want: `change: route "read": Timeout was 1s and is 1m0s\n`},
		"service changed": {change: func(p *parts) { p.services[0].Engine.Slots = 5 }, want: `change: service "pool": Engine was \{16 .*\} and is \{5 .*\}\n`},
		"keys":            {change: func(p *parts) { p.organisations[0].Keys = []routes.Key{"secret-1", "secret-3"} }, want: `change: organisation "o": 1 keys are added, 1 are revoked\n`},
		"organisation":    {change: func(p *parts) { p.organisations = nil }, want: `change: organisation "o": is removed, its 2 keys are revoked\n`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			p := sound()
			p.version = 4
			test.change(p)
			got := lines(tablecheck.Compare(sound().table(), p.table()))
			qt.Assert(t, got, qt.Matches, test.want)
			qt.Assert(t, got, qt.Not(qt.Contains), "secret")
		})
	}
}
