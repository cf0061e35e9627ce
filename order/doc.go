// Package order brings engines to the state that the store wants them in.
//
// One host at a time issues orders. It holds a key in the store under a lease,
// and the version of that key is its fencing number, so a later holder has a
// higher one. On each tick the holder lists the next wanted states, reads the
// actual states of these engines and sends the orders that remove the
// difference; one round over all engines takes as many ticks as there are pages
// of Config.PerTick engines. Orders are idempotent. An engine that checks fencing
// numbers refuses the late order of an earlier holder; at one that does not, the
// current holder's next round undoes it. Without the store no orders are sent
// and engines keep their state.
//
// Tick and Release are for one goroutine at a time. Within a tick, workers
// share the pass, whose mutex guards the report and is not held during calls.
package order
