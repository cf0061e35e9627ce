package organisation

// Result is the sealed set of ends of an admitted request.
//
//sumtype:decl
type Result interface{ result() }

// Completed states that the request ran to its end; its latency is measured.
type Completed struct{}

// Overloaded states that an upstream refused the request because of its load.
type Overloaded struct{}

// Abandoned states that the request ended early; its latency says nothing.
type Abandoned struct{}

func (Completed) result()  {}
func (Overloaded) result() {}
func (Abandoned) result()  {}
