package standin

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
	"gopkg.in/ini.v1"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

const (
	upstreamPrefix  = "upstream "
	entryPrefix     = "entry "
	platformSection = "platform"
)

// The kinds of upstream besides those of upstreams.PoolKind.
const (
	engineKind = "engine"
	plainKind  = "plain"
)

// Upstream holds the settings of one upstream; its keys in the file are the
// lower-case field names or the tags.
type Upstream struct {
	Name    ident.UpstreamID `ini:"-"`
	Kind    string           // encode, retrieve, rerank, engine or plain
	Service ident.ServiceName
	Pool    ident.PoolName
	Address ident.Address // on loopback
	Domain  ident.FailureDomain
	Region  ident.Region

	// For upstreams.Common.
	Slots   int
	Queue   int
	LoadLag time.Duration `ini:"lag"`

	Time time.Duration // service time of pools and plain services

	// For upstreams.EngineConfig.
	Tokens       int
	TokenRate    float64       `ini:"rate"` // tokens per second
	FirstToken   time.Duration `ini:"first"`
	CacheEntries int           `ini:"cache"`
	PrefixLength int           `ini:"prefix"`
	CacheFactor  float64       `ini:"factor"`
	EventDelay   time.Duration `ini:"delay"`
	EventGap     int           `ini:"gap"`
	Models       []string
	Role         string
	LoadTime     time.Duration `ini:"loading"`
	Fencing      string        // check or ignore, which is the default
}

// Entry is an entry host of the initial host list.
type Entry struct {
	Name     string `ini:"-"`
	Domain   ident.FailureDomain
	Region   ident.Region
	Peer     ident.Address
	Operator ident.Address
}

// Settings are the contents of a settings file.
type Settings struct {
	Upstreams []Upstream
	Entries   []Entry
	Platform  map[string]string // keys of the platform section; nil if there is none
}

// Parse parses a settings file. Its error lists everything that is invalid.
func Parse(text []byte) (Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Settings{}, errors.Annotate(err, "parse settings")
	}
	file.NameMapper = ini.TitleUnderscore
	known, err := knownKeys()
	if err != nil {
		return Settings{}, err
	}
	var settings Settings
	var problems []string
	for _, section := range file.Sections() {
		name := section.Name()
		switch {
		case name == ini.DefaultSection && len(section.Keys()) == 0:
		case name == platformSection:
			settings.Platform = section.KeysHash()
		case strings.HasPrefix(name, upstreamPrefix):
			upstream := Upstream{
				Name: ident.UpstreamID(strings.TrimSpace(strings.TrimPrefix(name, upstreamPrefix))),
			}
			for _, key := range section.KeyStrings() {
				if !slices.Contains(known, key) {
					problems = append(problems, fmt.Sprintf("[%s] %s: unknown key", name, key))
				}
			}
			if err := section.StrictMapTo(&upstream); err != nil {
				problems = append(problems, fmt.Sprintf("[%s]: %v", name, err))
			}
			for _, problem := range upstream.problems() {
				problems = append(problems, fmt.Sprintf("[%s] %s", name, problem))
			}
			settings.Upstreams = append(settings.Upstreams, upstream)
		case strings.HasPrefix(name, entryPrefix):
			entry := Entry{
				Name: strings.TrimSpace(strings.TrimPrefix(name, entryPrefix)),
			}
			if err := section.StrictMapTo(&entry); err != nil {
				problems = append(problems, fmt.Sprintf("[%s]: %v", name, err))
			}
			settings.Entries = append(settings.Entries, entry)
		default:
			problems = append(problems, fmt.Sprintf("[%s]: unknown section", name))
		}
	}
	if len(problems) > 0 {
		return Settings{}, errors.Errorf("settings: %s", strings.Join(problems, "; "))
	}
	return settings, nil
}

// knownKeys returns the valid keys of an upstream section.
func knownKeys() ([]string, error) {
	file := ini.Empty()
	file.NameMapper = ini.TitleUnderscore
	section := file.Section(upstreamPrefix)
	if err := section.ReflectFrom(&Upstream{}); err != nil {
		return nil, errors.Annotate(err, "list known keys")
	}
	return section.KeyStrings(), nil
}

func (u Upstream) problems() []string {
	var problems []string
	switch u.Kind {
	case string(upstreams.Encoder), string(upstreams.Retriever), string(upstreams.Reranker), engineKind, plainKind:
	default:
		problems = append(problems, fmt.Sprintf("kind: %q is not a kind of upstream", u.Kind))
	}
	if u.Fencing != "" && u.Fencing != "check" && u.Fencing != "ignore" {
		problems = append(problems, fmt.Sprintf("fencing: %q is neither check nor ignore", u.Fencing))
	}
	address, err := netip.ParseAddrPort(string(u.Address))
	if err != nil || !address.Addr().IsLoopback() {
		problems = append(problems, fmt.Sprintf("address: %q is not a loopback address with a port", u.Address))
	}
	if u.Name == "" {
		problems = append(problems, "upstream without a name")
	}
	return problems
}

// Component returns the upstream as a component of Run.
func (u Upstream) Component() Component {
	return Component{
		Name:    string(u.Name),
		Address: u.Address,
		Serve:   u.Build().Serve,
	}
}

// Build returns the stand-in of the upstream without serving it.
func (u Upstream) Build() upstreams.Upstream {
	common := upstreams.Common{
		Name:    u.Name,
		Clock:   upstreams.SystemClock{},
		Slots:   u.Slots,
		Queue:   u.Queue,
		LoadLag: u.LoadLag,
	}
	switch u.Kind {
	case plainKind:
		return upstreams.NewPlain(upstreams.PlainConfig{
			Common:      common,
			ServiceTime: u.Time,
		})
	case engineKind:
		var models []ident.ModelName
		for _, model := range u.Models {
			models = append(models, ident.ModelName(model))
		}
		return upstreams.NewEngine(upstreams.EngineConfig{
			Common:       common,
			Tokens:       u.Tokens,
			TokenRate:    u.TokenRate,
			FirstToken:   u.FirstToken,
			CacheEntries: u.CacheEntries,
			PrefixLength: u.PrefixLength,
			CacheFactor:  u.CacheFactor,
			EventDelay:   u.EventDelay,
			EventGap:     u.EventGap,
			Models:       models,
			Role:         u.Role,
			LoadTime:     u.LoadTime,
			CheckFencing: u.Fencing == "check",
		})
	default:
		return upstreams.NewPool(upstreams.PoolConfig{
			Common:      common,
			Kind:        upstreams.PoolKind(u.Kind),
			ServiceTime: u.Time,
		})
	}
}
