package upstream

import "time"

// Report holds the result of an attempt.
type Report struct {
	Latency time.Duration // of the attempt; comparable within a pool
	Load    *Load         // nil if the upstream did not report its load
	Result  Result
}

// Result is the sealed set of results of an attempt.
//
//sumtype:decl
type Result interface{ result() }

// Completed states that the upstream sent a response.
type Completed struct {
	Failed bool // the response is an error of the upstream itself
}

// Overloaded states that the upstream rejected the attempt because of its load.
type Overloaded struct{}

// Leaving states that the upstream rejected the attempt because it is leaving.
type Leaving struct{}

// Lost states that the connection failed after the request was sent.
type Lost struct{}

// NotSent states that no byte of the request was sent.
type NotSent struct{}

// Cancelled states that this host cancelled the attempt, so that Report.Latency is
// a lower bound.
type Cancelled struct{}

func (Completed) result()  {}
func (Overloaded) result() {}
func (Leaving) result()    {}
func (Lost) result()       {}
func (NotSent) result()    {}
func (Cancelled) result()  {}
