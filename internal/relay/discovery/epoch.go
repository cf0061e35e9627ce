package discovery

import (
	"strconv"

	"github.com/nutmegshift/nutmegshift/kv"
)

// MaxSettledBytes is the largest entry with a settled epoch.
const MaxSettledBytes = 20

// Settled reports whether everything has been written again that the store may have lost when
// it was restored from a backup. A host that has started since cannot tell when that was; it
// learns from an entry, which a host maintains by SettledEntry, that it is over. If there is
// none, the store has hardly ever been restored.
func (r *Replica) Settled(entry kv.Entry) bool {
	epoch, _ := r.state.epoch()
	return entry.Version == 0 || string(entry.Value) == encodeEpoch(epoch) || r.hasSettled()
}

// SettledEntry returns the value that the entry with the latest settled epoch should have in
// place of the present one.
func (r *Replica) SettledEntry(present []byte) ([]byte, error) {
	if !r.hasSettled() {
		return present, nil
	}
	epoch, _ := r.state.epoch()
	return []byte(encodeEpoch(epoch)), nil
}

// hasSettled reports whether this host has seen the present epoch of the store for so long that
// what was lost before has been written again.
func (r *Replica) hasSettled() bool {
	_, since := r.state.epoch()
	return !since.IsZero() && r.now().Sub(since) >= reregisterTime
}

func encodeEpoch(epoch kv.Epoch) string { return strconv.FormatUint(uint64(epoch), 10) }
