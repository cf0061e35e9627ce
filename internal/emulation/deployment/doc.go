// Package deployment reads what an emulation plays: the hosts, the upstreams, the
// kinds of requests, the faults and the policies that are compared.
//
// A deployment is written in INI. Sections of which there may be several have a name
// after their kind, as in [kind chat]; the stages of a kind are sections of their
// own, numbered from 0, as in [stage chat.0]. Any value can be changed by a Change,
// so that an experiment can vary it.
package deployment
