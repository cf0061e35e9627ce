package document_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
)

const plainText = `[service]
team = entries
kind = plain
deadline = 6s
weight = 0.9

[shares]
large = 4

[route read]
method = GET
path = /standing
repeatable = true
pool = entries-api/servers

[route enter]
method = POST
path = /entries
repeatable = false
identity = field:submission
pool = entries-api/servers
body = 64KiB
`

const pipelineText = `[service]
team = assist
kind = pipeline
deadline = 12s
weight = 0
model = dossier-8b
tokens = 512

[stage find]
kind = lookup
pool = stock/servers
path = /parts
timeout = 1s

[stage write]
kind = generate
pool = engine-room/engines

[route chat]
method = POST
path = /v1/chat/completions
repeatable = true
`

// Guards against an invalid document that is accepted, although no host can put it
// into effect, and against errors that report only the first of several faults.
func TestParseFaults(t *testing.T) {
	for name, test := range map[string]struct {
		base     string
		old, new string
		want     []string
	}{
		"unknown section":        {plainText, "[shares]", "[sharing]", []string{"[sharing]: unknown section"}},
		"default section":        {plainText, "[shares]", "[DEFAULT]", []string{"[DEFAULT]: unknown section"}},
		"section twice":          {plainText, "[shares]", "[route read]", []string{"[route read]: section appears twice"}},
		"section without name":   {plainText, "[route read]", "[route]", []string{"[route]: name must"}},
		"section not closed":     {plainText, "[shares]", "[shares", []string{"line 7: not a section header"}},
		"missing section":        {plainText, "[service]\nteam = entries", "[shares]", []string{"[service]: section is missing", "[service] deadline: missing"}},
		"unknown key":            {plainText, "body =", "limit =", []string{"[route enter] limit: unknown key"}},
		"key in upper case":      {plainText, "team =", "Team =", []string{"[service] Team: unknown key", "[service] team: missing"}},
		"key twice":              {plainText, "kind = plain", "kind = plain\nkind = plain", []string{"[service] kind: key appears more than once"}},
		"key before sections":    {plainText, "[service]", "team = x\n[service]", []string{"precedes the first section"}},
		"line without value":     {plainText, "body = 64KiB", "body", []string{"[route enter]: line 22: not a key and value"}},
		"empty value":            {plainText, "team = entries", "team =", []string{"[service] team: value is empty"}},
		"quoted value":           {plainText, "team = entries", "team = \"entries\"", []string{"[service] team: line 2: quotes"}},
		"control character":      {plainText, "entries", "entr\x00ies", []string{"control characters"}},
		"not UTF-8":              {plainText, "entries", "entr\xffies", []string{"not UTF-8"}},
		"text too long":          {plainText, "[shares]", "[shares]\n#" + strings.Repeat("x", document.MaxTextBytes), []string{"limit is 65536"}},
		"deadline without unit":  {plainText, "6s", "6", []string{"[service] deadline: \"6\" is not a duration with a unit"}},
		"deadline too long":      {plainText, "6s", "30s", []string{"[service] deadline: 30s is not between"}},
		"weight above limit":     {plainText, "0.9", "1.5", []string{"[service] weight: 1.5 is not between 0 and 1"}},
		"weight not a number":    {plainText, "0.9", "NaN", []string{"[service] weight: \"NaN\" is not a number"}},
		"weight with unit":       {plainText, "0.9", "90%", []string{"[service] weight: \"90%\" is not a number without a unit"}},
		"share of zero":          {plainText, "large = 4", "large = 0", []string{"[shares] large: share must be above 0"}},
		"size without unit":      {plainText, "64KiB", "65536", []string{"[route enter] body: \"65536\" is not a size"}},
		"size too large":         {plainText, "64KiB", "64MiB", []string{"[route enter] body: 64MiB is not between"}},
		"unknown kind":           {plainText, "kind = plain", "kind = plane", []string{"[service] kind: \"plane\" is not one of"}},
		"unknown method":         {plainText, "POST", "post", []string{"[route enter] method: \"post\" is not one of"}},
		"path with query":        {plainText, "/standing", "/standing?all=1", []string{"[route read] path:"}},
		"pool without service":   {plainText, "pool = entries-api/servers\n\n", "pool = servers\n\n", []string{"[route read] pool: \"servers\" is not SERVICE/POOL"}},
		"missing pool":           {plainText, "pool = entries-api/servers\n\n", "\n", []string{"[route read] pool: missing"}},
		"missing identity":       {plainText, "identity = field:submission\n", "", []string{"[route enter] identity: missing"}},
		"two identities":         {plainText, "identity = field:submission", "identity = field:submission\nidentity = header:Idempotency-Key", []string{"[route enter] identity: key appears more than once"}},
		"identity not prefixed":  {plainText, "field:submission", "submission", []string{"[route enter] identity: \"submission\" is not header:NAME or field:NAME"}},
		"identity from cookie":   {plainText, "field:submission", "cookie:submission", []string{"[route enter] identity: \"cookie:submission\" is not header:NAME or field:NAME"}},
		"identity with space":    {plainText, "field:submission", "field:sub mission", []string{"[route enter] identity: \"field:sub mission\" is not header:NAME or field:NAME"}},
		"identity on repeatable": {plainText, "repeatable = false", "repeatable = true", []string{"[route enter] repeatable: contradicts the identity"}},
		"field without body":     {plainText, "method = POST", "method = DELETE", []string{"[route enter] identity: contradicts method DELETE"}},
		"two organisations":      {plainText, "body =", "organisation = header:X-Organisation\norganisation = field:org\nbody =", []string{"[route enter] organisation: key appears more than once"}},
		"route twice":            {plainText, "method = POST\npath = /entries", "method = GET\npath = /standing", []string{"[route enter] path: GET /standing is already route \"read\""}},
		"plain with stage":       {plainText, "[shares]", "[stage find]\nkind = encode\npool = a/b\n[shares]", []string{"[service] kind: plain contradicts"}},
		"plain with model":       {plainText, "kind = plain", "kind = plain\nmodel = dossier-8b", []string{"[service] model: contradicts"}},
		"pipeline with pool":     {pipelineText, "repeatable = true", "repeatable = true\npool = a/b", []string{"[route chat] pool: contradicts kind pipeline"}},
		"pipeline without stage": {plainText, "kind = plain", "kind = pipeline", []string{"a pipeline needs a [stage NAME] section"}},
		"generate not last":      {pipelineText, "[route chat]", "[stage rank]\nkind = rerank\npool = a/b\n[route chat]", []string{"[stage write] kind: a generate stage must be the last"}},
		"generate without model": {pipelineText, "model = dossier-8b\ntokens = 512\n", "", []string{"[service] model: missing", "[service] tokens: missing"}},
		"lookup without path":    {pipelineText, "path = /parts\n", "", []string{"[stage find] path: missing"}},
		"timeout above deadline": {pipelineText, "timeout = 1s", "timeout = 13s", []string{"[stage find] timeout: 13s is longer than the deadline 12s"}},
		"no route":               {pipelineText, "[route chat]\nmethod = POST\npath = /v1/chat/completions\nrepeatable = true", "", []string{"no [route NAME] section"}},
		"several faults":         {plainText, "deadline = 6s\nweight = 0.9", "deadline = 6\nweight = 2\ncolour = red", []string{"[service] deadline", "[service] weight", "[service] colour"}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			text := strings.Replace(test.base, test.old, test.new, 1)
			c.Assert(text, qt.Not(qt.Equals), test.base)
			_, err := document.Parse("entries-api", []byte(text))
			var faults *document.ParseError
			c.Assert(errors.As(err, &faults), qt.IsTrue, qt.Commentf("%v", err))
			for _, want := range test.want {
				c.Check(err.Error(), qt.Contains, want)
			}
			if name == "several faults" {
				c.Check(faults.Faults, qt.HasLen, 3)
			}
		})
	}
}

// Guards against a parser that drops or mixes up values of a valid document.
func TestParse(t *testing.T) {
	c := qt.New(t)
	service, err := document.Parse("entries-api", []byte(plainText))
	c.Assert(err, qt.IsNil)
	pool := document.PoolRef{
		Service: "entries-api",
		Pool:    "servers",
	}
	c.Check(service, qt.DeepEquals, &document.Service{
		Name:             "entries-api",
		Team:             "entries",
		Kind:             document.Plain,
		Deadline:         6 * time.Second,
		AttainmentWeight: 0.9,
		Shares: map[ident.OrganisationID]float64{
			"large": 4,
		},
		Routes: []document.Route{
			{
				Name:       "read",
				Method:     "GET",
				Path:       "/standing",
				Repeatable: true,
				Pool:       pool,
				MaxBody:    document.DefaultMaxBody,
			},
			{
				Name:          "enter",
				Method:        "POST",
				Path:          "/entries",
				IdentityField: "submission",
				Pool:          pool,
				MaxBody:       64 << 10,
			},
		},
	})
	service, err = document.Parse("engine-room", []byte(pipelineText))
	c.Assert(err, qt.IsNil)
	c.Check(service.Stages, qt.HasLen, 2)
	c.Check(service.Stages[0].Name, qt.Equals, ident.StageName("find"))
	c.Check(service.Stages[1].Kind, qt.Equals, document.Generate)
	_, err = document.Parse("Entries", []byte(plainText))
	c.Check(err, qt.ErrorMatches, `(?s).*service name "Entries".*`)
}

// Guards against example documents that operators cannot apply.
func TestParseExamples(t *testing.T) {
	c := qt.New(t)
	paths, err := filepath.Glob("../examples/*/*.ini")
	c.Assert(err, qt.IsNil)
	c.Assert(paths, qt.HasLen, 10)
	for _, path := range paths {
		text, err := os.ReadFile(path)
		c.Assert(err, qt.IsNil)
		service, err := document.Parse(ident.ServiceName(strings.TrimSuffix(filepath.Base(path), ".ini")), text)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", path))
		high := service.AttainmentWeight > 0.5
		c.Check(high, qt.Equals, strings.Contains(path, "franchise"), qt.Commentf("%s", path))
	}
}

// Guards against a panic on arbitrary text.
func FuzzParse(f *testing.F) {
	f.Add(plainText)
	f.Add(pipelineText)
	f.Fuzz(func(t *testing.T, text string) {
		service, err := document.Parse("x", []byte(text))
		if (service == nil) == (err == nil) {
			t.Fatalf("service %v, error %v", service, err)
		}
	})
}
