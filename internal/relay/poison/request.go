package poison

import (
	"crypto/sha256"
	"encoding/binary"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
	"github.com/nutmegshift/nutmegshift/peer"
)

// Fingerprint identifies a property that requests may have in common.
type Fingerprint = peer.Fingerprint

// ContentFingerprint returns the fingerprint of requests with the same organisation,
// target and body, whatever their ids.
func ContentFingerprint(organisation ident.OrganisationID, target string, body []byte) Fingerprint {
	return fingerprint([]byte("content"), []byte(organisation), []byte(target), body)
}

// PartFingerprint returns the fingerprint of requests whose prompts have a part.
func PartFingerprint(part wire.PartID) Fingerprint {
	return fingerprint([]byte("part"), []byte(part))
}

func fingerprint(fields ...[]byte) Fingerprint {
	hash := sha256.New()
	for _, field := range fields {
		// The length keeps ("a", "bc") and ("ab", "c") apart.
		hash.Write(binary.BigEndian.AppendUint64(nil, uint64(len(field))))
		hash.Write(field)
	}
	var f Fingerprint
	copy(f[:], hash.Sum(nil))
	return f
}

// Request holds the fingerprints of a request. It must be used with one Table only.
type Request struct {
	parts      []Fingerprint
	newContent func() Fingerprint // holds the body; nil once the content is known
	content    Fingerprint        // zero until it is needed, since hashing a body takes time
	attempted  bool               // has been sent to an upstream
	suspected  bool               // has been in flight at a crash
	responding bool               // its present upstream has begun to respond
	probes     bool               // is sent although it is blocked, see Table.Blocked
	served     bool               // an upstream has sent the whole response
	lost       bool               // an upstream that may have run it has not
}

// Probes reports whether the request is sent although requests like it are blocked. It is
// valid once Table.Blocked has returned.
func (r *Request) Probes() bool { return r.probes }

// NewRequest returns the fingerprints of a request. The parts are those of its prompt
// that other requests may share.
func NewRequest(organisation ident.OrganisationID, target string, body []byte, parts []wire.Part) *Request {
	r := &Request{
		newContent: func() Fingerprint { return ContentFingerprint(organisation, target, body) },
	}
	for _, part := range parts {
		r.parts = append(r.parts, PartFingerprint(part.ID))
	}
	return r
}

// contentFingerprint returns the fingerprint of the content.
func (r *Request) contentFingerprint() Fingerprint {
	if r.newContent != nil {
		r.setContent(r.newContent())
	}
	return r.content
}

// setContent sets the fingerprint of the content and drops the body.
func (r *Request) setContent(content Fingerprint) {
	r.content = content
	r.newContent = nil
}

// has reports whether the request has a fingerprint.
func (r *Request) has(f Fingerprint) bool {
	for _, part := range r.parts {
		if part == f {
			return true
		}
	}
	return r.contentFingerprint() == f
}

// count returns how many of the fingerprints the request has.
func (r *Request) count(fingerprints []Fingerprint) int {
	n := 0
	for _, f := range fingerprints {
		if r.has(f) {
			n++
		}
	}
	return n
}

// hasAll reports whether the request has all of the fingerprints.
func (r *Request) hasAll(fingerprints []Fingerprint) bool {
	for _, f := range fingerprints {
		if !r.has(f) {
			return false
		}
	}
	return true
}
