package kv

// revisionBits is the number of bits of a Version or a Cursor that number the changes
// within an epoch: 29 years of 1,200 changes a second. The bits above number the epoch, so
// versions of a later epoch are higher than all of an earlier one.
const revisionBits = 40

const (
	// MaxRevision is the highest number of a change within an epoch.
	MaxRevision = 1<<revisionBits - 1
	// MaxEpoch is the highest epoch.
	MaxEpoch Epoch = 1<<(64-revisionBits) - 1
)

// Epoch numbers the histories of a service. A service that is restored from a backup, and so
// loses its latest changes, begins the next one and numbers changes from that of the backup.
type Epoch uint64

// Numbered is a Version or a Cursor.
type Numbered interface {
	Version | Cursor
}

// InEpoch returns the version or cursor of a revision within an epoch; 0 stays 0. The
// revision and the epoch must not exceed MaxRevision and MaxEpoch.
func InEpoch[T Numbered](epoch Epoch, revision T) T {
	if revision == 0 {
		return 0
	}
	return T(epoch)<<revisionBits | revision
}

// EpochOf returns the epoch of a version or cursor.
func EpochOf[T Numbered](number T) Epoch {
	return Epoch(number >> revisionBits)
}

// RevisionOf returns the number of a version or cursor within its epoch.
func RevisionOf[T Numbered](number T) T {
	return number & MaxRevision
}
