package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Fingerprint identifies a request by its content, regardless of caller and retry.
type Fingerprint [16]byte

// NewFingerprint hashes service, route and content. The content must not contain
// ids that differ between retries of a request.
func NewFingerprint(service ident.ServiceName, route string, content []byte) Fingerprint {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(service), []byte(route), content} {
		// The length prefix distinguishes ("a", "bc") from ("ab", "c").
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

// Crash identifies one crash of one upstream.
type Crash struct {
	Upstream    ident.UpstreamID  `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
}

// Verdict is the sealed set of decisions on whether a request may run.
//
//sumtype:decl
type Verdict interface{ verdict() }

// Clear means that the request may run.
type Clear struct{}

// Suspect means that the request may run only as a trial, alone on an upstream.
type Suspect struct {
	Since time.Time // time of the last strike
}

// Blocked means that the request must be refused.
type Blocked struct {
	Until time.Time // end of the block
}

func (Clear) verdict()   {}
func (Suspect) verdict() {}
func (Blocked) verdict() {}
