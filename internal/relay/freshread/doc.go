// Package freshread shares reads of remote state between many callers, each of which needs
// one that begins after its call: only such a read is sure to show what had happened before
// the call. No clock takes part, so that a process that stood still between its call and the
// read, or between the read and its answer, is not misled by what it received meanwhile.
package freshread
