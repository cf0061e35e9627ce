// Package model plays the load of a deployment against the decisions about the
// stages of requests, in simulated time.
//
// The upstreams of stages, their memory for results and the arrivals are
// modelled; the decisions are those of package batch as the hosts run them. A
// run of a minute takes less than a second and depends on its seed alone, so a
// load pattern that showed a fault can be kept as a test, and variants can be
// compared.
package model
