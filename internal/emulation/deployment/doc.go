// Package deployment parses descriptions of emulated deployments: the hosts, the
// upstreams, the kinds of requests, the faults and the policies.
//
// A deployment is written in INI. Sections that may occur more than once have a type
// and a name, as in [kind chat]; each stage of a kind has its own section, numbered
// from 0, as in [stage chat.0]. A Change replaces any value, so that an experiment can
// vary it.
package deployment
