package tablecheck

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

// Compare returns how a table differs from the one in force, which may be nil. A version that
// is not higher than the one in force is an error, since hosts ignore it.
func Compare(inForce, table *routes.Table) []Finding {
	if inForce == nil {
		return nil
	}
	c := &checker{
		table: table,
	}
	if table.Version <= inForce.Version {
		c.add(Error, "version", "%d is not higher than %d, which is in force; hosts ignore it", table.Version, inForce.Version)
	}
	c.compareFields("limits", reflect.ValueOf(inForce.Limits), reflect.ValueOf(table.Limits))
	compareEntries(c, "route", routesByName(inForce), routesByName(table))
	compareEntries(c, "service", inForce.Services(), table.Services())
	c.compareOrganisations(organisationsByName(inForce), organisationsByName(table))
	return c.findings
}

func routesByName(table *routes.Table) map[string]*routes.Route {
	byName := make(map[string]*routes.Route)
	for _, route := range table.Routes() {
		byName[route.Name] = route
	}
	return byName
}

func organisationsByName(table *routes.Table) map[string]*routes.Organisation {
	byName := make(map[string]*routes.Organisation)
	for _, organisation := range table.Organisations() {
		byName[string(organisation.Name)] = organisation
	}
	return byName
}

// sortedNames returns the keys of a map in order.
func sortedNames[K cmp.Ordered, V any](entries map[K]V) []K {
	return slices.Sorted(maps.Keys(entries))
}

// compareEntries reports the entries that were added, removed or changed.
func compareEntries[K ~string, V any](c *checker, kind string, before, after map[K]*V) {
	for _, name := range sortedNames(before) {
		if after[name] == nil {
			c.add(Change, fmt.Sprintf("%s %q", kind, name), "is removed")
		}
	}
	for _, name := range sortedNames(after) {
		subject := fmt.Sprintf("%s %q", kind, name)
		if before[name] == nil {
			c.add(Change, subject, "is added")
			continue
		}
		c.compareFields(subject, reflect.ValueOf(*before[name]), reflect.ValueOf(*after[name]))
	}
}

// compareFields reports the fields of two values of a struct type that differ.
func (c *checker) compareFields(subject string, before, after reflect.Value) {
	for i := range before.NumField() {
		old, current := indirect(before.Field(i)), indirect(after.Field(i))
		if !reflect.DeepEqual(old, current) {
			c.add(Change, subject, "%s was %v and is %v", before.Type().Field(i).Name, describe(old), describe(current))
		}
	}
}

// indirect returns the value of a field, or what it points to.
func indirect(field reflect.Value) any {
	if field.Kind() == reflect.Pointer {
		if field.IsNil() {
			return nil
		}
		return field.Elem().Interface()
	}
	return field.Interface()
}

func describe(value any) any {
	if value == nil {
		return "none"
	}
	return value
}

// compareOrganisations reports the organisations that were added, removed or changed. It
// counts keys, which are secret, and does not show them.
func (c *checker) compareOrganisations(before, after map[string]*routes.Organisation) {
	for _, name := range sortedNames(before) {
		if after[name] == nil {
			c.add(Change, fmt.Sprintf("organisation %q", name), "is removed, its %d keys are revoked", len(before[name].Keys))
		}
	}
	for _, name := range sortedNames(after) {
		subject := fmt.Sprintf("organisation %q", name)
		old, current := before[name], after[name]
		if old == nil {
			c.add(Change, subject, "is added with %d keys", len(current.Keys))
			continue
		}
		added, revoked := countMissing(current.Keys, old.Keys), countMissing(old.Keys, current.Keys)
		if added+revoked > 0 {
			c.add(Change, subject, "%d keys are added, %d are revoked", added, revoked)
		}
		if old.Priority != current.Priority || old.HasPriority != current.HasPriority {
			c.add(Change, subject, "its priority was %d and is %d", old.Priority, current.Priority)
		}
	}
}

// countMissing returns the number of keys that are not in others.
func countMissing(keys, others []routes.Key) int {
	count := 0
	for _, key := range keys {
		if !slices.Contains(others, key) {
			count++
		}
	}
	return count
}
