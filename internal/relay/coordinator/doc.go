// Package coordinator runs the stages of requests on behalf of hosts.
//
// A Coordinator owns a batch.Scheduler and executes its plans: it sends batches to
// the upstreams and releases results that are no longer needed. Only the goroutine of
// Run accesses the scheduler; other goroutines send commands to it.
//
// Load reports in the responses of upstreams go to the scheduler. When the first call is
// refused, it checks each upstream of its stages once, since they may be busy with the calls
// of its predecessor; it runs stages without waiting for the answers.
//
// A Coordinator also chooses the upstream that runs a request after its stages, since
// it knows the requests of all hosts. Hosts send reports on the outcome of these
// requests with later jobs; a request without a report counts as in flight until its
// deadline. A host that finds the chosen upstream unusable, or reaches no coordinator,
// chooses an upstream itself.
//
// Locking: one mutex guards the placed requests.
package coordinator
