// Package system tests the invariants of docs/design.md on the real programs.
// The files without _test are the test bench: processes, deployments, network
// links that can be cut, delaying proxies, load, and the checkers of histories
// and responses.
//
// A test starts the stand-ins and the entry hosts as processes on loopback
// addresses, sends requests with unique content through all entry hosts,
// injects faults, and checks every response against its request and against the
// execution logs of the stand-ins. The checkers have tests of their own with
// faulty histories. The programs are built with the race detector; a data race
// in any of them fails the test.
//
// Each deployment has its own loopback network and belongs to one test. A
// recorder of responses has one mutex, which is not held during I/O.
package system
