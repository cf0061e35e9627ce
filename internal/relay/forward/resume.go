package forward

// resumes reports whether the caller takes up a stream of which it has received events.
func (e *exchange) resumes() bool { return e.head.LastEvent > 0 }
