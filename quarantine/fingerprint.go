package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Fingerprint names a request by what it asks for, across callers and repeats.
type Fingerprint [16]byte

// NewFingerprint hashes service, route and content; content must hold no ids that differ between repeats.
func NewFingerprint(service ident.ServiceName, route string, content []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(route), content} {
		// The length prefix keeps ("a", "bc") and ("ab", "c") apart.
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(part))))
		hash.Write(part)
	}
	var fingerprint Fingerprint
	copy(fingerprint[:], hash.Sum(nil))
	return fingerprint
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return hex.EncodeToString(f[:])
}

// Crash names one crash of one upstream.
type Crash struct {
	Upstream    ident.UpstreamID  `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Verdict is the sealed set of what a host may do with a request.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Clear states that the request may run.
type Clear struct{}

// Suspect states that the request may run only as a trial, alone on an upstream.
type Suspect struct {
	Since time.Time // of the last strike
}

// Blocked states that the request must be refused.
type Blocked struct {
	Until time.Time
}

func (Clear) verdict()   {}
func (Suspect) verdict() {}
func (Blocked) verdict() {}
