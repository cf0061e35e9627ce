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
	DefaultMaxBody = 1 << 20 // bytes, for routes without a body key
	MaxMaxBody     = 8 << 20 // bytes, the largest value of a body key
	maxStages      = 16
	maxTokens      = 1 << 20
)

var (
	nameSyntax         = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	organisationSyntax = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)
	modelSyntax        = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$`)
	headerSyntax       = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9-]{0,62}$`)
	fieldSyntax        = regexp.MustCompile(`^[A-Za-z_][A-Za-z0-9_]{0,62}$`)
	pathSyntax         = regexp.MustCompile(`^(/[A-Za-z0-9._~-]+)+$`)
	sizeSyntax         = regexp.MustCompile(`^([0-9]{1,9})(B|KiB|MiB)$`)
	methods            = []string{"GET", "POST", "PUT", "PATCH", "DELETE"}
	bodyMethods        = []string{"POST", "PUT", "PATCH"}
	stageKinds         = []string{string(Encode), string(Retrieve), string(Rerank), string(Generate), string(Lookup)}
	serviceKinds       = []string{string(Pipeline), string(Plain)}
)

// Fault is one problem that makes a text an invalid document.
type Fault struct {
	Section string // empty if the fault concerns the whole text
	Key     string // empty if the fault concerns the whole section
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

// ParseError lists all faults of a text.
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

// section reads the keys of one section of the text. Each key that is read is
// removed from values, so the keys that remain are unknown.
type section struct {
	parser *parser
	name   string
	values map[string]string
}

// Parse validates a text and returns the service that it describes, or a
// *ParseError with all faults.
func Parse(name ident.ServiceName, text []byte) (*Service, error) {
	p := &parser{}
	service := p.parseText(name, text)
	if len(p.faults) > 0 {
		return nil, &ParseError{
			Service: name,
			Faults:  p.faults,
		}
	}
	return service, nil
}

func (p *parser) faultf(section, key, format string, args ...any) {
	p.faults = append(p.faults, Fault{
		Section: section,
		Key:     key,
		Problem: fmt.Sprintf(format, args...),
	})
}

func (p *parser) parseText(name ident.ServiceName, text []byte) *Service {
	if !nameSyntax.MatchString(string(name)) {
		p.faultf("", "", "service name %q is not lower-case letters, digits and hyphens", name)
	}
	if len(text) > MaxTextBytes {
		p.faultf("", "", "text has %d bytes, limit is %d", len(text), MaxTextBytes)
		return nil
	}
	if !isPrintable(text) {
		p.faultf("", "", "text is not UTF-8 or has control characters")
		return nil
	}
	p.checkLines(text)
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:         true,
		SkipUnrecognizableLines:    true, // reported by checkLines
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		AllowNonUniqueSections:     true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
	}, text)
	if err != nil {
		p.faultf("", "", "%v", err)
		return nil
	}
	return p.parseSections(name, file)
}

// checkLines reports lines that the INI library would skip or misread.
func (p *parser) checkLines(text []byte) {
	sectionName := ""
	for i, raw := range bytes.Split(text, []byte("\n")) {
		line := strings.TrimSpace(string(raw))
		if line == "" || line[0] == '#' || line[0] == ';' {
			continue
		}
		if line[0] == '[' {
			head, rest, closed := strings.Cut(line[1:], "]")
			rest = strings.TrimSpace(rest)
			if !closed || strings.TrimSpace(head) == "" || (rest != "" && rest[0] != '#' && rest[0] != ';') {
				p.faultf("", "", "line %d: not a section header: %s", i+1, line)
				continue
			}
			sectionName = head
			if head == ini.DefaultSection {
				p.faultf(head, "", "unknown section")
			}
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		value = strings.TrimSpace(value)
		switch {
		case !ok || strings.TrimSpace(key) == "":
			p.faultf(sectionName, "", "line %d: not a key and value: %s", i+1, line)
		case strings.ContainsAny(line, "`\""):
			p.faultf(sectionName, strings.TrimSpace(key), "line %d: quotes are not allowed", i+1)
		case sectionName == "":
			p.faultf("", "", "line %d: key %q precedes the first section", i+1, strings.TrimSpace(key))
		case value == "":
			p.faultf(sectionName, strings.TrimSpace(key), "value is empty")
		}
	}
}

func (p *parser) parseSections(name ident.ServiceName, file *ini.File) *Service {
	service := &Service{
		Name:   name,
		Shares: make(map[ident.OrganisationID]float64),
	}
	seen := make(map[string]bool)
	var serviceSection, shares *section
	var stages, routes []*section
	for _, iniSection := range file.Sections() {
		title := iniSection.Name()
		if title == ini.DefaultSection {
			continue
		}
		if seen[title] {
			p.faultf(title, "", "section appears twice")
		}
		seen[title] = true
		s := p.newSection(iniSection)
		kind, label, labelled := strings.Cut(title, " ")
		switch {
		case title == "service":
			serviceSection = s
		case title == "shares":
			shares = s
		case labelled && kind == "stage" && nameSyntax.MatchString(label):
			stages = append(stages, s)
		case labelled && kind == "route" && nameSyntax.MatchString(label):
			routes = append(routes, s)
		case kind == "stage" || kind == "route":
			p.faultf(title, "", "name must be lower-case letters, digits and hyphens")
		default:
			p.faultf(title, "", "unknown section")
		}
	}
	if serviceSection == nil {
		p.faultf("service", "", "section is missing")
		serviceSection = &section{
			parser: p,
			name:   "service",
		}
	}
	p.parseService(service, serviceSection)
	if shares != nil {
		p.parseShares(service, shares)
	}
	for _, s := range stages {
		p.parseStage(service, s)
	}
	for _, s := range routes {
		p.parseRoute(service, s)
	}
	p.checkService(service, serviceSection)
	return service
}

func (p *parser) newSection(iniSection *ini.Section) *section {
	s := &section{
		parser: p,
		name:   iniSection.Name(),
		values: make(map[string]string),
	}
	for _, key := range iniSection.Keys() {
		if len(key.ValueWithShadows()) > 1 {
			p.faultf(s.name, key.Name(), "key appears more than once")
		}
		s.values[key.Name()] = key.Value()
	}
	return s
}

func (p *parser) parseService(service *Service, s *section) {
	service.Team = ident.TeamName(s.match("team", nameSyntax, true))
	service.Kind = Kind(s.choice("kind", serviceKinds))
	service.Deadline = s.duration("deadline", MaxDeadline, true)
	service.AttainmentWeight = s.number("weight", 1, true)
	service.CrossCost = s.number("crossing", math.MaxInt32, false)
	service.Model = ident.ModelName(s.match("model", modelSyntax, false))
	service.MaxTokens = s.integer("tokens", maxTokens)
	s.reportUnknownKeys()
}

func (p *parser) parseShares(service *Service, s *section) {
	for _, key := range s.keys() {
		if !organisationSyntax.MatchString(key) {
			p.faultf(s.name, key, "not an organisation name")
		}
		share := s.number(key, 1000, true)
		if share == 0 {
			p.faultf(s.name, key, "share must be above 0")
		}
		service.Shares[ident.OrganisationID(key)] = share
	}
}

func (p *parser) parseStage(service *Service, s *section) {
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
		p.faultf(s.name, "path", "missing, a lookup stage has no path of its own")
	}
	if stage.Timeout > service.Deadline && service.Deadline > 0 {
		p.faultf(s.name, "timeout", "%v is longer than the deadline %v", stage.Timeout, service.Deadline)
	}
	s.reportUnknownKeys()
	service.Stages = append(service.Stages, stage)
}

func (p *parser) parseRoute(service *Service, s *section) {
	_, label, _ := strings.Cut(s.name, " ")
	route := Route{
		Name:    label,
		Method:  s.choice("method", methods),
		Path:    s.match("path", pathSyntax, true),
		MaxBody: s.size("body", MaxMaxBody, DefaultMaxBody),
	}
	route.IdentityHeader, route.IdentityField = s.valueSource("identity")
	route.OrganisationHeader, route.OrganisationField = s.valueSource("organisation")
	repeatable := s.choice("repeatable", []string{"true", "false"})
	route.Repeatable = repeatable == "true"
	identity := route.IdentityHeader != "" || route.IdentityField != ""
	switch {
	case repeatable == "false" && !identity:
		s.require("identity", false, "a route that is not repeatable")
	case repeatable == "true" && identity:
		p.faultf(s.name, "repeatable", "contradicts the identity, which only a route that is not repeatable has")
	}
	if route.Method != "" && !slices.Contains(bodyMethods, route.Method) {
		if route.IdentityField != "" {
			p.faultf(s.name, "identity", "contradicts method %s, which has no body", route.Method)
		}
		if route.OrganisationField != "" {
			p.faultf(s.name, "organisation", "contradicts method %s, which has no body", route.Method)
		}
	}
	if service.Kind == Pipeline {
		if _, ok := s.values["pool"]; ok {
			p.faultf(s.name, "pool", "contradicts kind pipeline, whose stages name the pools")
			delete(s.values, "pool")
		}
	} else {
		route.Pool = s.pool("pool", service.Kind == Plain)
	}
	s.reportUnknownKeys()
	for _, other := range service.Routes {
		if other.Method == route.Method && other.Path == route.Path && route.Path != "" {
			p.faultf(s.name, "path", "%s %s is already route %q", route.Method, route.Path, other.Name)
		}
	}
	service.Routes = append(service.Routes, route)
}

// checkService reports faults that concern several sections. The section s is
// [service].
func (p *parser) checkService(service *Service, s *section) {
	if len(service.Routes) == 0 {
		p.faultf("service", "", "no [route NAME] section")
	}
	if len(service.Stages) > maxStages {
		p.faultf("service", "", "%d stages, limit is %d", len(service.Stages), maxStages)
	}
	generateStages := 0
	for i, stage := range service.Stages {
		if stage.Kind != Generate {
			continue
		}
		generateStages++
		if i != len(service.Stages)-1 {
			p.faultf("stage "+string(stage.Name), "kind", "a generate stage must be the last stage")
		}
	}
	switch {
	case service.Kind == Pipeline && len(service.Stages) == 0:
		p.faultf("service", "kind", "a pipeline needs a [stage NAME] section")
	case service.Kind == Plain && len(service.Stages) > 0:
		p.faultf("service", "kind", "plain contradicts the [stage NAME] sections")
	}
	if generateStages > 0 {
		s.require("model", service.Model != "", "a generate stage")
		s.require("tokens", service.MaxTokens > 0, "a generate stage")
		return
	}
	if service.Model != "" {
		p.faultf("service", "model", "contradicts the stages, none of which generates")
	}
	if service.MaxTokens != 0 {
		p.faultf("service", "tokens", "contradicts the stages, none of which generates")
	}
}

// require reports that the key is missing unless it is present or already has a
// fault.
func (s *section) require(key string, present bool, reason string) {
	for _, fault := range s.parser.faults {
		if fault.Section == s.name && fault.Key == key {
			return
		}
	}
	if !present {
		s.parser.faultf(s.name, key, "missing, required by %s", reason)
	}
}

func (s *section) faultf(key, format string, args ...any) {
	s.parser.faultf(s.name, key, format, args...)
}

func (s *section) keys() []string {
	keys := make([]string, 0, len(s.values))
	for key := range s.values {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// reportUnknownKeys reports the keys that have not been taken.
func (s *section) reportUnknownKeys() {
	for _, key := range s.keys() {
		s.faultf(key, "unknown key")
	}
}

// take removes a key and returns its value, and whether it is not empty.
func (s *section) take(key string, required bool) (string, bool) {
	value, ok := s.values[key]
	delete(s.values, key)
	if !ok && required {
		s.faultf(key, "missing")
	}
	return value, ok && value != "" // checkLines reports empty values
}

func (s *section) match(key string, syntax *regexp.Regexp, required bool) string {
	value, ok := s.take(key, required)
	if ok && !syntax.MatchString(value) {
		s.faultf(key, "%q does not match %s", value, syntax)
		return ""
	}
	return value
}

// valueSource reads the part of a request that a value comes from: "header:NAME"
// or "field:NAME" of a JSON body.
func (s *section) valueSource(key string) (header, field string) {
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
		s.faultf(key, "%q is not header:NAME or field:NAME", value)
		return "", ""
	}
}

func (s *section) choice(key string, allowed []string) string {
	value, ok := s.take(key, true)
	if ok && !slices.Contains(allowed, value) {
		s.faultf(key, "%q is not one of %s", value, strings.Join(allowed, ", "))
		return ""
	}
	return value
}

func (s *section) duration(key string, limit time.Duration, required bool) time.Duration {
	value, ok := s.take(key, required)
	if !ok {
		return 0
	}
	duration, err := time.ParseDuration(value)
	if err != nil {
		s.faultf(key, "%q is not a duration with a unit, such as 12s or 300ms", value)
		return 0
	}
	if duration < time.Millisecond || duration > limit {
		s.faultf(key, "%v is not between 1ms and %v", duration, limit)
		return 0
	}
	return duration
}

func (s *section) number(key string, limit float64, required bool) float64 {
	value, ok := s.take(key, required)
	if !ok {
		return 0
	}
	number, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(number) {
		s.faultf(key, "%q is not a number without a unit", value)
		return 0
	}
	if number < 0 || number > limit {
		s.faultf(key, "%v is not between 0 and %v", number, limit)
		return 0
	}
	return number
}

func (s *section) integer(key string, limit int) int {
	value, ok := s.take(key, false)
	if !ok {
		return 0
	}
	number, err := strconv.Atoi(value)
	if err != nil {
		s.faultf(key, "%q is not a whole number without a unit", value)
		return 0
	}
	if number < 1 || number > limit {
		s.faultf(key, "%d is not between 1 and %d", number, limit)
		return 0
	}
	return number
}

func (s *section) size(key string, limit, defaultSize int64) int64 {
	value, ok := s.take(key, false)
	if !ok {
		return defaultSize
	}
	parts := sizeSyntax.FindStringSubmatch(value)
	if parts == nil {
		s.faultf(key, "%q is not a size in B, KiB or MiB", value)
		return defaultSize
	}
	size, _ := strconv.ParseInt(parts[1], 10, 64) // cannot fail: sizeSyntax allows nine digits at most
	switch parts[2] {
	case "KiB":
		size <<= 10
	case "MiB":
		size <<= 20
	}
	if size < 1 || size > limit {
		s.faultf(key, "%s is not between 1B and %dMiB", value, limit>>20)
		return defaultSize
	}
	return size
}

func (s *section) pool(key string, required bool) PoolRef {
	value, ok := s.take(key, required)
	if !ok {
		return PoolRef{}
	}
	service, pool, hasPool := strings.Cut(value, "/")
	if !hasPool || !nameSyntax.MatchString(service) || !nameSyntax.MatchString(pool) {
		s.faultf(key, "%q is not SERVICE/POOL", value)
		return PoolRef{}
	}
	return PoolRef{
		Service: ident.ServiceName(service),
		Pool:    ident.PoolName(pool),
	}
}

func isPrintable(text []byte) bool {
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
