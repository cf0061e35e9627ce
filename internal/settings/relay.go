package settings

import (
	"strings"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Relay are the checked settings of one host that forwards requests by the
// operators' routing table.
type Relay struct {
	Host      ident.HostID
	Domain    ident.FailureDomain
	Region    ident.Region
	Callers   ident.Address
	Ready     ident.Address
	Peers     ident.Address
	Advertise ident.Address   // that other hosts connect to
	Seeds     []ident.Address // peer ports of other hosts, which may be stale
	Metrics   ident.Address
	Processor float64 // share of a core
	Memory    float64 // megabytes
	Store     ident.Address
	Call      time.Duration // longest single call of the store
	Lease     time.Duration // life of this host's entry in the store without renewal
	Renewal   time.Duration // between renewals of an upstream's entry in the store
	Apply     time.Duration // time in which a routing table has to be in force
	Repeats   float64       // repeats of calls to upstreams, as a share of the requests
	Allowance float64       // repeats that all hosts may make beside that share, in a window
	Window    time.Duration
	Grace     time.Duration // longest graceful shutdown
	Level     string
	Lines     int64 // log lines a second
}

var relayRows = []row[Relay]{
	{
		section: "host",
		key:     "name",
		unit:    "name",
		help:    "name of this host",
		set:     func(s *Relay, v string) error { return text(&s.Host, v) },
	},
	{
		section: "host",
		key:     "domain",
		unit:    "name",
		help:    "failure domain of this host",
		set:     func(s *Relay, v string) error { return text(&s.Domain, v) },
	},
	{
		section: "host",
		key:     "region",
		unit:    "name",
		help:    "region of this host",
		set:     func(s *Relay, v string) error { return text(&s.Region, v) },
	},
	{
		section: "host",
		key:     "callers",
		unit:    "ip:port",
		help:    "address for callers",
		set:     func(s *Relay, v string) error { return address(&s.Callers, v) },
	},
	{
		section: "host",
		key:     "ready",
		unit:    "ip:port",
		help:    "address at which the load balancer asks for readiness",
		set:     func(s *Relay, v string) error { return address(&s.Ready, v) },
	},
	{
		section: "host",
		key:     "peers",
		unit:    "ip:port",
		help:    "address for other hosts",
		set:     func(s *Relay, v string) error { return address(&s.Peers, v) },
	},
	{
		section:  "host",
		key:      "advertise",
		unit:     "ip:port",
		inherits: "peers",
		help:     "address that other hosts connect to, if a forwarder is in between",
		set:      func(s *Relay, v string) error { return address(&s.Advertise, v) },
	},
	{
		section:  "host",
		key:      "seeds",
		unit:     "ip:port,...",
		fallback: "none",
		help:     "peer ports of other hosts, for a start without the store",
		set:      func(s *Relay, v string) error { return addresses(&s.Seeds, v) },
	},
	{
		section: "host",
		key:     "metrics",
		unit:    "ip:port",
		help:    "address of the metrics",
		set:     func(s *Relay, v string) error { return address(&s.Metrics, v) },
	},
	{
		section:  "host",
		key:      "processor",
		unit:     "cores",
		fallback: "1",
		help:     "share of a core that this host has",
		set:      func(s *Relay, v string) error { return frequency(&s.Processor, v) },
	},
	{
		section:  "host",
		key:      "memory",
		unit:     "megabytes",
		fallback: "256",
		help:     "memory that this host has",
		set:      func(s *Relay, v string) error { return frequency(&s.Memory, v) },
	},
	{
		section: "store",
		key:     "address",
		unit:    "ip:port",
		help:    "address of the key-value service",
		set:     func(s *Relay, v string) error { return address(&s.Store, v) },
	},
	{
		section:  "store",
		key:      "call",
		unit:     "duration",
		fallback: "1s",
		help:     "longest single call of the key-value service",
		set:      func(s *Relay, v string) error { return duration(&s.Call, v) },
	},
	{
		section:  "store",
		key:      "lease",
		unit:     "duration",
		fallback: "1m",
		help:     "life of this host's entry without renewal",
		set:      func(s *Relay, v string) error { return duration(&s.Lease, v) },
	},
	{
		section:  "store",
		key:      "renewal",
		unit:     "duration",
		fallback: "1200ms",
		help:     "time between two renewals of an upstream's entry",
		set:      func(s *Relay, v string) error { return duration(&s.Renewal, v) },
	},
	{
		section:  "store",
		key:      "apply",
		unit:     "duration",
		fallback: "2s",
		help:     "time in which a routing table has to be in force",
		set:      func(s *Relay, v string) error { return duration(&s.Apply, v) },
	},
	{
		section:  "repeats",
		key:      "share",
		unit:     "ratio",
		fallback: "0.2",
		help:     "calls that repeat a request, as a share of the requests to a service",
		set:      func(s *Relay, v string) error { return frequency(&s.Repeats, v) },
	},
	{
		section:  "repeats",
		key:      "allowance",
		unit:     "count",
		fallback: "40",
		help:     "repeats that all hosts may make beside that share in a window",
		set:      func(s *Relay, v string) error { return frequency(&s.Allowance, v) },
	},
	{
		section:  "repeats",
		key:      "window",
		unit:     "duration",
		fallback: "10s",
		help:     "time over which repeats are counted",
		set:      func(s *Relay, v string) error { return duration(&s.Window, v) },
	},
	{
		section:  "stop",
		key:      "grace",
		unit:     "duration",
		fallback: "8s",
		help:     "longest graceful shutdown",
		set:      func(s *Relay, v string) error { return duration(&s.Grace, v) },
	},
	{
		section:  "log",
		key:      "level",
		unit:     "debug|info|warn|error",
		fallback: "info",
		help:     "lowest level that is logged",
		set:      func(s *Relay, v string) error { return level(&s.Level, v) },
	},
	{
		section:  "log",
		key:      "lines",
		unit:     "per second",
		fallback: "200",
		help:     "log lines that are written; more are counted and dropped",
		set:      func(s *Relay, v string) error { return count(&s.Lines, v) },
	},
}

// ParseRelay checks the text of a relay's settings file named name; ErrInvalid
// lists every fault.
func ParseRelay(name string, content []byte) (*Relay, error) {
	return parse(name, content, relayRows, func(s *Relay) []string {
		return shared("host", []listener{
			{
				key:     "callers",
				address: s.Callers,
			},
			{
				key:     "ready",
				address: s.Ready,
			},
			{
				key:     "peers",
				address: s.Peers,
			},
			{
				key:     "metrics",
				address: s.Metrics,
			},
		})
	})
}

// RelayHelp lists every setting of a relay with its unit and default.
func RelayHelp() string {
	return help(relayRows)
}

// addresses reads a list that may be empty or "none".
func addresses(to *[]ident.Address, value string) error {
	*to = nil
	if value == "none" {
		return nil
	}
	for field := range strings.SplitSeq(value, ",") {
		var one ident.Address
		if err := address(&one, strings.TrimSpace(field)); err != nil {
			return err
		}
		*to = append(*to, one)
	}
	return nil
}
