// Package system tests the invariants of docs/design.md against the real
// programs. The files without _test are its bench: processes, deployments, cut
// links, relays, load, and the checkers of histories and answers.
//
// A test starts the stand-ins and the entry hosts as processes on loopback
// addresses, sends requests with unique content through all entry hosts,
// injects faults, and checks every reply against its request and against the
// execution logs of the stand-ins. The checkers are tested with faulty
// histories of their own. The programs are built with the race detector; a
// data race in any of them fails the test.
//
// Each deployment has its own loopback network and belongs to one test. A
// recorder of replies has one mutex, which is not held during I/O.
package system
