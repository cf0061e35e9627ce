package system

import (
	"encoding/json"
	"time"

	"github.com/nutmegshift/nutmegshift/platform"
)

// tableVersion is a published routing table.
type tableVersion struct {
	writeStart time.Time // just before the table was written to the store
	acked      time.Time // when the store had acknowledged the write; zero before
	extra      bool      // has the extra route
	second     bool      // has the second organisation and its API key
	revoked    bool      // no organisation has an API key
}

// accepts reports whether a key is in the table.
func (v tableVersion) accepts(key string) bool {
	return !v.revoked && (key == "first" || v.second)
}

// publishTable publishes a copy of the latest routing table that is changed by edit.
func (c *soakCluster) publishTable(edit func(v *tableVersion)) {
	c.publishMu.Lock()
	defer c.publishMu.Unlock()
	next := tableVersion{}
	c.mu.Lock()
	number := len(c.versions)
	if number > 0 {
		next = c.versions[number-1]
	}
	edit(&next)
	next.writeStart, next.acked = time.Now(), time.Time{}
	c.versions = append(c.versions, next)
	c.mu.Unlock()
	value, err := json.Marshal(routingTable(1+3*number, next))
	if err != nil {
		c.fail("encode routing table: %v", err)
		return
	}
	c.put(platform.Keys.Table, value)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.versions[number].acked = time.Now()
}

type jsonObject = map[string]any

// routingTable returns the stored form of a routing table.
func routingTable(number int, version tableVersion) jsonObject {
	route := func(name, kind string, overrides jsonObject) jsonObject {
		r := jsonObject{
			"name": name, "hostname": "a.example", "prefix": "/" + name + "/", "route_kind": kind,
			"timeout_ms": 4000, "slo_ms": 1500, "service": "entries", "max_attempts": 2,
		}
		for key, value := range overrides {
			r[key] = value
		}
		return r
	}
	routes := []jsonObject{
		route("submit", "unsafe", jsonObject{"max_attempts": 1}),
		route("lookup", "safe", nil),
		route("chat", "streaming", jsonObject{
			"service": "pool", "sticky": true, "resumable": true, "itl_target_ms": 600,
			"stages": []jsonObject{{"service": "board", "after": []int{}, "bytes": 1000}},
		}),
	}
	if version.extra {
		routes = append(routes, route("extra", "safe", nil))
	}
	keys := []string{"first"}
	if version.revoked {
		keys = []string{}
	}
	tenants := []jsonObject{{"name": "lakeshore", "api_keys": keys}}
	if version.second && !version.revoked {
		tenants = append(tenants, jsonObject{"name": "rindworks", "api_keys": []string{"second"}})
	}
	return jsonObject{
		"version": number,
		"routes":  routes,
		"services": []jsonObject{
			{"name": "entries", "max_conns": 100},
			{"name": "pool", "max_conns": 100, "engine": jsonObject{"slots": 50}},
			{"name": "board", "max_conns": 100, "segments": jsonObject{"slots": 4, "queue": 4, "batch": 8, "call_ms": 50, "item_ms": 1, "headroom_mb": 10, "handle_ttl_s": 4}},
		},
		"limits":  jsonObject{"max_header_bytes": 16384, "max_body_bytes": 100000, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": tenants,
	}
}
