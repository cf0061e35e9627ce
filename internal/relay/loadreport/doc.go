// Package loadreport estimates from the load reports of an upstream how long work takes
// there and when it is free.
//
// A Record holds what one incarnation of an upstream has reported and how long its calls
// took. Reports are typed by the response that carried them, since that decides whether
// the calls of this host are among the running ones, and lose weight with age. A report
// is a hint: it changes an estimate within bounds, and by as much as earlier reports of
// the upstream have foretold the duration of its calls.
//
// Locking: a Record has no lock and is not safe for concurrent use; its owner calls it
// from one goroutine.
package loadreport
