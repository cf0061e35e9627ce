// Package play simulates a deployment under the decisions that the hosts make, in
// simulated time.
//
// Upstreams, callers and network latencies are emulated. Batching and admission are
// done by package batch and the choice of model engines by package placement, the code
// that the hosts run. A run of a minute takes seconds and is determined by the
// deployment and the seed, so a load that revealed a fault can become a test, and
// policies can be compared.
package play
