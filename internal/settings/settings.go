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

// ErrInvalid reports a settings file that cannot be used; the text of the
// annotated error lists every fault.
const ErrInvalid = errors.ConstError("settings are invalid")

// Settings holds the checked settings of one entry host.
type Settings struct {
	Host     ident.HostID
	Domain   ident.FailureDomain
	Region   ident.Region
	Callers  ident.Address // port for callers
	Operator ident.Address // port for operators
	Peers    ident.Address // port for other entry hosts
	// Advertise is the address at which other entry hosts reach the port for peers.
	Advertise       ident.Address
	Store           ident.Address // key-value service
	Hosts           ident.Address // host list
	StoreTimeout    time.Duration // of a single call to the store
	LoadRate        float64       // model loads per second that the weight store admits
	MaxBody         int64         // largest request body, in bytes
	Memory          float64       // memory of this host, in megabytes
	Descriptors     int64         // file descriptors of this host
	HeaderTimeout   time.Duration // longest time to receive the header of a request
	ReceiveTimeout  time.Duration // longest time to receive a whole request
	ShutdownTimeout time.Duration // of the graceful shutdown
	Drain           time.Duration // time between failing readiness and closing the callers' port
	Level           string        // lowest level that is logged
	Events          int           // number of timeline events that the process keeps
}

// setting describes one setting. Parsing, checks and help use the same list.
type setting[T any] struct {
	section      string
	key          string
	unit         string
	defaultValue string // empty means required, unless inherits is set
	inherits     string // key in the same section whose value is the default
	help         string
	set          func(s *T, value string) error
}

var entrySettings = []setting[Settings]{
	{
		section: "entry",
		key:     "host",
		unit:    "name",
		help:    "name of this host in the host list",
		set:     func(s *Settings, v string) error { return setName(&s.Host, v) },
	},
	{
		section: "entry",
		key:     "domain",
		unit:    "name",
		help:    "failure domain of this host",
		set:     func(s *Settings, v string) error { return setName(&s.Domain, v) },
	},
	{
		section: "entry",
		key:     "region",
		unit:    "name",
		help:    "region of this host",
		set:     func(s *Settings, v string) error { return setName(&s.Region, v) },
	},
	{
		section: "entry",
		key:     "callers",
		unit:    "ip:port",
		help:    "address for callers",
		set:     func(s *Settings, v string) error { return setAddress(&s.Callers, v) },
	},
	{
		section: "entry",
		key:     "operator",
		unit:    "ip:port",
		help:    "address for operators",
		set:     func(s *Settings, v string) error { return setAddress(&s.Operator, v) },
	},
	{
		section: "entry",
		key:     "peers",
		unit:    "ip:port",
		help:    "address for other entry hosts",
		set:     func(s *Settings, v string) error { return setAddress(&s.Peers, v) },
	},
	{
		section:  "entry",
		key:      "advertise",
		unit:     "ip:port",
		inherits: "peers",
		help:     "address that other entry hosts connect to, if a forwarder is in between",
		set:      func(s *Settings, v string) error { return setAddress(&s.Advertise, v) },
	},
	{
		section: "platform",
		key:     "store",
		unit:    "ip:port",
		help:    "address of the key-value service",
		set:     func(s *Settings, v string) error { return setAddress(&s.Store, v) },
	},
	{
		section: "platform",
		key:     "hosts",
		unit:    "ip:port",
		help:    "address of the host list",
		set:     func(s *Settings, v string) error { return setAddress(&s.Hosts, v) },
	},
	{
		section:      "platform",
		key:          "call",
		unit:         "duration",
		defaultValue: "2s",
		help:         "longest single call of the key-value service",
		set:          func(s *Settings, v string) error { return setDuration(&s.StoreTimeout, v) },
	},
	{
		section:      "platform",
		key:          "loads",
		unit:         "per second",
		defaultValue: "1",
		help:         "model loads that the weight store admits",
		set:          func(s *Settings, v string) error { return setFloat(&s.LoadRate, v) },
	},
	{
		section:      "limits",
		key:          "body",
		unit:         "bytes",
		defaultValue: "1048576",
		help:         "largest body of a request",
		set:          func(s *Settings, v string) error { return setInt(&s.MaxBody, v) },
	},
	{
		section:      "limits",
		key:          "memory",
		unit:         "megabytes",
		defaultValue: "256",
		help:         "memory that this host has; a quarter of it is for requests, an eighth for callers' connections",
		set:          func(s *Settings, v string) error { return setFloat(&s.Memory, v) },
	},
	{
		section:      "limits",
		key:          "files",
		unit:         "count",
		defaultValue: "4096",
		help:         "file descriptors that this host has; half of them are for callers' connections",
		set:          func(s *Settings, v string) error { return setInt(&s.Descriptors, v) },
	},
	{
		section:      "limits",
		key:          "header",
		unit:         "duration",
		defaultValue: "5s",
		help:         "longest time to receive the head of a request",
		set:          func(s *Settings, v string) error { return setDuration(&s.HeaderTimeout, v) },
	},
	{
		section:      "limits",
		key:          "receive",
		unit:         "duration",
		defaultValue: "10s",
		help:         "longest time to receive a whole request",
		set:          func(s *Settings, v string) error { return setDuration(&s.ReceiveTimeout, v) },
	},
	{
		section:      "stop",
		key:          "longest",
		unit:         "duration",
		defaultValue: "30s",
		help:         "longest graceful shutdown",
		set:          func(s *Settings, v string) error { return setDuration(&s.ShutdownTimeout, v) },
	},
	{
		section:      "stop",
		key:          "drain",
		unit:         "duration",
		defaultValue: "1s",
		help:         "time between failing readiness and closing the port for callers",
		set:          func(s *Settings, v string) error { return setDuration(&s.Drain, v) },
	},
	{
		section:      "log",
		key:          "level",
		unit:         "debug|info|warn|error",
		defaultValue: "info",
		help:         "lowest level that is logged",
		set:          func(s *Settings, v string) error { return setLevel(&s.Level, v) },
	},
	{
		section:      "timeline",
		key:          "events",
		unit:         "count",
		defaultValue: "65536",
		help:         "events that the process keeps",
		set:          setEvents,
	},
}

// portSetting is the key and the address of a port that the host listens on.
type portSetting struct {
	key     string
	address ident.Address
}

// Parse checks the content of the entry host's settings file called name. If it
// is invalid, the error is ErrInvalid, annotated with every fault.
func Parse(name string, content []byte) (*Settings, error) {
	return parse(name, content, entrySettings, contradictions)
}

// Help lists every setting of an entry host with its unit and default.
func Help() string {
	return help(entrySettings)
}

func parse[T any](name string, content []byte, schema []setting[T], contradictions func(*T) []string) (*T, error) {
	file, err := load(content)
	if err != nil {
		return nil, errors.Annotatef(ErrInvalid, "%s: %v", name, err)
	}
	faults := append(unknownKeys(file, schema), duplicateKeys(file)...)
	parsed := new(T)
	for _, s := range schema {
		value := s.defaultValue
		if section, err := file.GetSection(s.section); err == nil {
			for _, key := range []string{s.inherits, s.key} {
				// A filled-in template has an empty value if the platform provides none.
				if given := strings.TrimSpace(section.Key(key).String()); given != "" {
					value = given
				}
			}
		}
		if value == "" && s.inherits != "" {
			continue // reported for the key that it inherits from
		}
		if value == "" {
			faults = append(faults, fmt.Sprintf("[%s] %s: missing, expected %s", s.section, s.key, s.unit))
			continue
		}
		if err := s.set(parsed, value); err != nil {
			faults = append(faults, fmt.Sprintf("[%s] %s = %q: %v", s.section, s.key, value, err))
		}
	}
	faults = append(faults, contradictions(parsed)...)
	if len(faults) > 0 {
		return nil, errors.Annotatef(ErrInvalid, "%s:\n  %s\n", name, strings.Join(faults, "\n  "))
	}
	return parsed, nil
}

func help[T any](schema []setting[T]) string {
	var b strings.Builder
	section := ""
	for _, s := range schema {
		if s.section != section {
			section = s.section
			fmt.Fprintf(&b, "[%s]\n", section)
		}
		defaultText := "required"
		if s.defaultValue != "" {
			defaultText = "default " + s.defaultValue
		}
		if s.inherits != "" {
			defaultText = "default " + s.inherits
		}
		fmt.Fprintf(&b, "  %-9s %-22s %-16s %s\n", s.key, s.unit, defaultText, s.help)
	}
	return b.String()
}

// Differences returns the settings that differ between two files, sorted and as
// "[section] key". Both must be files that Parse or ParseRelay accepts.
func Differences(before, after []byte) ([]string, error) {
	oldValues, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newValues, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var keys []string
	for key, value := range newValues {
		if oldValues[key] != value {
			keys = append(keys, key)
		}
	}
	for key := range oldValues {
		if _, ok := newValues[key]; !ok {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys, nil
}

// flatten returns the values of a file by "[section] key".
func flatten(content []byte) (map[string]string, error) {
	file, err := load(content)
	if err != nil {
		return nil, err
	}
	flat := make(map[string]string)
	for _, section := range file.Sections() {
		for _, key := range section.Keys() {
			flat[fmt.Sprintf("[%s] %s", section.Name(), key.Name())] = strings.TrimSpace(key.String())
		}
	}
	return flat, nil
}

func load(content []byte) (*ini.File, error) {
	file, err := ini.LoadSources(ini.LoadOptions{
		IgnoreInlineComment:        true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
	}, content)
	return file, errors.Trace(err)
}

// duplicateKeys reports the keys that occur more than once in a section.
func duplicateKeys(file *ini.File) []string {
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

// unknownKeys reports the sections and keys that are not in the schema.
func unknownKeys[T any](file *ini.File, schema []setting[T]) []string {
	known := make(map[string]bool, len(schema))
	for _, s := range schema {
		known[s.section+" "+s.key] = true
		known[s.section] = true
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
	faults := duplicateAddresses("entry", []portSetting{
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
	if s.Drain > 0 && s.ShutdownTimeout > 0 && s.Drain >= s.ShutdownTimeout {
		faults = append(faults, "[stop] drain: must be shorter than longest")
	}
	if s.HeaderTimeout > s.ReceiveTimeout {
		faults = append(faults, "[limits] header: must not be longer than receive")
	}
	return faults
}

// duplicateAddresses reports the ports of a section that share an address.
func duplicateAddresses(section string, ports []portSetting) []string {
	var faults []string
	keys := map[ident.Address]string{}
	for _, port := range ports {
		if first, taken := keys[port.address]; taken && port.address != "" {
			faults = append(faults, fmt.Sprintf("[%s] %s: same address as %s", section, port.key, first))
		}
		keys[port.address] = port.key
	}
	return faults
}

func setName[T ~string](to *T, value string) error {
	if strings.ContainsAny(value, " \t/") {
		return errors.New("a name has no blanks or slashes")
	}
	*to = T(value)
	return nil
}

func setAddress(to *ident.Address, value string) error {
	parsed, err := netip.ParseAddrPort(value)
	if err != nil || parsed.Port() == 0 {
		return errors.New("expected an IP number and a port, as in 127.0.0.1:8080")
	}
	*to = ident.Address(parsed.String())
	return nil
}

func setDuration(to *time.Duration, value string) error {
	parsed, err := time.ParseDuration(value)
	if err != nil || parsed <= 0 {
		return errors.New("expected a positive duration with a unit, as in 500ms or 2s")
	}
	*to = parsed
	return nil
}

func setInt(to *int64, value string) error {
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil || parsed <= 0 {
		return errors.New("expected a positive whole number")
	}
	*to = parsed
	return nil
}

func setFloat(to *float64, value string) error {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || !(parsed > 0) || math.IsInf(parsed, 0) {
		return errors.New("expected a positive number, as in 0.5 or 3")
	}
	*to = parsed
	return nil
}

func setEvents(s *Settings, value string) error {
	var n int64
	if err := setInt(&n, value); err != nil {
		return err
	}
	s.Events = int(n)
	return nil
}

func setLevel(to *string, value string) error {
	switch value {
	case "debug", "info", "warn", "error":
		*to = value
		return nil
	default:
		return errors.New("expected debug, info, warn or error")
	}
}
