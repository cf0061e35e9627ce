// Package order reconciles engines with their desired states in the store. A
// desired state is of type Wanted; error texts call it a wanted state.
//
// One host at a time, the holder, issues orders. It holds a key in the store
// under a lease, and the version of that key is its fencing number, so each
// holder has a higher number than its predecessors. On each tick the holder
// lists the next desired states, reads the actual states of these engines and
// sends the orders that remove the differences. A round over all engines takes
// one tick for each page of Config.PerTick engines. Orders are idempotent. An
// engine that checks fencing numbers rejects a late order of a former holder; at
// an engine that does not, the current holder undoes the late order in its next
// round. Without the store no orders are sent and engines keep their state.
//
// Tick and Release must not be called concurrently. Within a tick, worker
// goroutines share the pass, whose mutex guards the report and is not held
// during calls.
package order
