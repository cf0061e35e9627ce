package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/peer"
)

// suspects returns what is reported on attempts at a process that has crashed. Those whose
// responses had not begun come first, in case there are too many: the cause ends its upstream when
// that begins to respond. The caller holds the mutex.
func (t *Table) suspects(now time.Time, attempts []*Attempt) []peer.CrashSuspect {
	var silent, responding []*Attempt
	for _, a := range attempts {
		if a.respondedAt.IsZero() {
			silent = append(silent, a)
		} else {
			responding = append(responding, a)
		}
	}
	var suspects []peer.CrashSuspect
	var known map[peer.ShortFingerprint]int // crashes that count against fingerprints; nil until needed
	rest := 0
	for _, a := range slices.Concat(silent, responding) {
		a.request.suspected = true
		if len(suspects) == peer.MaxSuspects {
			t.omitted += 1 + len(a.request.parts)
			continue
		}
		parts := t.suspiciousParts(now, a.request)
		if 1+len(parts) > peer.MaxFingerprints && known == nil {
			known = t.shortTally()
		}
		suspect := newSuspect(a, parts, known)
		if rest+len(suspect.Rest) > peer.MaxRest {
			t.omitted += len(suspect.Rest)
			suspect.Rest = nil
		}
		rest += len(suspect.Rest)
		suspects = append(suspects, suspect)
	}
	return suspects
}

// suspiciousParts returns the parts of a request that are not sound. The caller holds the mutex.
func (t *Table) suspiciousParts(now time.Time, request *Request) []Fingerprint {
	var parts []Fingerprint
	for _, part := range request.parts {
		if !t.sound.knownSince(part, now.Add(-soundPeriod)) {
			parts = append(parts, part)
		}
	}
	return parts
}

// newSuspect returns what is reported on an attempt whose request has the given parts. If these
// are too many, it has those in full which the most known crashes count against.
func newSuspect(a *Attempt, parts []Fingerprint, known map[peer.ShortFingerprint]int) peer.CrashSuspect {
	const most = peer.MaxFingerprints - 1 // beside the content
	var rest []peer.ShortFingerprint
	if len(parts) > most {
		slices.SortStableFunc(parts, func(a, b Fingerprint) int {
			return cmp.Compare(known[b.Short()], known[a.Short()])
		})
		for _, part := range parts[most:] {
			rest = append(rest, part.Short())
		}
		slices.Sort(rest)
		parts = parts[:most]
	}
	return peer.CrashSuspect{
		Fingerprints: append([]Fingerprint{a.request.contentFingerprint()}, parts...),
		Rest:         rest,
		Repeated:     a.repeated,
	}
}

// shortTally returns the number of crashes that count against fingerprints, by their beginnings.
// The caller holds the mutex.
func (t *Table) shortTally() map[peer.ShortFingerprint]int {
	known := make(map[peer.ShortFingerprint]int)
	for _, c := range t.crashes {
		for _, short := range c.rest {
			known[short]++
		}
		for f, counts := range c.all {
			switch {
			case !counts && c.mayHave(f):
				known[f.Short()]-- // has been counted with the rest
			case counts && !c.mayHave(f):
				known[f.Short()]++
			}
		}
	}
	return known
}
