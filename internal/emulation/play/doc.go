// Package play runs a deployment against the decisions of the hosts, in simulated
// time.
//
// Upstreams, callers and the ways between them are emulated; batching and admission
// are those of package batch, the choice of model engines is that of package
// placement, as the hosts run them. A run of a minute takes seconds and depends on
// its seed alone, so a load that showed a fault can be kept as a test, and policies
// can be compared.
package play
