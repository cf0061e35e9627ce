package settings

import (
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"github.com/nutmegshift/nutmegshift/ident"
)

// ErrInvalid reports a settings file that cannot be used; its text lists every fault.
const ErrInvalid = errors.ConstError("settings are invalid")

// Settings are the checked settings of one entry host.
type Settings struct {
	Host     ident.HostID
	Domain   ident.FailureDomain
	Region   ident.Region
	Callers  ident.Address
	Operator ident.Address
	Peers    ident.Address
	// Advertise is the address that other entry hosts connect to.
	Advertise ident.Address
	Store     ident.Address
	Hosts     ident.Address
	Call      time.Duration // longest single call of the store
	Loads     float64       // model loads a second that the weight store admits
	Body      int64         // largest body of a request, bytes
	Header    time.Duration // longest time to receive the head of a request
	Receive   time.Duration // longest time to receive a whole request
	Stop      time.Duration // longest graceful shutdown
	Drain     time.Duration // time between failing readiness and closing the callers' port
	Level     string
	Events    int
}

// row describes one setting; the same rows drive parsing, checks and help.
type row[T any] struct {
	section  string
	key      string
	unit     string
	fallback string // empty means required, unless the row inherits
	inherits string // key of the section whose value applies without an own one
	help     string
	set      func(s *T, value string) error
}

var entryRows = []row[Settings]{
	{
		section: "entry",
		key:     "host",
		unit:    "name",
		help:    "name of this host in the host list",
		set:     func(s *Settings, v string) error { return text(&s.Host, v) },
	},
	{
		section: "entry",
		key:     "domain",
		unit:    "name",
		help:    "failure domain of this host",
		set:     func(s *Settings, v string) error { return text(&s.Domain, v) },
	},
	{
		section: "entry",
		key:     "region",
		unit:    "name",
		help:    "region of this host",
		set:     func(s *Settings, v string) error { return text(&s.Region, v) },
	},
	{
		section: "entry",
		key:     "callers",
		unit:    "ip:port",
		help:    "address for callers",
		set:     func(s *Settings, v string) error { return address(&s.Callers, v) },
	},
	{
		section: "entry",
		key:     "operator",
		unit:    "ip:port",
		help:    "address for operators",
		set:     func(s *Settings, v string) error { return address(&s.Operator, v) },
	},
	{
		section: "entry",
		key:     "peers",
		unit:    "ip:port",
		help:    "address for other entry hosts",
		set:     func(s *Settings, v string) error { return address(&s.Peers, v) },
	},
	{
		section:  "entry",
		key:      "advertise",
		unit:     "ip:port",
		inherits: "peers",
		help:     "address that other entry hosts connect to, if a forwarder is in between",
		set:      func(s *Settings, v string) error { return address(&s.Advertise, v) },
	},
	{
		section: "platform",
		key:     "store",
		unit:    "ip:port",
		help:    "address of the key-value service",
		set:     func(s *Settings, v string) error { return address(&s.Store, v) },
	},
	{
		section: "platform",
		key:     "hosts",
		unit:    "ip:port",
		help:    "address of the host list",
		set:     func(s *Settings, v string) error { return address(&s.Hosts, v) },
	},
	{
		section:  "platform",
		key:      "call",
		unit:     "duration",
		fallback: "2s",
		help:     "longest single call of the key-value service",
		set:      func(s *Settings, v string) error { return duration(&s.Call, v) },
	},
	{
		section:  "platform",
		key:      "loads",
		unit:     "per second",
		fallback: "1",
		help:     "model loads that the weight store admits",
		set:      func(s *Settings, v string) error { return frequency(&s.Loads, v) },
	},
	{
		section:  "limits",
		key:      "body",
		unit:     "bytes",
		fallback: "1048576",
		help:     "largest body of a request",
		set:      func(s *Settings, v string) error { return count(&s.Body, v) },
	},
	{
		section:  "limits",
		key:      "header",
		unit:     "duration",
		fallback: "5s",
		help:     "longest time to receive the head of a request",
		set:      func(s *Settings, v string) error { return duration(&s.Header, v) },
	},
	{
		section:  "limits",
		key:      "receive",
		unit:     "duration",
		fallback: "10s",
		help:     "longest time to receive a whole request",
		set:      func(s *Settings, v string) error { return duration(&s.Receive, v) },
	},
	{
		section:  "stop",
		key:      "longest",
		unit:     "duration",
		fallback: "30s",
		help:     "longest graceful shutdown",
		set:      func(s *Settings, v string) error { return duration(&s.Stop, v) },
	},
	{
		section:  "stop",
		key:      "drain",
		unit:     "duration",
		fallback: "1s",
		help:     "time between failing readiness and closing the port for callers",
		set:      func(s *Settings, v string) error { return duration(&s.Drain, v) },
	},
	{
		section:  "log",
		key:      "level",
		unit:     "debug|info|warn|error",
		fallback: "info",
		help:     "lowest level that is logged",
		set:      func(s *Settings, v string) error { return level(&s.Level, v) },
	},
	{
		section:  "timeline",
		key:      "events",
		unit:     "count",
		fallback: "65536",
		help:     "events that the process keeps",
		set:      events,
	},
}

// listener is one of the host's own ports.
type listener struct {
	key     string
	address ident.Address
}

// Parse checks the text of a settings file named name; ErrInvalid lists every fault.
func Parse(name string, content []byte) (*Settings, error) {
	return parse(name, content, entryRows, contradictions)
}

// Help lists every setting of an entry host with its unit and default.
func Help() string {
	return help(entryRows)
}

func parse[T any](name string, content []byte, rows []row[T], contradictions func(*T) []string) (*T, error) {
	file, err := load(content)
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %v", name, err)
	}
	faults := append(unknown(file, rows), repeated(file)...)
	parsed := new(T)
	for _, r := range rows {
		value := r.fallback
		if section, err := file.GetSection(r.section); err == nil {
			for _, key := range []string{r.inherits, r.key} {
				// A template leaves the value empty if the platform has none.
				if text := strings.TrimSpace(section.Key(key).String()); text != "" {
					value = text
				}
			}
		}
		if value == "" && r.inherits != "" {
			continue // the row that it inherits from reports the fault
		}
		if value == "" {
			faults = append(faults, fmt.Sprintf("[%s] %s: missing, expected %s", r.section, r.key, r.unit))
			continue
		}
		if err := r.set(parsed, value); err != nil {
			faults = append(faults, fmt.Sprintf("[%s] %s = %q: %v", r.section, r.key, value, err))
		}
	}
	faults = append(faults, contradictions(parsed)...)
	if len(faults) > 0 {
		return nil, errors.Annotatef(ErrInvalid, "%s:\n  %s\n", name, strings.Join(faults, "\n  "))
	}
	return parsed, nil
}

func help[T any](rows []row[T]) string {
	var b strings.Builder
	section := ""
	for _, r := range rows {
		if r.section != section {
			section = r.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		fallback := "required"
		if r.fallback != "" {
			fallback = "default " + r.fallback
		}
		if r.inherits != "" {
			fallback = "default " + r.inherits
		}
		fmt.Fprintf(&b, "  %-9s %-22s %-16s %s\n", r.key, r.unit, fallback, r.help)
	}
	return b.String()
}

// Differences returns the settings whose text differs between two files that
// have been parsed without a fault, as "[section] key".
func Differences(before, after []byte) ([]string, error) {
	old, err := values(before)
	if err != nil {
		return nil, err
	}
	changed, err := values(after)
	if err != nil {
		return nil, err
	}
	var keys []string
	for key, value := range changed {
		if old[key] != value {
			keys = append(keys, key)
		}
	}
	for key := range old {
		if _, ok := changed[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

func values(content []byte) (map[string]string, error) {
	file, err := load(content)
	if err != nil {
		return nil, err
	}
	texts := make(map[string]string)
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			texts[fmt.Sprintf("[%s] %s", section.Name(), key.Name())] = strings.TrimSpace(key.String())
		}
	}
	return texts, nil
}

func load(content []byte) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:        true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
	}, content)
	return file, errors.Trace(err)
}

// repeated names the keys that stand more than once in a section.
func repeated(file *ini.File) []string {
	var faults []string
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			if times := len(key.ValueWithShadows()); times > 1 {
				faults = append(faults, fmt.Sprintf("[%s] %s: given %d times", section.Name(), key.Name(), times))
			}
		}
	}
	return faults
}

func unknown[T any](file *ini.File, rows []row[T]) []string {
	known := make(map[string]bool, len(rows))
	for _, r := range rows {
		known[r.section+" "+r.key] = true
		known[r.section] = true
	}
	var faults []string
	for _, section := range file.Sections() {
		if section.Name() == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		if !known[section.Name()] {
			faults = append(faults, fmt.Sprintf("[%s]: unknown section", section.Name()))
			continue
		}
		for _, key := range section.Keys() {
			if !known[section.Name()+" "+key.Name()] {
				faults = append(faults, fmt.Sprintf("[%s] %s: unknown key", section.Name(), key.Name()))
			}
		}
	}
	return faults
}

func contradictions(s *Settings) []string {
	faults := shared("entry", []listener{
		{
			key:     "callers",
			address: s.Callers,
		},
		{
			key:     "operator",
			address: s.Operator,
		},
		{
			key:     "peers",
			address: s.Peers,
		},
	})
	if s.Drain > 0 && s.Stop > 0 && s.Drain >= s.Stop {
		faults = append(faults, "[stop] drain: must be shorter than longest")
	}
	if s.Header > s.Receive {
		faults = append(faults, "[limits] header: must not be longer than receive")
	}
	return faults
}

// shared reports the ports of a section that have the same address.
func shared(section string, ports []listener) []string {
	var faults []string
	own := map[ident.Address]string{}
	for _, port := range ports {
		if first, taken := own[port.address]; taken && port.address != "" {
			faults = append(faults, fmt.Sprintf("[%s] %s: same address as %s", section, port.key, first))
		}
		own[port.address] = port.key
	}
	return faults
}

func text[T ~string](to *T, value string) error {
	if strings.ContainsAny(value, " \t/") {
		return errors.New("a name has no blanks or slashes")
	}
	*to = T(value)
	return nil
}

func address(to *ident.Address, value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return errors.New("expected an IP number and a port, as in 127.0.0.1:8080")
	}
	*to = ident.Address(parsed.String())
	return nil
}

func duration(to *time.Duration, value string) error {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed <= 0 {
		return errors.New("expected a positive duration with a unit, as in 500ms or 2s")
	}
	*to = parsed
	return nil
}

func count(to *int64, value string) error {
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil || parsed <= 0 {
		return errors.New("expected a positive whole number")
	}
	*to = parsed
	return nil
}

func frequency(to *float64, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed > 0) || math.IsInf(parsed, 0) {
		return errors.New("expected a positive number, as in 0.5 or 3")
	}
	*to = parsed
	return nil
}

func events(s *Settings, value string) error {
	var n int64
	if err := count(&n, value); err != nil {
		return err
	}
	s.Events = int(n)
	return nil
}

func level(to *string, value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		*to = value
		return nil
	default:
		return errors.New("expected debug, info, warn or error")
	}
}
