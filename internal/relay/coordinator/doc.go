// Package coordinator runs the stages of requests on behalf of hosts.
//
// A Coordinator owns a batch.Scheduler and carries out what it decides: it
// sends the batches to the upstreams and releases results that nobody needs any
// more. One goroutine, Run, owns the scheduler; everything else reaches it by
// commands.
package coordinator
