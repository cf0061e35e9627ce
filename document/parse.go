package document

import (
	"bytes"
	"fmt"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"

	"gopkg.in/ini.v1"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Limits of a document.
const (
	MaxTextBytes = 64 << 10 // bytes of one text
	// MaxDeadline stays below the shutdown timeout of 30 s, so that a graceful
	// shutdown never interrupts a request within its deadline.
	MaxDeadline    = 25 * time.Second
	DefaultMaxBody = 1 << 20 // bytes, for routes without body
	MaxMaxBody     = 8 << 20 // bytes
	maxStages      = 16
	maxTokens      = 1 << 20
)

var (
	nameSyntax   = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	organisation = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelSyntax  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	headerSyntax = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,62}$`)
	fieldSyntax  = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,62}$`)
	pathSyntax   = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
	sizeSyntax   = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB)$`)
	methods      = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}
	bodyMethods  = []string{"POST", "PUT", "PATCH"}
	stageKinds   = []string{string(Encode), string(Retrieve), string(Rerank), string(Generate), string(Lookup)}
	serviceKinds = []string{string(Pipeline), string(Plain)}
)

// Fault is one reason why a text is not a valid document.
type Fault struct {
	Section string // empty for a fault of the whole text
	Key     string // empty for a fault of the section
	Problem string
}

// String returns the fault as "[section] key: problem".
func (f Fault) String() string {
	switch {
	case f.Section == "":
		return f.Problem
	case f.Key == "":
		return fmt.Sprintf("[%s]: %s", f.Section, f.Problem)
	default:
		return fmt.Sprintf("[%s] %s: %s", f.Section, f.Key, f.Problem)
	}
}

// ParseError lists every fault of a text.
type ParseError struct {
	Service ident.ServiceName
	Faults  []Fault
}

// Error implements error with one fault per line.
func (e *ParseError) Error() string {
	lines := make([]string, 0, len(e.Faults)+1)
	lines = append(lines, fmt.Sprintf("document %q is not valid", e.Service))
	for _, fault := range e.Faults {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n  ")
}

// parser collects faults while it reads a text.
type parser struct {
	faults []Fault
}

// section reads the keys of one section; keys left over at the end are unknown.
type section struct {
	parser *parser
	name   string
	values map[string]string
}

// Parse checks a text and returns the service it describes, or a *ParseError with all faults.
func Parse(name ident.ServiceName, text []byte) (*Service, error) {
	p := &parser{}
	service := p.service(name, text)
	if len(p.faults) > 0 {
		return nil, &ParseError{
			Service: name,
			Faults:  p.faults,
		}
	}
	return service, nil
}

func (p *parser) fault(section, key, format string, args ...any) {
	p.faults = append(p.faults, Fault{
		Section: section,
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

func (p *parser) service(name ident.ServiceName, text []byte) *Service {
	if !nameSyntax.MatchString(string(name)) {
		p.fault("", "", "service name %q is not lower-case letters, digits and hyphens", name)
	}
	if len(text) > MaxTextBytes {
		p.fault("", "", "text has %d bytes, limit is %d", len(text), MaxTextBytes)
		return nil
	}
	if !printable(text) {
		p.fault("", "", "text is not UTF-8 or has control characters")
		return nil
	}
	p.lines(text)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SkipUnrecognizableLines:    true, // reported by lines
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		p.fault("", "", "%v", err)
		return nil
	}
	return p.sections(name, file)
}

// lines reports what the INI library would skip or read as something else.
func (p *parser) lines(text []byte) {
	within := ""
	for i, raw := range bytes.Split(text, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			head, rest, closed := strings.Cut(line[1:], "]")
			rest = strings.TrimSpace(rest)
			if !closed || strings.TrimSpace(head) == "" || (rest != "" && rest[0] != '#' && rest[0] != ';') {
				p.fault("", "", "line %d: not a section header: %s", i+1, line)
				continue
			}
			within = head
			if head == ini.DefaultSection {
				p.fault(head, "", "unknown section")
			}
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		value = strings.TrimSpace(value)
		switch {
		case !ok || strings.TrimSpace(key) == "":
			p.fault(within, "", "line %d: not a key and value: %s", i+1, line)
		case strings.ContainsAny(line, "`\""):
			p.fault(within, strings.TrimSpace(key), "line %d: quotes are not allowed", i+1)
		case within == "":
			p.fault("", "", "line %d: key %q precedes the first section", i+1, strings.TrimSpace(key))
		case value == "":
			p.fault(within, strings.TrimSpace(key), "value is empty")
		}
	}
}

func (p *parser) sections(name ident.ServiceName, file *ini.File) *Service {
	service := &Service{
		Name:   name,
		Shares: make(map[ident.OrganisationID]float64),
	}
	seen := make(map[string]bool)
	var main, shares *section
	var stages, routes []*section
	for _, found := range file.Sections() {
		title := found.Name()
		if title == ini.DefaultSection {
			continue
		}
		if seen[title] {
			p.fault(title, "", "section appears twice")
		}
		seen[title] = true
		s := p.section(found)
		kind, label, labelled := strings.Cut(title, " ")
		switch {
		case title == "service":
			main = s
		case title == "shares":
			shares = s
		case labelled && kind == "stage" && nameSyntax.MatchString(label):
			stages = append(stages, s)
		case labelled && kind == "route" && nameSyntax.MatchString(label):
			routes = append(routes, s)
		case kind == "stage" || kind == "route":
			p.fault(title, "", "name must be lower-case letters, digits and hyphens")
		default:
			p.fault(title, "", "unknown section")
		}
	}
	if main == nil {
		p.fault("service", "", "section is missing")
		main = &section{
			parser: p,
			name:   "service",
		}
	}
	p.main(service, main)
	if shares != nil {
		p.shares(service, shares)
	}
	for _, s := range stages {
		p.stage(service, s)
	}
	for _, s := range routes {
		p.route(service, s)
	}
	p.whole(service, main)
	return service
}

func (p *parser) section(found *ini.Section) *section {
	s := &section{
		parser: p,
		name:   found.Name(),
		values: make(map[string]string),
	}
	for _, key := range found.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			p.fault(s.name, key.Name(), "key appears more than once")
		}
		s.values[key.Name()] = key.Value()
	}
	return s
}

func (p *parser) main(service *Service, s *section) {
	service.Team = ident.TeamName(s.match("team", nameSyntax, true))
	service.Kind = Kind(s.choice("kind", serviceKinds))
	service.Deadline = s.duration("deadline", MaxDeadline, true)
	service.AttainmentWeight = s.number("weight", 1, true)
	service.CrossCost = s.number("crossing", math.MaxInt32, false)
	service.Model = ident.ModelName(s.match("model", modelSyntax, false))
	service.MaxTokens = s.integer("tokens", maxTokens)
	s.done()
}

func (p *parser) shares(service *Service, s *section) {
	for _, key := range s.keys() {
		if !organisation.MatchString(key) {
			p.fault(s.name, key, "not an organisation name")
		}
		share := s.number(key, 1000, true)
		if share == 0 {
			p.fault(s.name, key, "share must be above 0")
		}
		service.Shares[ident.OrganisationID(key)] = share
	}
}

func (p *parser) stage(service *Service, s *section) {
	_, label, _ := strings.Cut(s.name, " ")
	stage := Stage{
		Name:    ident.StageName(label),
		Kind:    StageKind(s.choice("kind", stageKinds)),
		Pool:    s.pool("pool", true),
		Path:    s.match("path", pathSyntax, false),
		Timeout: s.duration("timeout", MaxDeadline, false),
		Cost:    s.number("cost", math.MaxInt32, false),
	}
	if stage.Kind == Lookup && stage.Path == "" {
		p.fault(s.name, "path", "missing, a lookup stage has no path of its own")
	}
	if stage.Timeout > service.Deadline && service.Deadline > 0 {
		p.fault(s.name, "timeout", "%v is longer than the deadline %v", stage.Timeout, service.Deadline)
	}
	s.done()
	service.Stages = append(service.Stages, stage)
}

func (p *parser) route(service *Service, s *section) {
	_, label, _ := strings.Cut(s.name, " ")
	route := Route{
		Name:    label,
		Method:  s.choice("method", methods),
		Path:    s.match("path", pathSyntax, true),
		MaxBody: s.size("body", MaxMaxBody, DefaultMaxBody),
	}
	route.IdentityHeader, route.IdentityField = s.source("identity")
	route.OrganisationHeader, route.OrganisationField = s.source("organisation")
	repeatable := s.choice("repeatable", []string{"true", "false"})
	route.Repeatable = repeatable == "true"
	identity := route.IdentityHeader != "" || route.IdentityField != ""
	switch {
	case repeatable == "false" && !identity:
		s.require("identity", false, "a route that is not repeatable")
	case repeatable == "true" && identity:
		p.fault(s.name, "repeatable", "contradicts the identity, which only a route that is not repeatable has")
	}
	if route.Method != "" && !slices.Contains(bodyMethods, route.Method) {
		if route.IdentityField != "" {
			p.fault(s.name, "identity", "contradicts method %s, which has no body", route.Method)
		}
		if route.OrganisationField != "" {
			p.fault(s.name, "organisation", "contradicts method %s, which has no body", route.Method)
		}
	}
	if service.Kind == Pipeline {
		if _, ok := s.values["pool"]; ok {
			p.fault(s.name, "pool", "contradicts kind pipeline, whose stages name the pools")
			delete(s.values, "pool")
		}
	} else {
		route.Pool = s.pool("pool", service.Kind == Plain)
	}
	s.done()
	for _, other := range service.Routes {
		if other.Method == route.Method && other.Path == route.Path && route.Path != "" {
			p.fault(s.name, "path", "%s %s is already route %q", route.Method, route.Path, other.Name)
		}
	}
	service.Routes = append(service.Routes, route)
}

// whole checks what concerns several sections.
func (p *parser) whole(service *Service, s *section) {
	if len(service.Routes) == 0 {
		p.fault("service", "", "no [route NAME] section")
	}
	if len(service.Stages) > maxStages {
		p.fault("service", "", "%d stages, limit is %d", len(service.Stages), maxStages)
	}
	generates := 0
	for i, stage := range service.Stages {
		if stage.Kind != Generate {
			continue
		}
		generates++
		if i != len(service.Stages)-1 {
			p.fault("stage "+string(stage.Name), "kind", "a generate stage must be the last stage")
		}
	}
	switch {
	case service.Kind == Pipeline && len(service.Stages) == 0:
		p.fault("service", "kind", "a pipeline needs a [stage NAME] section")
	case service.Kind == Plain && len(service.Stages) > 0:
		p.fault("service", "kind", "plain contradicts the [stage NAME] sections")
	}
	if generates > 0 {
		s.require("model", service.Model != "", "a generate stage")
		s.require("tokens", service.MaxTokens > 0, "a generate stage")
		return
	}
	if service.Model != "" {
		p.fault("service", "model", "contradicts the stages, none of which generates")
	}
	if service.MaxTokens != 0 {
		p.fault("service", "tokens", "contradicts the stages, none of which generates")
	}
}

// require reports a missing key unless a fault of that key is known.
func (s *section) require(key string, present bool, reason string) {
	for _, fault := range s.parser.faults {
		if fault.Section == s.name && fault.Key == key {
			return
		}
	}
	if !present {
		s.parser.fault(s.name, key, "missing, required by %s", reason)
	}
}

func (s *section) fault(key, format string, args ...any) {
	s.parser.fault(s.name, key, format, args...)
}

func (s *section) keys() []string {
	keys := make([]string, 0, len(s.values))
	for key := range s.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// done reports the keys that nothing has taken.
func (s *section) done() {
	for _, key := range s.keys() {
		s.fault(key, "unknown key")
	}
}

func (s *section) take(key string, required bool) (string, bool) {
	value, ok := s.values[key]
	delete(s.values, key)
	if !ok && required {
		s.fault(key, "missing")
	}
	return value, ok && value != "" // lines reports empty values
}

func (s *section) match(key string, syntax *regexp.Regexp, required bool) string {
	value, ok := s.take(key, required)
	if ok && !syntax.MatchString(value) {
		s.fault(key, "%q does not match %s", value, syntax)
		return ""
	}
	return value
}

// source reads where a value of a request comes from: "header:NAME" or "field:NAME".
func (s *section) source(key string) (header, field string) {
	value, ok := s.take(key, false)
	if !ok {
		return "", ""
	}
	kind, name, _ := strings.Cut(value, ":")
	switch {
	case kind == "header" && headerSyntax.MatchString(name):
		return name, ""
	case kind == "field" && fieldSyntax.MatchString(name):
		return "", name
	default:
		s.fault(key, "%q is not header:NAME or field:NAME", value)
		return "", ""
	}
}

func (s *section) choice(key string, allowed []string) string {
	value, ok := s.take(key, true)
	if ok && !slices.Contains(allowed, value) {
		s.fault(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
		return ""
	}
	return value
}

func (s *section) duration(key string, limit time.Duration, required bool) time.Duration {
	value, ok := s.take(key, required)
	if !ok {
		return 0
	}
	length, err := time.ParseDuration(value)
	if err != nil {
		s.fault(key, "%q is not a duration with a unit, such as 12s or 300ms", value)
		return 0
	}
	if length < time.Millisecond || length > limit {
		s.fault(key, "%v is not between 1ms and %v", length, limit)
		return 0
	}
	return length
}

func (s *section) number(key string, high float64, required bool) float64 {
	value, ok := s.take(key, required)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		s.fault(key, "%q is not a number without a unit", value)
		return 0
	}
	if number < 0 || number > high {
		s.fault(key, "%v is not between 0 and %v", number, high)
		return 0
	}
	return number
}

func (s *section) integer(key string, high int) int {
	value, ok := s.take(key, false)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		s.fault(key, "%q is not a whole number without a unit", value)
		return 0
	}
	if number < 1 || number > high {
		s.fault(key, "%d is not between 1 and %d", number, high)
		return 0
	}
	return number
}

func (s *section) size(key string, limit, standard int64) int64 {
	value, ok := s.take(key, false)
	if !ok {
		return standard
	}
	parts := sizeSyntax.FindStringSubmatch(value)
	if parts == nil {
		s.fault(key, "%q is not a size in B, KiB or MiB", value)
		return standard
	}
	size, _ := strconv.ParseInt(parts[1], 10, 64) // nine digits at most
	switch parts[2] {
	case "KiB":
		size <<= 10
	case "MiB":
		size <<= 20
	}
	if size < 1 || size > limit {
		s.fault(key, "%s is not between 1B and %dMiB", value, limit>>20)
		return standard
	}
	return size
}

func (s *section) pool(key string, required bool) PoolRef {
	value, ok := s.take(key, required)
	if !ok {
		return PoolRef{}
	}
	service, pool, found := strings.Cut(value, "/")
	if !found || !nameSyntax.MatchString(service) || !nameSyntax.MatchString(pool) {
		s.fault(key, "%q is not SERVICE/POOL", value)
		return PoolRef{}
	}
	return PoolRef{
		Service: ident.ServiceName(service),
		Pool:    ident.PoolName(pool),
	}
}

func printable(text []byte) bool {
	if !utf8.Valid(text) {
		return false
	}
	for _, r := range string(text) {
		if unicode.IsControl(r) && r != '\n' && r != '\t' && r != '\r' {
			return false
		}
	}
	return true
}
