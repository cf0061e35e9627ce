// Package kvtest is the contract test of kv.Store. Each adapter runs it in its
// own tests, so that the fake and the real protocol behave alike.
//
// Faults are those of memkv; an adapter to another service translates them to
// the faults of that service. The package holds no state; each case starts a
// store of its own.
package kvtest
