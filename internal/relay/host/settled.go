package host

import "github.com/nutmegshift/nutmegshift/kv"

// settledKey is the key of the entry with the latest epoch of the store in which everything has
// been written again that a restore may have lost.
const settledKey kv.Key = "settled"

// storeSettled reports whether nothing is missing any more that the store may have lost when it
// was restored from a backup.
func (h *Host) storeSettled() bool { return h.replica.Settled(h.replica.Entry(settledKey)) }
