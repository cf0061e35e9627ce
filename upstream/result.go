package upstream

import "time"

// Report says how an attempt ended.
type Report struct {
	Latency time.Duration // of the attempt; comparable within a pool
	Load    *Load         // nil if the upstream did not report
	Result  Result
}

// Result is the sealed set of ends of an attempt.
//
//sumtype:decl
type Result interface{ result() }

// Completed states that the upstream answered.
type Completed struct {
	Failed bool // the answer is an error of the upstream itself
}

// Overloaded states that the upstream refused the attempt because of its load.
type Overloaded struct{}

// Leaving states that the upstream refused the attempt because it is leaving.
type Leaving struct{}

// Lost states that the connection failed after the request was sent.
type Lost struct{}

// NotSent states that no byte of the request was sent.
type NotSent struct{}

// Cancelled states that this host ended the attempt; its latency is a lower bound.
type Cancelled struct{}

func (Completed) result()  {}
func (Overloaded) result() {}
func (Leaving) result()    {}
func (Lost) result()       {}
func (NotSent) result()    {}
func (Cancelled) result()  {}
