package settings

import (
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Relay holds the checked settings of one host that forwards requests according
// to the operators' routing table.
type Relay struct {
	Host         ident.HostID
	Domain       ident.FailureDomain
	Region       ident.Region
	Regions      map[ident.FailureDomain]ident.Region // of all failure domains; may be empty
	Callers      ident.Address                        // port for callers
	Ready        ident.Address                        // port at which the load balancer checks readiness
	Peers        ident.Address                        // port for other hosts
	Advertise    ident.Address                        // address at which other hosts reach the port for peers
	Seeds        []ident.Address                      // addresses of other hosts' peer ports; may be out of date
	Metrics      ident.Address
	Processor    float64       // cores of this host; 0.5 is half a core
	Memory       float64       // memory of this host, in megabytes
	Descriptors  int64         // file descriptors that this host has
	Store        ident.Address // key-value service
	StoreTimeout time.Duration // of a single call to the store
	Lease        time.Duration // time after which the list of hosts in the store expires without renewal
	Renewal      time.Duration // time between two renewals of an upstream's entry in the store
	Apply        time.Duration // time within which a new routing table must be in force
	RetryShare   float64       // calls to upstreams that are retries, as a share of the requests to a service
	Allowance    float64       // retries per Window that all hosts together may make on top of RetryShare
	Window       time.Duration // over which retries are counted
	HedgeShare   float64       // requests sent to a second upstream because the first one is slow, as a share of the requests; 0 means none
	Pause        time.Duration // longest time for which an upstream may ask this host for no requests
	Grace        time.Duration // longest graceful shutdown
	Level        string        // lowest level that is logged
	LogRate      int64         // log lines per second that are written
}

var relaySettings = []setting[Relay]{
	{
		section: "host",
		key:     "name",
		unit:    "name",
		help:    "name of this host",
		set:     func(s *Relay, v string) error { return setName(&s.Host, v) },
	},
	{
		section: "host",
		key:     "domain",
		unit:    "name",
		help:    "failure domain of this host",
		set:     func(s *Relay, v string) error { return setName(&s.Domain, v) },
	},
	{
		section: "host",
		key:     "region",
		unit:    "name",
		help:    "region of this host",
		set:     func(s *Relay, v string) error { return setName(&s.Region, v) },
	},
	{
		section:      "host",
		key:          "regions",
		unit:         "domain:region,...",
		defaultValue: "none",
		help:         "region of each failure domain, for routes and organisations that are bound to regions",
		set:          func(s *Relay, v string) error { return setRegions(&s.Regions, v) },
	},
	{
		section: "host",
		key:     "callers",
		unit:    "ip:port",
		help:    "address for callers",
		set:     func(s *Relay, v string) error { return setAddress(&s.Callers, v) },
	},
	{
		section: "host",
		key:     "ready",
		unit:    "ip:port",
		help:    "address at which the load balancer asks for readiness",
		set:     func(s *Relay, v string) error { return setAddress(&s.Ready, v) },
	},
	{
		section: "host",
		key:     "peers",
		unit:    "ip:port",
		help:    "address for other hosts",
		set:     func(s *Relay, v string) error { return setAddress(&s.Peers, v) },
	},
	{
		section:  "host",
		key:      "advertise",
		unit:     "ip:port",
		inherits: "peers",
		help:     "address that other hosts connect to, if a forwarder is in between",
		set:      func(s *Relay, v string) error { return setAddress(&s.Advertise, v) },
	},
	{
		section:      "host",
		key:          "seeds",
		unit:         "ip:port,...",
		defaultValue: "none",
		help:         "peer ports of other hosts, for a start without the store",
		set:          func(s *Relay, v string) error { return setAddresses(&s.Seeds, v) },
	},
	{
		section: "host",
		key:     "metrics",
		unit:    "ip:port",
		help:    "address of the metrics",
		set:     func(s *Relay, v string) error { return setAddress(&s.Metrics, v) },
	},
	{
		section:      "host",
		key:          "processor",
		unit:         "cores",
		defaultValue: "1",
		help:         "share of a core that this host has",
		set:          func(s *Relay, v string) error { return setFloat(&s.Processor, v) },
	},
	{
		section:      "host",
		key:          "memory",
		unit:         "megabytes",
		defaultValue: "256",
		help:         "memory that this host has; a quarter of it is for requests and responses, an eighth for callers' connections",
		set:          func(s *Relay, v string) error { return setFloat(&s.Memory, v) },
	},
	{
		section:      "host",
		key:          "files",
		unit:         "count",
		defaultValue: "4096",
		help:         "file descriptors that this host has; half of them are for callers' connections",
		set:          func(s *Relay, v string) error { return setInt(&s.Descriptors, v) },
	},
	{
		section: "store",
		key:     "address",
		unit:    "ip:port",
		help:    "address of the key-value service",
		set:     func(s *Relay, v string) error { return setAddress(&s.Store, v) },
	},
	{
		section:      "store",
		key:          "call",
		unit:         "duration",
		defaultValue: "1s",
		help:         "longest single call of the key-value service",
		set:          func(s *Relay, v string) error { return setDuration(&s.StoreTimeout, v) },
	},
	{
		section:      "store",
		key:          "lease",
		unit:         "duration",
		defaultValue: "1m",
		help:         "life of the list of hosts in the store without renewal",
		set:          func(s *Relay, v string) error { return setDuration(&s.Lease, v) },
	},
	{
		section:      "store",
		key:          "renewal",
		unit:         "duration",
		defaultValue: "1200ms",
		help:         "time between two renewals of an upstream's entry",
		set:          func(s *Relay, v string) error { return setDuration(&s.Renewal, v) },
	},
	{
		section:      "store",
		key:          "apply",
		unit:         "duration",
		defaultValue: "2s",
		help:         "time in which a routing table has to be in force",
		set:          func(s *Relay, v string) error { return setDuration(&s.Apply, v) },
	},
	{
		section:      "repeats",
		key:          "share",
		unit:         "ratio",
		defaultValue: "0.2",
		help:         "calls that repeat a request, as a share of the requests to a service",
		set:          func(s *Relay, v string) error { return setFloat(&s.RetryShare, v) },
	},
	{
		section:      "repeats",
		key:          "allowance",
		unit:         "count",
		defaultValue: "40",
		help:         "repeats that all hosts may make beside that share in a window",
		set:          func(s *Relay, v string) error { return setFloat(&s.Allowance, v) },
	},
	{
		section:      "repeats",
		key:          "window",
		unit:         "duration",
		defaultValue: "10s",
		help:         "time over which repeats are counted",
		set:          func(s *Relay, v string) error { return setDuration(&s.Window, v) },
	},
	{
		section:      "repeats",
		key:          "hedges",
		unit:         "ratio",
		defaultValue: "0",
		help:         "requests that are sent to a second upstream because the first one is slow, as a share of the requests",
		set:          func(s *Relay, v string) error { return setRatio(&s.HedgeShare, v) },
	},
	{
		section:      "upstreams",
		key:          "pause",
		unit:         "duration",
		defaultValue: "2m",
		help:         "longest time for which an upstream may ask for no requests",
		set:          func(s *Relay, v string) error { return setDuration(&s.Pause, v) },
	},
	{
		section:      "stop",
		key:          "grace",
		unit:         "duration",
		defaultValue: "8s",
		help:         "longest graceful shutdown",
		set:          func(s *Relay, v string) error { return setDuration(&s.Grace, v) },
	},
	{
		section:      "log",
		key:          "level",
		unit:         "debug|info|warn|error",
		defaultValue: "info",
		help:         "lowest level that is logged",
		set:          func(s *Relay, v string) error { return setLevel(&s.Level, v) },
	},
	{
		section:      "log",
		key:          "lines",
		unit:         "per second",
		defaultValue: "200",
		help:         "log lines that are written; more are counted and dropped",
		set:          func(s *Relay, v string) error { return setInt(&s.LogRate, v) },
	},
}

// ParseRelay checks the content of the relay's settings file called name. If it
// is invalid, the error is ErrInvalid, annotated with every fault.
func ParseRelay(name string, content []byte) (*Relay, error) {
	return parse(name, content, relaySettings, func(s *Relay) []string {
		return duplicateAddresses("host", []portSetting{
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
	return help(relaySettings)
}

// setAddresses parses a comma-separated list; "none" is the empty list.
func setAddresses(to *[]ident.Address, value string) error {
	*to = nil
	if value == "none" {
		return nil
	}
	for field := range strings.SplitSeq(value, ",") {
		var parsed ident.Address
		if err := setAddress(&parsed, strings.TrimSpace(field)); err != nil {
			return err
		}
		*to = append(*to, parsed)
	}
	return nil
}

// setRatio parses a number from 0 to 1.
func setRatio(to *float64, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed >= 0 && parsed <= 1) {
		return errors.New("expected a number from 0 to 1")
	}
	*to = parsed
	return nil
}

// setRegions parses a comma-separated list of failure domains with their regions; "none" is
// the empty list, and empty parts are ignored.
func setRegions(to *map[ident.FailureDomain]ident.Region, value string) error {
	*to = make(map[ident.FailureDomain]ident.Region)
	if value == "none" {
		return nil
	}
	for field := range strings.SplitSeq(value, ",") {
		field = strings.TrimSpace(field)
		if field == "" {
			continue
		}
		name, text, _ := strings.Cut(field, ":")
		var domain ident.FailureDomain
		if err := setName(&domain, name); err != nil {
			return err
		}
		var region ident.Region
		if err := setName(&region, text); err != nil {
			return err
		}
		(*to)[domain] = region
	}
	return nil
}
