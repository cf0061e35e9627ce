//go:build review

package review

// Config is the operator's configuration.
type Config struct {
	Version  int       `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
	Tenants  []Tenant  `json:"tenants"`
}

// Route is a route of the configuration.
type Route struct {
	Name        string  `json:"name"`
	Hostname    string  `json:"hostname"`
	Prefix      string  `json:"prefix"`
	RouteKind   string  `json:"route_kind"`
	TimeoutMS   int     `json:"timeout_ms"`
	SLOMS       int     `json:"slo_ms"`
	Priority    int     `json:"priority"`
	Service     string  `json:"service"`
	MaxAttempts int     `json:"max_attempts"`
	Stages      []Stage `json:"stages"`
	Anonymous   bool    `json:"anonymous"`
	Sticky      bool    `json:"sticky"`
	Resumable   bool    `json:"resumable"`
	ITLTargetMS int     `json:"itl_target_ms"`
}

// Stage is a stage of a route.
type Stage struct {
	Service string `json:"service"`
	After   []int  `json:"after"`
	Bytes   int    `json:"bytes"`
}

// Service is a service of the configuration.
type Service struct {
	Name       string    `json:"name"`
	HealthPath string    `json:"health_path"`
	MaxConns   int       `json:"max_conns"`
	Protocol   string    `json:"protocol"`
	Segments   *Segments `json:"segments,omitempty"`
}

// Segments are the limits of an upstream that runs stages.
type Segments struct {
	Slots      int     `json:"slots"`
	Queue      int     `json:"queue"`
	Batch      int     `json:"batch"`
	CallMS     float64 `json:"call_ms"`
	ItemMS     float64 `json:"item_ms"`
	HeadroomMB float64 `json:"headroom_mb"`
	HandleTTLS float64 `json:"handle_ttl_s"`
	LinkMbps   int     `json:"link_mbps"`
}

// Limits bound what callers send.
type Limits struct {
	MaxHeaderBytes  int `json:"max_header_bytes"`
	MaxBodyBytes    int `json:"max_body_bytes"`
	HeaderTimeoutMS int `json:"header_timeout_ms"`
	IdleTimeoutMS   int `json:"idle_timeout_ms"`
}

// Tenant is an organisation with its keys.
type Tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
}

// PlainRoute returns a route to a service without stages, as in the site files.
func PlainRoute(name, prefix, kind, service string, attempts int) Route {
	return Route{
		Name:        name,
		Hostname:    "fair.example",
		Prefix:      prefix,
		RouteKind:   kind,
		TimeoutMS:   2000,
		SLOMS:       300,
		Priority:    2,
		Service:     service,
		MaxAttempts: attempts,
		Stages:      []Stage{},
		ITLTargetMS: 600,
	}
}

// PlainService returns a service without stages, as in the site files.
func PlainService(name string) Service {
	return Service{
		Name:       name,
		HealthPath: "/healthz",
		MaxConns:   52,
		Protocol:   "h1",
	}
}
