// Package reporthttp reads what upstreams report about themselves: their load
// and the changes of their prompt prefix caches.
//
// Responses to attempts carry load reports at no extra cost; polling covers the
// upstreams that this host sends no requests to. A Poller polls one upstream at a
// time, the least recently polled one, so that its cost does not grow with the
// number of upstreams. Only the goroutine of Run uses its state.
package reporthttp
