package standin

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// PoolSize is the number of upstreams of one kind that a service has.
type PoolSize struct {
	Service ident.ServiceName
	Pool    ident.PoolName
	Kind    string
	Count   int
}

// Deployment is the size of one user's installation.
type Deployment struct {
	Name    string
	Region  ident.Region
	Domains []ident.FailureDomain
	Pools   []PoolSize
}

// Deployments are the installations of today, by name.
func Deployments() map[string]Deployment {
	return map[string]Deployment{
		"franchise": {
			Name:    "franchise",
			Region:  "great-lakes",
			Domains: []ident.FailureDomain{"erie-hall", "huron-hall", "superior-hall"},
			Pools: append(assistant("nutmeg-pool"),
				plainPool("entries-api", 3), plainPool("judging-board", 4), plainPool("exhibitor-portal", 5), plainPool("awards-ledger", 5)),
		},
		"roues": {
			Name:    "roues",
			Region:  "bretagne",
			Domains: []ident.FailureDomain{"rennes", "brest", "lorient", "st-brieuc"},
			Pools: append(assistant("atelier-llm"),
				plainPool("planning", 4), plainPool("certifs", 4), plainPool("stock", 5), plainPool("factures", 5)),
		},
	}
}

// assistant returns the pools of a pipeline with nine engines.
func assistant(service ident.ServiceName) []PoolSize {
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

// Platform returns the address of the store and the host list.
func (l Layout) Platform() ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.0.1:7000", l.Net))
}

// Callers returns the address for callers of entry host i, from 1.
func (l Layout) Callers(i int) ident.Address { return l.entry(i, 8080) }

// Operator returns the address for operators of entry host i, from 1.
func (l Layout) Operator(i int) ident.Address { return l.entry(i, 8081) }

// Peers returns the address for other entry hosts of entry host i, from 1.
func (l Layout) Peers(i int) ident.Address { return l.entry(i, 8082) }

func (l Layout) entry(i, port int) ident.Address {
	return ident.Address(fmt.Sprintf("127.%d.1.%d:%d", l.Net, i, port))
}

func (l Layout) domain(i int) ident.FailureDomain {
	return l.Deployment.Domains[i%len(l.Deployment.Domains)]
}

// Standins returns the settings file of the stand-ins.
func (l Layout) Standins() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\naddress = %s\n", l.Platform())
	for i := 1; i <= l.Entries; i++ {
		fmt.Fprintf(&b, "\n[entry %s-%d]\ndomain = %s\nregion = %s\npeer = %s\noperator = %s\n",
			l.Deployment.Name, i, l.domain(i-1), l.Deployment.Region, l.Peers(i), l.Operator(i))
	}
	number := 0
	for _, pool := range l.Deployment.Pools {
		for i := range pool.Count {
			number++
			fmt.Fprintf(&b, "\n[upstream %s-%s-%d]\nkind = %s\nservice = %s\npool = %s\naddress = 127.%d.2.%d:9000\ndomain = %s\nregion = %s\n%s",
				pool.Service, pool.Pool, i+1, pool.Kind, pool.Service, pool.Pool, l.Net, number, l.domain(i), l.Deployment.Region, timing(pool.Kind))
		}
	}
	return b.String()
}

// Entry returns the settings file of entry host i, from 1.
func (l Layout) Entry(i int) string {
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
`, l.Deployment.Name, i, l.domain(i-1), l.Deployment.Region, l.Callers(i), l.Operator(i), l.Peers(i), l.Platform(), l.Platform())
}

// Write writes standins.ini and entry-<i>.ini into the directory.
func (l Layout) Write(directory string) error {
	const private = 0o600
	files := map[string]string{
		"standins.ini": l.Standins(),
	}
	for i := 1; i <= l.Entries; i++ {
		files[fmt.Sprintf("entry-%d.ini", i)] = l.Entry(i)
	}
	for name, text := range files {
		if err := os.WriteFile(filepath.Join(directory, name), []byte(text), private); err != nil {
			return errors.Annotate(err, "write layout")
		}
	}
	return nil
}

// timing returns the settings of speed and size for a kind of upstream.
func timing(kind string) string {
	switch kind {
	case engineKind:
		return "slots = 8\nqueue = 16\ntokens = 24\nrate = 200\nfirst = 60ms\ncache = 64\nprefix = 256\nfactor = 0.5\nlag = 200ms\n"
	case plainKind:
		return "slots = 16\nqueue = 32\ntime = 5ms\nlag = 200ms\n"
	default:
		return "slots = 16\nqueue = 32\ntime = 10ms\nlag = 200ms\n"
	}
}
