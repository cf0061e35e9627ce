// Package hedge decides when a request that may run more than once is sent to a second
// upstream, because the first one takes unusually long, and how many such requests there
// may be.
//
// A hedge is worth its cost only for the slowest responses: it is sent once a request has
// taken longer than nearly all recent ones of its service. Its limit is a share of the
// requests, so that a service which is slow as a whole, since it is overloaded, gets hardly
// more of them; besides, every hedge needs the consent of the retry budget that all hosts
// share.
//
// The package has no input or output. Locking: one mutex of the Policy guards its state.
package hedge
