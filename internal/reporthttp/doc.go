// Package reporthttp reads what upstreams report about themselves: their load
// and the changes of their prompt prefix caches.
//
// Replies to attempts carry load reports for free; polling fills in the
// upstreams that this host sends no work to. A Poller asks one upstream at a
// time, the one not heard of for longest, so that its cost does not grow with
// the number of upstreams. Only the goroutine of Run touches its state.
package reporthttp
