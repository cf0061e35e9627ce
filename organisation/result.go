package organisation

// Result is the sealed set of outcomes of an admitted request.
//
//sumtype:decl
type Result interface{ result() }

// Completed means that the request ran to completion; its latency is measured.
type Completed struct{}

// Overloaded means that an upstream refused the request because of overload.
type Overloaded struct{}

// Abandoned means that the request ended early; its latency is ignored.
type Abandoned struct{}

func (Completed) result()  {}
func (Overloaded) result() {}
func (Abandoned) result()  {}
