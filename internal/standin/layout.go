package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// PoolSize is a pool of a service with the kind and number of its upstreams.
type PoolSize struct {
	Service ident.ServiceName
	Pool    ident.PoolName
	Kind    string // as in Upstream
	Count   int
}

// Deployment describes one user's installation by its failure domains and pools.
type Deployment struct {
	Name    string
	Region  ident.Region
	Domains []ident.FailureDomain
	Pools   []PoolSize
}

// Deployments returns the known deployments by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		"franchise": {
			Name:    "franchise",
			Region:  "great-lakes",
			Domains: []ident.FailureDomain{"erie-hall", "huron-hall", "superior-hall"},
			Pools: append(assistantPools("nutmeg-pool"),
				plainPool("entries-api", 3), plainPool("judging-board", 4), plainPool("exhibitor-portal", 5), plainPool("awards-ledger", 5)),
		},
		"roues": {
			Name:    "roues",
			Region:  "bretagne",
			Domains: []ident.FailureDomain{"rennes", "brest", "lorient", "st-brieuc"},
			Pools: append(assistantPools("atelier-llm"),
				plainPool("planning", 4), plainPool("certifs", 4), plainPool("stock", 5), plainPool("factures", 5)),
		},
	}
}

// assistantPools returns the pools of a pipeline with nine engines.
func assistantPools(service ident.ServiceName) []PoolSize {
	const (
		poolSize = 3
		engines  = 9
	)
	return []PoolSize{
		{
			Service: service,
			Pool:    "encoders",
			Kind:    "encode",
			Count:   poolSize,
		},
		{
			Service: service,
			Pool:    "retrievers",
			Kind:    "retrieve",
			Count:   poolSize,
		},
		{
			Service: service,
			Pool:    "rerankers",
			Kind:    "rerank",
			Count:   poolSize,
		},
		{
			Service: service,
			Pool:    "engines",
			Kind:    engineKind,
			Count:   engines,
		},
	}
}

func plainPool(service ident.ServiceName, count int) PoolSize {
	return PoolSize{
		Service: service,
		Pool:    "servers",
		Kind:    plainKind,
		Count:   count,
	}
}

// Layout is a deployment on loopback addresses 127.<Net>.0.0/16.
type Layout struct {
	Deployment Deployment
	Net        int // 1..255
	Entries    int // entry hosts, spread over the failure domains
}

// PlatformAddress returns the address of the store and the host list.
func (l Layout) PlatformAddress() ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.0.1:7000", l.Net))
}

// CallerAddress returns the address on which entry host i, counted from 1,
// serves callers.
func (l Layout) CallerAddress(i int) ident.Address { return l.entry(i, 8080) }

// OperatorAddress returns the address on which entry host i, counted from 1,
// serves operators.
func (l Layout) OperatorAddress(i int) ident.Address { return l.entry(i, 8081) }

// PeerAddress returns the address on which entry host i, counted from 1, serves
// other entry hosts.
func (l Layout) PeerAddress(i int) ident.Address { return l.entry(i, 8082) }

func (l Layout) entry(i, port int) ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.1.%d:%d", l.Net, i, port))
}

func (l Layout) domain(i int) ident.FailureDomain {
	return l.Deployment.Domains[i%len(l.Deployment.Domains)]
}

// StandinSettings returns the text of the settings file of the stand-ins.
func (l Layout) StandinSettings() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\naddress = %s\n", l.PlatformAddress())
	for i := 1; i <= l.Entries; i++ {
		fmt.Fprintf(&b, "\n[entry %s-%d]\ndomain = %s\nregion = %s\npeer = %s\noperator = %s\n",
			l.Deployment.Name, i, l.domain(i-1), l.Deployment.Region, l.PeerAddress(i), l.OperatorAddress(i))
	}
	upstreamNumber := 0
	for _, pool := range l.Deployment.Pools {
		for i := range pool.Count {
			upstreamNumber++
			fmt.Fprintf(&b, "\n[upstream %s-%s-%d]\nkind = %s\nservice = %s\npool = %s\naddress = 127.%d.2.%d:9000\ndomain = %s\nregion = %s\n%s",
				pool.Service, pool.Pool, i+1, pool.Kind, pool.Service, pool.Pool, l.Net, upstreamNumber, l.domain(i), l.Deployment.Region, speedSettings(pool.Kind))
		}
	}
	return b.String()
}

// EntrySettings returns the text of the settings file of entry host i, counted
// from 1.
func (l Layout) EntrySettings(i int) string {
	return fmt.Sprintf(`[entry]
host = %s-%d
domain = %s
region = %s
callers = %s
operator = %s
peers = %s

[platform]
store = %s
hosts = %s
`, l.Deployment.Name, i, l.domain(i-1), l.Deployment.Region, l.CallerAddress(i), l.OperatorAddress(i), l.PeerAddress(i), l.PlatformAddress(), l.PlatformAddress())
}

// Write writes standins.ini and entry-<i>.ini into the directory.
func (l Layout) Write(directory string) error {
	const fileMode = 0o600
	files := map[string]string{
		"standins.ini": l.StandinSettings(),
	}
	for i := 1; i <= l.Entries; i++ {
		files[fmt.Sprintf("entry-%d.ini", i)] = l.EntrySettings(i)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), fileMode); err != nil {
			return errors.Annotate(err, "write layout")
		}
	}
	return nil
}

// speedSettings returns the lines of an upstream section that set the speed and
// capacity of a kind of upstream.
func speedSettings(kind string) string {
	switch kind {
	case engineKind:
		return "slots = 8\nqueue = 16\ntokens = 24\nrate = 200\nfirst = 60ms\ncache = 64\nprefix = 256\nfactor = 0.5\nlag = 200ms\n"
	case plainKind:
		return "slots = 16\nqueue = 32\ntime = 5ms\nlag = 200ms\n"
	default:
		return "slots = 16\nqueue = 32\ntime = 10ms\nlag = 200ms\n"
	}
}
