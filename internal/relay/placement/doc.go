// Package placement chooses the upstream that runs a request.
//
// A Chooser knows what this host has in flight at each upstream and how its
// last requests ended. Upstreams that fail are avoided for a time that grows
// while they fail. Requests that share a prompt go to the same upstream, unless
// it has much more work than the others, so that its cache serves them.
//
// Locking: one mutex of the Chooser guards its rows.
package placement
