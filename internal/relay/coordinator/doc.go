// Package coordinator runs the stages of requests on behalf of hosts.
//
// A Coordinator owns a batch.Scheduler and carries out what it decides: it
// sends the batches to the upstreams and releases results that nobody needs any
// more. One goroutine, Run, owns the scheduler; everything else reaches it by
// commands.
//
// It also chooses the upstream that runs a request after its stages, since it knows
// the requests of all hosts. Hosts report how those ended with the jobs that follow;
// a request of which nobody reports counts as in flight until its deadline. A host
// that knows better, or reaches no coordinator, chooses by itself.
//
// Locking: one mutex guards the placed requests.
package coordinator
