package routes_test

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/routes"
)

func table(version routes.Version, all ...*routes.Route) *routes.Table {
	return routes.New(version, routes.Limits{}, all, nil, nil)
}

func route(name, host, prefix string) *routes.Route {
	return &routes.Route{
		Name:   name,
		Host:   host,
		Prefix: prefix,
	}
}

// Guards against a request that is matched to the route of another host name or of a
// shorter prefix.
func TestMatch(t *testing.T) {
	held := table(1,
		route("short", "a.example", "/x/"),
		route("long", "a.example", "/x/y/"),
		route("other host", "b.example", "/x/"),
	)
	tests := map[string]struct {
		host string
		path string
		want string // empty: no route
	}{
		"longest prefix":       {host: "a.example", path: "/x/y/z", want: "long"},
		"shorter prefix":       {host: "a.example", path: "/x/yz", want: "short"},
		"host with a port":     {host: "b.example:8080", path: "/x/1", want: "other host"},
		"host in upper case":   {host: "A.Example", path: "/x/1", want: "short"},
		"prefix without slash": {host: "a.example", path: "/x"},
		"unknown host":         {host: "c.example", path: "/x/"},
		"escaped slash":        {host: "a.example", path: "/x%2Fy/", want: ""},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			found := held.Match(test.host, test.path)
			if test.want == "" {
				qt.Assert(t, found, qt.IsNil)
				return
			}
			qt.Assert(t, found, qt.IsNotNil)
			qt.Assert(t, found.Name, qt.Equals, test.want)
		})
	}
}

// Guards against a split of requests between services that differs from their weights.
func TestPick(t *testing.T) {
	c := qt.New(t)
	r := &routes.Route{
		Shares: []routes.Share{
			{
				Service: "a",
				Weight:  90,
			},
			{
				Service: "b",
				Weight:  10,
			},
		},
	}
	counts := make(map[ident.ServiceName]int)
	for i := range 1000 {
		counts[r.Pick(float64(i)/1000)]++
	}
	c.Assert(counts, qt.DeepEquals, map[ident.ServiceName]int{"a": 900, "b": 100})
}

// Guards against a host that returns to an older table when tables arrive out of order.
func TestHolderKeepsNewest(t *testing.T) {
	c := qt.New(t)
	var holder routes.Holder
	c.Assert(holder.Table(), qt.IsNil)
	var offers sync.WaitGroup
	for version := routes.Version(1); version <= 100; version++ {
		offers.Go(func() { holder.Offer(table(version)) })
	}
	offers.Wait()
	c.Assert(holder.Table().Version, qt.Equals, routes.Version(100))
	c.Assert(holder.Offer(table(99)), qt.IsFalse)
	c.Assert(holder.Offer(table(100)), qt.IsFalse)
	c.Assert(holder.Table().Version, qt.Equals, routes.Version(100))
}

// Guards against a table that lets requests without a valid key pass because its
// organisations have no keys left, or because the last organisation has been removed, and
// against one that asks for keys although there never were organisations.
func TestRequiresKey(t *testing.T) {
	organised := routes.New(1, routes.Limits{}, nil, nil, []*routes.Organisation{{
		Name: "a",
	}})
	tests := map[string]struct {
		before        *routes.Table // offered earlier
		recorded      bool          // another host has seen organisations
		organisations []*routes.Organisation
		want          bool
	}{
		"no organisations":                  {},
		"empty list":                        {organisations: []*routes.Organisation{}},
		"empty list after organisations":    {before: organised, organisations: []*routes.Organisation{}, want: true},
		"empty list, organisations earlier": {recorded: true, organisations: []*routes.Organisation{}, want: true},
		"no list after organisations":       {before: organised},
		"organisation with a key": {
			organisations: []*routes.Organisation{{
				Name: "a",
				Keys: []routes.Key{"k"},
			}},
			want: true,
		},
		"organisation without keys": {
			organisations: []*routes.Organisation{{
				Name: "a",
			}},
			want: true,
		},
		"organisation with an empty key": {
			organisations: []*routes.Organisation{{
				Name: "a",
				Keys: []routes.Key{""},
			}},
			want: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			var holder routes.Holder
			if test.before != nil {
				holder.Offer(test.before)
			}
			if test.recorded {
				holder.RecordOrganised()
			}
			held := routes.New(2, routes.Limits{}, nil, nil, test.organisations)
			holder.Offer(held)
			c.Check(holder.RequiresKey(held), qt.Equals, test.want)
			c.Check(held.Organisation(""), qt.IsNil)
		})
	}
}

// Guards against a rank that lets requests of an urgent organisation be refused before
// those of others.
func TestRank(t *testing.T) {
	urgent := &routes.Organisation{
		Name:        "urgent",
		Keys:        []routes.Key{"u"},
		HasPriority: true,
	}
	regular := &routes.Organisation{
		Name:        "regular",
		Keys:        []routes.Key{"v"},
		Priority:    1,
		HasPriority: true,
	}
	held := routes.New(1, routes.Limits{}, nil, nil, []*routes.Organisation{urgent, regular})
	r := &routes.Route{
		Priority: 2,
	}
	tests := map[string]struct {
		organisation *routes.Organisation
		want         int
	}{
		"urgent organisation":           {organisation: urgent, want: 1},
		"regular organisation":          {organisation: regular, want: 2},
		"organisation without priority": {organisation: &routes.Organisation{}, want: 2},
		"public route":                  {want: 2},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			qt.Assert(t, held.Rank(r, test.organisation), qt.Equals, test.want)
		})
	}
}

// Guards against weights that contradict the priorities, and against shares among the
// organisations of a table that has none or one.
func TestWeight(t *testing.T) {
	tests := map[string]struct {
		priorities []int // of the organisations "a" and "b"; -1 for none
		a, b       float64
	}{
		"no organisations": {},
		"one organisation": {priorities: []int{1}},
		"no priorities":    {priorities: []int{-1, -1}, a: 1, b: 1},
		"one priority":     {priorities: []int{2, -1}, a: 1, b: 1},
		"different":        {priorities: []int{1, 3}, a: 4, b: 1},
		"very different":   {priorities: []int{0, 60}, a: 16, b: 1},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var organisations []*routes.Organisation
			for i, priority := range test.priorities {
				organisations = append(organisations, &routes.Organisation{
					Name:        []ident.OrganisationID{"a", "b"}[i],
					Priority:    priority,
					HasPriority: priority >= 0,
				})
			}
			held := routes.New(1, routes.Limits{}, nil, nil, organisations)
			qt.Check(t, []float64{held.Weight("a"), held.Weight("b"), held.Weight("")}, qt.DeepEquals, []float64{test.a, test.b, 0})
		})
	}
}
