// Package resumption knows which release of an upstream's software began each stream. The
// rest of a stream has to come from the same release, also if a caller takes the stream up
// at a host that has never seen it.
//
// While all upstreams of a service have had the same release, every stream was begun by
// that one, and nothing is recorded. Releases follows which releases have been in service,
// and an entry of the store tells it to hosts that start later. While there are several, the
// coordinators that place requests, and the hosts that send them elsewhere, note where each
// stream begins. A Recorder writes these notes to the store, where Records finds them: a
// stream outlives its host, and also the end of all hosts. If the store does not serve a host,
// others write its notes (Streams.Adopt). A stream whose release cannot be found is not continued.
//
// A request that goes to another release than one that may have been noted moves: it is not sent
// there before other hosts can find that, see Run.Sent.
//
// Locking: Streams, Releases and Records each have a mutex, which is not held during calls of
// the store.
package resumption
