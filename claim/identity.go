package claim

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Partitions is the number of independent logs. Changing it makes all stored claims unreadable.
const Partitions = 16

// Partition is the number of a log, from 0 to Partitions-1.
type Partition uint8

// Identity identifies a request; all its retries have the same identity.
type Identity [16]byte

// NewIdentity returns the identity of the request that carries the given idempotency key.
func NewIdentity(service ident.ServiceName, organisation ident.OrganisationID, key string) Identity {
	hash := sha256.New()
	for _, part := range []string{string(service), string(organisation), key} {
		// The length prefix keeps ("a", "bc") and ("ab", "c") apart.
		length := binary.BigEndian.AppendUint64(nil, uint64(len(part)))
		hash.Write(length)
		hash.Write([]byte(part))
	}
	var identity Identity
	copy(identity[:], hash.Sum(nil))
	return identity
}

// Partition returns the number of the log that holds the claims of the identity.
func (i Identity) Partition() Partition {
	return Partition(i[len(i)-1] % Partitions)
}

// String returns the identity in hexadecimal.
func (i Identity) String() string {
	return hex.EncodeToString(i[:])
}
