package resumption

// progress tells how far the notes of a host have come. Its owner guards it by a mutex.
type progress struct {
	next     uint64        // number of the first note that has not come so far
	advanced chan struct{} // closed when next rises
}

func newProgress() progress {
	return progress{
		advanced: make(chan struct{}),
	}
}

// advance raises next, unless it is higher already.
func (p *progress) advance(next uint64) {
	if next <= p.next {
		return
	}
	p.next = next
	close(p.advanced)
	p.advanced = make(chan struct{})
}
