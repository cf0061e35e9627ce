// Package order brings engines to the state that the store wants them in.
//
// One host at a time issues orders. It holds a key in the store under a lease,
// and the version of that key is its fencing number, so a later holder has a
// higher one. On each tick the holder lists the wanted states, reads each
// engine's actual state and sends the orders that remove the difference. Orders
// are idempotent. An engine that checks fencing numbers refuses the late order
// of an earlier holder; at one that does not, the current holder's next tick
// undoes it. Without the store no orders are sent and engines keep their state.
//
// Tick and Release are for one goroutine at a time. Within a tick, workers
// share the pass, whose mutex guards the report and is not held during calls.
package order
