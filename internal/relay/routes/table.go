package routes

import (
	"net"
	"strings"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Table is a published version of the routing table. It is immutable and safe for
// concurrent use.
type Table struct {
	Version        Version
	Limits         Limits
	routes         []*Route // in the order of the table
	byHost         map[string][]*Route
	services       map[ident.ServiceName]*Service
	organisations  []*Organisation // in the order of the table; nil if it states nothing about them
	byKey          map[Key]*Organisation
	lowestPriority int // priority of the least urgent organisation
	weights        map[ident.OrganisationID]float64
}

// New returns a table of the given parts, which the caller must not modify afterwards. A
// table whose list of organisations is nil states nothing about them.
func New(version Version, limits Limits, routes []*Route, services []*Service, organisations []*Organisation) *Table {
	t := &Table{
		Version:       version,
		Limits:        limits,
		routes:        routes,
		byHost:        make(map[string][]*Route),
		services:      make(map[ident.ServiceName]*Service, len(services)),
		organisations: organisations,
		byKey:         make(map[Key]*Organisation),
	}
	for _, route := range routes {
		host := strings.ToLower(route.Host)
		t.byHost[host] = append(t.byHost[host], route)
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for _, organisation := range organisations {
		t.lowestPriority = max(t.lowestPriority, organisation.Priority)
		for _, key := range organisation.Keys {
			if key != "" { // which a request without a key would match
				t.byKey[key] = organisation
			}
		}
	}
	t.weights = weights(organisations, t.lowestPriority)
	return t
}

// Match returns the route of the host name with the longest prefix of the path, or nil
// if there is none. The host may include a port.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Routes returns the routes in the order of the table; the caller must not modify the slice.
func (t *Table) Routes() []*Route {
	return t.routes
}

// Organisations returns the organisations in the order of the table; the caller must not
// modify the slice.
func (t *Table) Organisations() []*Organisation {
	return t.organisations
}

// Organisation returns the organisation that a key belongs to, or nil.
func (t *Table) Organisation(key Key) *Organisation {
	return t.byKey[key]
}

// Rank returns the rank of a request; lower ranks are more urgent. It is the priority of
// the route, minus the difference in priority between the least urgent organisation and
// the request's organisation. Without an organisation, or if it has no priority, the
// rank is the priority of the route.
func (t *Table) Rank(route *Route, organisation *Organisation) int {
	if organisation == nil || !organisation.HasPriority {
		return route.Priority
	}
	return route.Priority + organisation.Priority - t.lowestPriority
}

// Service returns the service with a name, or nil.
func (t *Table) Service(name ident.ServiceName) *Service {
	return t.services[name]
}

// Services returns the services by name; the caller must not modify the map.
func (t *Table) Services() map[ident.ServiceName]*Service {
	return t.services
}

// Pick selects a service of the route by the weights of its shares. The sample is
// uniformly distributed in [0, 1).
func (r *Route) Pick(sample float64) ident.ServiceName {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	remaining := sample * total
	for _, share := range r.Shares {
		if remaining < share.Weight {
			return share.Service
		}
		remaining -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}
