package peer

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
)

// MaxOrganisations is the largest number of organisations that a host reports.
const MaxOrganisations = 16

// Fingerprint identifies the content of a request.
type Fingerprint [16]byte

// Rumour is a fact that hosts forward to each other. It is one of HostSuspected,
// HostAlive, HostLeaving, UpstreamLeaving, UpstreamCrashed, CrashReported,
// FingerprintStruck, FingerprintCleared, DocumentRevised and TopOrganisations.
//
//sumtype:decl
type Rumour interface{ rumour() }

// HostSuspected states that a host does not respond.
type HostSuspected struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// HostAlive states that a host runs with a new incarnation.
type HostAlive struct {
	Row Row
}

// HostLeaving states that a host is about to stop.
type HostLeaving struct {
	Host        ident.HostID
	Incarnation ident.Incarnation
}

// UpstreamLeaving states that an upstream accepts no new work.
type UpstreamLeaving struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
}

// UpstreamCrashed states that the connections of an upstream broke without a drain
// signal.
type UpstreamCrashed struct {
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation
}

// Limits of a CrashReported.
const (
	// MaxSuspects is the largest number of suspects. A host with more requests in flight reports
	// those whose responses had not begun first.
	MaxSuspects = 64
	// MaxFingerprints is the largest number of fingerprints of a suspect. It has its others as
	// short ones.
	MaxFingerprints = 16
	// MaxRest is the largest number of short fingerprints of all suspects, which take 64 KB. That
	// is enough for four requests with the most parts that a header of 16 KB can have. Suspects
	// beyond have no short ones.
	MaxRest = 16384
)

// ShortFingerprint is the beginning of a Fingerprint. It tells whether a request may have had
// that, not what it is.
type ShortFingerprint uint32

// Short returns the beginning of a fingerprint.
func (f Fingerprint) Short() ShortFingerprint {
	return ShortFingerprint(binary.BigEndian.Uint32(f[:]))
}

// CrashSuspect is one request that may have crashed an upstream.
type CrashSuspect struct {
	Fingerprints []Fingerprint      // at most MaxFingerprints; those that the host knows as harmless may be missing
	Rest         []ShortFingerprint // of further fingerprints, in ascending order
	Repeated     bool               // the request was sent after it had been in flight at another crash
}

// Has reports whether the suspect has a fingerprint. With thousands of short ones it is wrong
// about once in a million times.
func (s CrashSuspect) Has(f Fingerprint) bool {
	if slices.Contains(s.Fingerprints, f) {
		return true
	}
	_, found := slices.BinarySearch(s.Rest, f.Short())
	return found
}

// JoinFingerprints returns the concatenated fingerprints.
func JoinFingerprints(fingerprints []Fingerprint) []byte {
	var joined []byte
	for _, f := range fingerprints {
		joined = append(joined, f[:]...)
	}
	return joined
}

// SplitFingerprints returns the fingerprints that JoinFingerprints has joined. It returns
// an error if one is incomplete, or if they are more than MaxFingerprints.
func SplitFingerprints(joined []byte) ([]Fingerprint, error) {
	const size = len(Fingerprint{})
	if len(joined)%size != 0 || len(joined) > MaxFingerprints*size {
		return nil, errors.NotValidf("fingerprints of %d bytes", len(joined))
	}
	var fingerprints []Fingerprint
	for f := range slices.Chunk(joined, size) {
		fingerprints = append(fingerprints, Fingerprint(f))
	}
	return fingerprints, nil
}

// CrashReported states which requests of one host may have crashed an upstream. Each host
// reports a crash once.
type CrashReported struct {
	Host        ident.HostID
	Upstream    ident.UpstreamID
	Incarnation ident.Incarnation // the time of a request if the host had not read the registration of the process
	At          time.Time         // when the host noticed the crash; in milliseconds
	Suspects    []CrashSuspect    // at most MaxSuspects
}

// FingerprintStruck states that a request was in flight on an upstream that crashed.
type FingerprintStruck struct {
	Fingerprint Fingerprint
	Strikes     int        // lower bound of the number of such crashes of the request
	Version     kv.Version // orders the rumours of a fingerprint; not the version of a store entry
}

// FingerprintCleared states that a suspect request completed without a crash.
type FingerprintCleared struct {
	Fingerprint Fingerprint
	Version     kv.Version // orders the rumours of a fingerprint; not the version of a store entry
}

// DocumentRevised states that a service document has a new revision.
type DocumentRevised struct {
	Service  ident.ServiceName
	Revision ident.Revision
}

// TopOrganisations are the organisations with the highest request rates at one
// host. Only that host sends them: if all hosts forwarded them, they would exceed
// the budget of 7 KB/s.
type TopOrganisations struct {
	Host  ident.HostID
	Rates []OrganisationRate // at most MaxOrganisations
}

// OrganisationRate is the request rate of an organisation at one host.
type OrganisationRate struct {
	Service      ident.ServiceName
	Organisation ident.OrganisationID
	Rate         float64 // requests per second
}

func (HostSuspected) rumour()      {}
func (HostAlive) rumour()          {}
func (HostLeaving) rumour()        {}
func (UpstreamLeaving) rumour()    {}
func (UpstreamCrashed) rumour()    {}
func (CrashReported) rumour()      {}
func (FingerprintStruck) rumour()  {}
func (FingerprintCleared) rumour() {}
func (DocumentRevised) rumour()    {}
func (TopOrganisations) rumour()   {}

// subject returns the key of what a rumour is about. A newer rumour replaces an
// older one of the same subject.
func subject(r Rumour) string {
	switch r := r.(type) {
	case HostSuspected:
		return "host/" + string(r.Host)
	case HostAlive:
		return "host/" + string(r.Row.Host)
	case HostLeaving:
		return "host/" + string(r.Host)
	case UpstreamLeaving:
		return "upstream/" + string(r.Upstream)
	case UpstreamCrashed:
		return "upstream/" + string(r.Upstream)
	case CrashReported:
		return fmt.Sprintf("crash/%s/%d/%s", r.Upstream, r.Incarnation, r.Host)
	case FingerprintStruck:
		return "fingerprint/" + string(r.Fingerprint[:])
	case FingerprintCleared:
		return "fingerprint/" + string(r.Fingerprint[:])
	case DocumentRevised:
		return "document/" + string(r.Service)
	case TopOrganisations:
		return "organisations/" + string(r.Host)
	default:
		panic(fmt.Sprintf("rumour of type %T", r))
	}
}

// position returns the position of a rumour in the order of its subject: the
// version of the subject, and a rank that decides between equal versions.
func position(r Rumour) (version uint64, rank int) {
	switch r := r.(type) {
	case HostAlive:
		return uint64(r.Row.Incarnation), 0
	case HostSuspected:
		return uint64(r.Incarnation), 1
	case HostLeaving:
		return uint64(r.Incarnation), 2
	case UpstreamLeaving:
		return uint64(r.Incarnation), 0
	case UpstreamCrashed:
		return uint64(r.Incarnation), 1
	case CrashReported:
		return 0, 0
	case FingerprintStruck:
		return uint64(r.Version), 0
	case FingerprintCleared:
		return uint64(r.Version), 1
	case DocumentRevised:
		return uint64(r.Revision), 0
	case TopOrganisations:
		return 0, 0
	default:
		panic(fmt.Sprintf("rumour of type %T", r))
	}
}

// newer reports whether a replaces b, which is a rumour of the same subject.
func newer(a, b Rumour) bool {
	aVersion, aRank := position(a)
	bVersion, bRank := position(b)
	if aVersion != bVersion {
		return aVersion > bVersion
	}
	return aRank > bRank
}

// urgent reports whether a rumour is sent before rumours about hosts.
func urgent(r Rumour) bool {
	switch r.(type) {
	case UpstreamLeaving, UpstreamCrashed, CrashReported, FingerprintStruck, FingerprintCleared, DocumentRevised:
		return true
	case HostSuspected, HostAlive, HostLeaving, TopOrganisations:
		return false
	default:
		panic(fmt.Sprintf("rumour of type %T", r))
	}
}
