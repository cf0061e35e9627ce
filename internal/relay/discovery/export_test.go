package discovery

// DropRemovals makes the replica drop the removals that it retains for other hosts, as it
// does when they become too many.
func (r *Replica) DropRemovals() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropTombstones()
}
