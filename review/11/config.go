//go:build review

package main

// streamRoute returns a route of resumable streams, as in curdfair-router.
func streamRoute(stages []any) map[string]any {
	return map[string]any{
		"name": "chat", "hostname": "chat.example", "prefix": "/chat/", "route_kind": "streaming", "service": "pool",
		"timeout_ms": 20000, "slo_ms": 2500, "priority": 0, "max_attempts": 2, "resumable": true, "sticky": true, "itl_target_ms": 600,
		"anonymous": false, "stages": stages,
	}
}

// poolService returns the service of model engines.
func poolService(slots int) map[string]any {
	return map[string]any{"name": "pool", "health_path": "/healthz", "max_conns": 280, "engine": map[string]any{
		"slots": slots, "kv_capacity": 536094, "kv_bytes": 18432, "link_mbps": 370000, "stride": 5,
	}}
}

// boardService returns the service that runs a stage.
func boardService() map[string]any {
	return map[string]any{"name": "board", "health_path": "/healthz", "max_conns": 280, "segments": map[string]any{
		"slots": 1, "queue": 2, "batch": 8, "call_ms": 240, "item_ms": 26, "headroom_mb": 9.6, "handle_ttl_s": 4, "link_mbps": 10000,
	}}
}

// plainRoute returns a route to a plain service.
func plainRoute(name, routeKind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": "api.example", "prefix": "/" + name + "/", "route_kind": routeKind, "service": service,
		"timeout_ms": 2000, "slo_ms": 300, "priority": 2, "max_attempts": attempts, "resumable": false, "sticky": false, "anonymous": false, "stages": []any{},
	}
}
