package tablecheck

import (
	"fmt"
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/batch"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

// Severity says what a finding means for whoever publishes the table.
type Severity string

// The severities of findings.
const (
	// Error is the severity of a finding by which requests fail.
	Error Severity = "error"
	// Warning is the severity of an entry that has no effect, or of limits that cannot be
	// met.
	Warning Severity = "warning"
	// Change is the severity of a difference from the table in force.
	Change Severity = "change"
)

// Finding is one remark on a table.
type Finding struct {
	Severity Severity
	Subject  string // entry of the table, such as: route "chat"
	Message  string
}

// String returns the finding as a line of text.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Severity, f.Subject, f.Message)
}

// checker collects the findings on a table.
type checker struct {
	table    *routes.Table
	findings []Finding
}

// Check returns the findings on a table, in the order of its entries.
func Check(table *routes.Table) []Finding {
	c := &checker{
		table: table,
	}
	c.checkLimits(table.Limits)
	used := make(map[ident.ServiceName]bool)
	matched := make(map[string]string) // name of the route by host and prefix
	names := make(map[string]bool)
	for _, route := range table.Routes() {
		subject := fmt.Sprintf("route %q", route.Name)
		if names[route.Name] {
			c.add(Warning, subject, "another route has the same name, so logs and metrics do not tell them apart")
		}
		names[route.Name] = true
		c.checkMatch(subject, route, matched)
		c.checkServices(subject, route, used)
		c.checkRoute(subject, route)
	}
	c.checkServiceLimits(used)
	c.checkOrganisations()
	return c.findings
}

func (c *checker) add(severity Severity, subject, format string, args ...any) {
	c.findings = append(c.findings, Finding{
		Severity: severity,
		Subject:  subject,
		Message:  fmt.Sprintf(format, args...),
	})
}

func (c *checker) checkLimits(limits routes.Limits) {
	const subject = "limits"
	switch {
	case limits.Header <= 0:
		c.add(Error, subject, "no size of a header is stated")
	case limits.Header > callerhttp.MaxHeader:
		c.add(Error, subject, "headers of %d bytes are allowed, hosts reject those over %d", limits.Header, callerhttp.MaxHeader)
	}
	if limits.Body <= 0 {
		c.add(Error, subject, "no size of a body is stated, every body is rejected")
	}
	if limits.IdleTimeout > 0 && limits.IdleTimeout < limits.HeaderTimeout {
		c.add(Warning, subject, "connections may be idle for %s, less than a header may take (%s)", limits.IdleTimeout, limits.HeaderTimeout)
	}
}

// checkMatch reports a route that no request can match.
func (c *checker) checkMatch(subject string, route *routes.Route, matched map[string]string) {
	if route.Host == "" {
		c.add(Error, subject, "has no host name, no request matches it")
	}
	if !strings.HasPrefix(route.Prefix, "/") {
		c.add(Error, subject, "prefix %q does not begin with a slash, no request matches it", route.Prefix)
	} else if !strings.HasSuffix(route.Prefix, "/") {
		c.add(Warning, subject, "prefix %q does not end with a slash, and also matches longer names", route.Prefix)
	}
	key := strings.ToLower(route.Host) + " " + route.Prefix
	if first, ok := matched[key]; ok {
		c.add(Error, subject, "never matches, route %q has the same host name and prefix", first)
		return
	}
	matched[key] = route.Name
}

// checkServices reports references to services that requests cannot use.
func (c *checker) checkServices(subject string, route *routes.Route, used map[ident.ServiceName]bool) {
	total := 0.0
	for _, share := range route.Shares {
		total += share.Weight
		used[share.Service] = true
		switch {
		case c.table.Service(share.Service) == nil:
			c.add(Error, subject, "service %q does not exist", share.Service)
		case share.Weight < 0:
			c.add(Error, subject, "service %q has the negative weight %g", share.Service, share.Weight)
		case share.Weight == 0:
			c.add(Warning, subject, "service %q has no weight and gets no requests", share.Service)
		}
	}
	if total <= 0 {
		c.add(Error, subject, "the weights of its services add up to %g", total)
	}
	for i, stage := range route.Stages {
		used[stage.Service] = true
		service := c.table.Service(stage.Service)
		switch {
		case service == nil:
			c.add(Error, subject, "service %q of stage %d does not exist", stage.Service, i)
		case service.Batch == nil:
			c.add(Error, subject, "service %q of stage %d does not run stages", stage.Service, i)
		case stage.Bytes > service.Batch.Capacity:
			c.add(Error, subject, "a result of stage %d has %d bytes, an upstream of %q holds %d", i, stage.Bytes, stage.Service, service.Batch.Capacity)
		}
	}
}

// checkRoute reports limits of a route that contradict each other.
func (c *checker) checkRoute(subject string, route *routes.Route) {
	if route.Timeout <= 0 {
		c.add(Error, subject, "has no time-out, its requests end at once unless callers state a deadline")
	}
	if route.Objective > route.Timeout {
		c.add(Warning, subject, "the objective of %s is longer than the time-out of %s", route.Objective, route.Timeout)
	}
	if !route.Idempotent() && route.Attempts > 1 {
		c.add(Warning, subject, "%d attempts have no effect, its requests run at most once", route.Attempts)
	}
	if route.Resumable && route.Kind != routes.Stream {
		c.add(Warning, subject, "only streams can be resumed")
	}
	least := c.leastTime(route)
	switch {
	case least == 0:
	case route.Timeout > 0 && least > route.Timeout:
		c.add(Error, subject, "its stages and the first event take %s without any load, the time-out is %s", least, route.Timeout)
	case least > route.Objective:
		c.add(Warning, subject, "its stages and the first event take %s without any load, the objective is %s", least, route.Objective)
	}
}

// leastTime returns the least time that a request with all stages takes until its first
// event; 0 if it has no stages.
func (c *checker) leastTime(route *routes.Route) time.Duration {
	if len(route.Stages) == 0 {
		return 0
	}
	var stages []batch.Stage
	for _, stage := range route.Stages {
		stages = append(stages, batch.Stage{
			Service: stage.Service,
			After:   stage.After,
			Pieces:  1,
		})
	}
	return batch.UnloadedTime(c.table, stages) + batch.FirstEventTime
}

// checkServiceLimits reports limits of services that contradict each other, and services
// that no route uses.
func (c *checker) checkServiceLimits(used map[ident.ServiceName]bool) {
	for _, name := range sortedNames(c.table.Services()) {
		service := c.table.Service(name)
		subject := fmt.Sprintf("service %q", name)
		if !used[name] {
			c.add(Warning, subject, "no route uses it")
		}
		if service.Engine != nil && service.Connections > 0 && service.Connections < service.Engine.Slots {
			c.add(Warning, subject, "an upstream runs %d requests at a time and accepts %d connections", service.Engine.Slots, service.Connections)
		}
		if b := service.Batch; b != nil && b.Retention > 0 && b.Retention < b.CallTime {
			c.add(Error, subject, "results expire after %s, a call takes %s", b.Retention, b.CallTime)
		}
	}
}

// checkOrganisations reports keys that are ambiguous and organisations that nobody can use.
func (c *checker) checkOrganisations() {
	owners := make(map[routes.Key]ident.OrganisationID)
	for _, organisation := range c.table.Organisations() {
		subject := fmt.Sprintf("organisation %q", organisation.Name)
		if len(organisation.Keys) == 0 {
			c.add(Warning, subject, "has no key, its requests are rejected")
		}
		for _, key := range organisation.Keys {
			if key == "" {
				c.add(Error, subject, "has an empty key, which is never accepted")
				continue
			}
			if other, ok := owners[key]; ok && other != organisation.Name {
				c.add(Error, subject, "has a key that organisation %q has as well", other)
			}
			owners[key] = organisation.Name
		}
	}
}
