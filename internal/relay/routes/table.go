package routes

import (
	"net"
	"strings"
	"sync/atomic"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Table is one published version of the routing.
type Table struct {
	Version       Version
	Limits        Limits
	routes        map[string][]*Route // by host name
	services      map[ident.ServiceName]*Service
	organisations map[Key]*Organisation
	lowest        int // priority of the least urgent organisation
}

// New returns a table of the given parts, which the caller must not change.
func New(version Version, limits Limits, all []*Route, services []*Service, organisations []*Organisation) *Table {
	t := &Table{
		Version:       version,
		Limits:        limits,
		routes:        make(map[string][]*Route),
		services:      make(map[ident.ServiceName]*Service, len(services)),
		organisations: make(map[Key]*Organisation),
	}
	for _, route := range all {
		host := strings.ToLower(route.Host)
		t.routes[host] = append(t.routes[host], route)
	}
	for _, service := range services {
		t.services[service.Name] = service
	}
	for _, organisation := range organisations {
		t.lowest = max(t.lowest, organisation.Priority)
		for _, key := range organisation.Keys {
			t.organisations[key] = organisation
		}
	}
	return t
}

// Match returns the route of the host name with the longest prefix that begins
// the path, or nil.
func (t *Table) Match(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	var best *Route
	for _, route := range t.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) && (best == nil || len(route.Prefix) > len(best.Prefix)) {
			best = route
		}
	}
	return best
}

// Admit returns the organisation that holds a key, or nil.
func (t *Table) Admit(key Key) *Organisation {
	return t.organisations[key]
}

// Restricted reports whether any organisation is known, so that requests need a key.
func (t *Table) Restricted() bool {
	return len(t.organisations) > 0
}

// Rank returns the urgency of a request: that of its route, raised by as much as
// its organisation is more urgent than the least urgent one. Lower ranks are
// more urgent.
func (t *Table) Rank(route *Route, organisation *Organisation) int {
	if organisation == nil || !organisation.Ranked {
		return route.Priority
	}
	return route.Priority + organisation.Priority - t.lowest
}

// Service returns a service, or nil.
func (t *Table) Service(name ident.ServiceName) *Service {
	return t.services[name]
}

// Services returns the services by name; the caller must not change the map.
func (t *Table) Services() map[ident.ServiceName]*Service {
	return t.services
}

// Pick returns the service that runs a request, by the weights of the route's
// shares; at is uniform in [0, 1).
func (r *Route) Pick(at float64) ident.ServiceName {
	total := 0.0
	for _, share := range r.Shares {
		total += share.Weight
	}
	rest := at * total
	for _, share := range r.Shares {
		if rest < share.Weight {
			return share.Service
		}
		rest -= share.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Holder gives the table in force.
type Holder struct {
	table atomic.Pointer[Table]
}

// Table returns the table in force, or nil before the first one.
func (h *Holder) Table() *Table {
	return h.table.Load()
}

// Offer puts a table into force if it is newer than the one in force, and
// reports whether it did.
func (h *Holder) Offer(table *Table) bool {
	for {
		held := h.table.Load()
		if held != nil && held.Version >= table.Version {
			return false
		}
		if h.table.CompareAndSwap(held, table) {
			return true
		}
	}
}
