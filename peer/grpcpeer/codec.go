package grpcpeer

import (
	"math"
	"net/netip"
	"slices"
	"time"
	"unicode"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

const (
	maxIDBytes = 256
	// maxClockSkew bounds how far the wall time of a received stamp may be ahead of
	// this host's. A damaged stamp would otherwise advance the clocks of all hosts
	// permanently.
	maxClockSkew = time.Minute
	// maxRumours exceeds peer.MaxRumours, because a message may also contain
	// TopOrganisations and a later version may send more rumours.
	maxRumours = 64
	// maxStampCount prevents an overflow of the clock's counter after a damaged stamp.
	maxStampCount = 1 << 31
	maxClaims     = 4096 // in one call
	maxNames      = 4096 // in one request for documents
	// maxCrashAge bounds the age of a crash that another host reports.
	maxCrashAge = time.Hour
	// maxLeaders exceeds the number of cells in the largest deployment.
	maxLeaders = 64
)

// stamper stamps the messages to send and observes the stamps of received ones.
type stamper struct {
	clock *timeline.Clock
	now   func() time.Time
}

func (s stamper) stamp() *Stamp {
	stamp := s.clock.Now()
	return &Stamp{
		Wall:  stamp.Wall,
		Count: stamp.Count,
	}
}

// observe advances the clock past a stamp, unless it is missing or implausible.
func (s stamper) observe(stamp *Stamp) {
	if stamp == nil || stamp.GetWall() > s.now().Add(maxClockSkew).UnixMicro() || stamp.GetCount() > maxStampCount {
		return
	}
	s.clock.Observe(timeline.Stamp{
		Wall:  stamp.GetWall(),
		Count: stamp.GetCount(),
	})
}

func encodeMessage(m peer.Message) *Gossip {
	g := &Gossip{
		From:      encodeRow(m.From),
		Documents: m.Documents,
		Members:   m.Members,
		Age:       m.Age.Milliseconds(),
	}
	for _, leader := range m.Leaders {
		g.Leaders = append(g.Leaders, &Leader{
			Duty: leader.Duty,
			Host: string(leader.Host),
			Term: leader.Term,
		})
	}
	for _, rumour := range m.Rumours {
		g.Rumours = append(g.Rumours, encodeRumour(rumour))
	}
	return g
}

func decodeMessage(g *Gossip) (peer.Message, error) {
	from, err := decodeRow(g.GetFrom())
	if err != nil {
		return peer.Message{}, err
	}
	if len(g.GetRumours()) > maxRumours {
		return peer.Message{}, errors.Errorf("%d rumours, limit is %d", len(g.GetRumours()), maxRumours)
	}
	m := peer.Message{
		From:      from,
		Documents: g.GetDocuments(),
		Age:       time.Duration(max(0, g.GetAge())) * time.Millisecond,
		Members:   g.GetMembers(),
	}
	if len(g.GetLeaders()) > maxLeaders {
		return peer.Message{}, errors.Errorf("%d leaders, limit is %d", len(g.GetLeaders()), maxLeaders)
	}
	for _, l := range g.GetLeaders() {
		if err := validateIDs(l.GetHost()); err != nil {
			return peer.Message{}, err
		}
		if l.GetTerm() > peer.MaxTerm {
			return peer.Message{}, errors.Errorf("term %d, limit is %d", l.GetTerm(), peer.MaxTerm)
		}
		m.Leaders = append(m.Leaders, peer.Leader{
			Duty: l.GetDuty(),
			Host: ident.HostID(l.GetHost()),
			Term: l.GetTerm(),
		})
	}
	for _, r := range g.GetRumours() {
		rumour, err := decodeRumour(r)
		if err != nil {
			return peer.Message{}, err
		}
		if rumour != nil {
			m.Rumours = append(m.Rumours, rumour)
		}
	}
	return m, nil
}

func encodeRow(r peer.Row) *Row {
	return &Row{
		Host:        string(r.Host),
		Address:     string(r.Address),
		Domain:      string(r.Domain),
		Region:      string(r.Region),
		Incarnation: uint64(r.Incarnation),
		State:       uint32(r.State),
		Capacity:    r.Capacity,
	}
}

func decodeRow(r *Row) (peer.Row, error) {
	if err := validateIDs(r.GetHost(), r.GetDomain(), r.GetRegion()); err != nil {
		return peer.Row{}, err
	}
	if _, err := netip.ParseAddrPort(r.GetAddress()); err != nil {
		return peer.Row{}, errors.Annotate(err, "address of a host")
	}
	if r.GetState() < uint32(peer.Alive) || r.GetState() > uint32(peer.Down) {
		return peer.Row{}, errors.Errorf("host state %d", r.GetState())
	}
	if r.GetIncarnation() >= uint64(peer.MaxIncarnation) {
		return peer.Row{}, errors.Errorf("incarnation %d", r.GetIncarnation())
	}
	return peer.Row{
		Host:        ident.HostID(r.GetHost()),
		Address:     ident.Address(r.GetAddress()),
		Domain:      ident.FailureDomain(r.GetDomain()),
		Region:      ident.Region(r.GetRegion()),
		Incarnation: ident.Incarnation(r.GetIncarnation()),
		State:       peer.State(r.GetState()),
		Capacity:    r.GetCapacity(),
	}, nil
}

func encodeRumour(rumour peer.Rumour) *Rumour {
	switch r := rumour.(type) {
	case peer.HostSuspected:
		return &Rumour{
			Kind: &Rumour_HostSuspected{
				HostSuspected: encodeHostIncarnation(r.Host, r.Incarnation),
			},
		}
	case peer.HostAlive:
		return &Rumour{
			Kind: &Rumour_HostAlive{
				HostAlive: encodeRow(r.Row),
			},
		}
	case peer.HostLeaving:
		return &Rumour{
			Kind: &Rumour_HostLeaving{
				HostLeaving: encodeHostIncarnation(r.Host, r.Incarnation),
			},
		}
	case peer.UpstreamLeaving:
		return &Rumour{
			Kind: &Rumour_UpstreamLeaving{
				UpstreamLeaving: encodeUpstreamIncarnation(r.Upstream, r.Incarnation),
			},
		}
	case peer.UpstreamCrashed:
		return &Rumour{
			Kind: &Rumour_UpstreamCrashed{
				UpstreamCrashed: encodeUpstreamIncarnation(r.Upstream, r.Incarnation),
			},
		}
	case peer.CrashReported:
		return &Rumour{
			Kind: &Rumour_CrashReported{
				CrashReported: encodeCrash(r),
			},
		}
	case peer.FingerprintStruck:
		return &Rumour{
			Kind: &Rumour_FingerprintStruck{
				FingerprintStruck: encodeFingerprintStruck(r),
			},
		}
	case peer.FingerprintCleared:
		return &Rumour{
			Kind: &Rumour_FingerprintCleared{
				FingerprintCleared: &Fingerprint{
					Fingerprint: r.Fingerprint[:],
					Version:     uint64(r.Version),
				},
			},
		}
	case peer.DocumentRevised:
		return &Rumour{
			Kind: &Rumour_DocumentRevised{
				DocumentRevised: &Document{
					Service:  string(r.Service),
					Revision: uint64(r.Revision),
				},
			},
		}
	case peer.TopOrganisations:
		top := &Organisations{
			Host: string(r.Host),
		}
		for _, rate := range r.Rates {
			top.Rates = append(top.Rates, &OrganisationRate{
				Service:      string(rate.Service),
				Organisation: string(rate.Organisation),
				Rate:         float32(rate.Rate),
			})
		}
		return &Rumour{
			Kind: &Rumour_TopOrganisations{
				TopOrganisations: top,
			},
		}
	default:
		return &Rumour{}
	}
}

// decodeRumour returns nil for an unknown kind, which a later version may have added.
func decodeRumour(rumour *Rumour) (peer.Rumour, error) {
	switch r := rumour.GetKind().(type) {
	case *Rumour_HostSuspected:
		return peer.HostSuspected{
			Host:        ident.HostID(r.HostSuspected.GetHost()),
			Incarnation: ident.Incarnation(r.HostSuspected.GetIncarnation()),
		}, validateIDs(r.HostSuspected.GetHost())
	case *Rumour_HostAlive:
		row, err := decodeRow(r.HostAlive)
		return peer.HostAlive{
			Row: row,
		}, err
	case *Rumour_HostLeaving:
		return peer.HostLeaving{
			Host:        ident.HostID(r.HostLeaving.GetHost()),
			Incarnation: ident.Incarnation(r.HostLeaving.GetIncarnation()),
		}, validateIDs(r.HostLeaving.GetHost())
	case *Rumour_UpstreamLeaving:
		return peer.UpstreamLeaving{
			Upstream:    ident.UpstreamID(r.UpstreamLeaving.GetUpstream()),
			Incarnation: ident.Incarnation(r.UpstreamLeaving.GetIncarnation()),
		}, validateIDs(r.UpstreamLeaving.GetUpstream())
	case *Rumour_UpstreamCrashed:
		return peer.UpstreamCrashed{
			Upstream:    ident.UpstreamID(r.UpstreamCrashed.GetUpstream()),
			Incarnation: ident.Incarnation(r.UpstreamCrashed.GetIncarnation()),
		}, validateIDs(r.UpstreamCrashed.GetUpstream())
	case *Rumour_CrashReported:
		return decodeCrash(r.CrashReported)
	case *Rumour_FingerprintStruck:
		return decodeFingerprintStruck(r.FingerprintStruck)
	case *Rumour_FingerprintCleared:
		struck, err := decodeFingerprintStruck(r.FingerprintCleared)
		return peer.FingerprintCleared{
			Fingerprint: struck.Fingerprint,
			Version:     struck.Version,
		}, err
	case *Rumour_DocumentRevised:
		return peer.DocumentRevised{
			Service:  ident.ServiceName(r.DocumentRevised.GetService()),
			Revision: ident.Revision(r.DocumentRevised.GetRevision()),
		}, validateIDs(r.DocumentRevised.GetService())
	case *Rumour_TopOrganisations:
		return decodeTopOrganisations(r.TopOrganisations)
	default:
		return nil, nil
	}
}

func decodeTopOrganisations(o *Organisations) (peer.TopOrganisations, error) {
	if len(o.GetRates()) > peer.MaxOrganisations {
		return peer.TopOrganisations{}, errors.Errorf("%d organisations", len(o.GetRates()))
	}
	top := peer.TopOrganisations{
		Host: ident.HostID(o.GetHost()),
	}
	for _, rate := range o.GetRates() {
		value := float64(rate.GetRate())
		if math.IsNaN(value) || math.IsInf(value, 0) || value < 0 {
			return peer.TopOrganisations{}, errors.Errorf("rate %v", value)
		}
		if err := validateIDs(rate.GetService(), rate.GetOrganisation()); err != nil {
			return peer.TopOrganisations{}, err
		}
		top.Rates = append(top.Rates, peer.OrganisationRate{
			Service:      ident.ServiceName(rate.GetService()),
			Organisation: ident.OrganisationID(rate.GetOrganisation()),
			Rate:         value,
		})
	}
	return top, validateIDs(o.GetHost())
}

func encodeHostIncarnation(host ident.HostID, incarnation ident.Incarnation) *HostIncarnation {
	return &HostIncarnation{
		Host:        string(host),
		Incarnation: uint64(incarnation),
	}
}

func encodeUpstreamIncarnation(upstream ident.UpstreamID, incarnation ident.Incarnation) *UpstreamIncarnation {
	return &UpstreamIncarnation{
		Upstream:    string(upstream),
		Incarnation: uint64(incarnation),
	}
}

func encodeCrash(c peer.CrashReported) *Crash {
	crash := &Crash{
		Host:        string(c.Host),
		Upstream:    string(c.Upstream),
		Incarnation: uint64(c.Incarnation),
		Age:         time.Since(c.At).Microseconds(),
	}
	for _, suspect := range c.Suspects {
		encoded := &Suspect{
			Fingerprints: peer.JoinFingerprints(suspect.Fingerprints),
			Repeated:     suspect.Repeated,
		}
		for _, short := range suspect.Rest {
			encoded.Rest = append(encoded.Rest, uint32(short))
		}
		crash.Suspects = append(crash.Suspects, encoded)
	}
	return crash
}

func decodeCrash(c *Crash) (peer.CrashReported, error) {
	if err := validateIDs(c.GetHost(), c.GetUpstream()); err != nil {
		return peer.CrashReported{}, err
	}
	if len(c.GetSuspects()) > peer.MaxSuspects {
		return peer.CrashReported{}, errors.Errorf("%d suspects, limit is %d", len(c.GetSuspects()), peer.MaxSuspects)
	}
	reported := peer.CrashReported{
		Host:        ident.HostID(c.GetHost()),
		Upstream:    ident.UpstreamID(c.GetUpstream()),
		Incarnation: ident.Incarnation(c.GetIncarnation()),
		At:          time.Now().Add(-time.Duration(max(0, min(c.GetAge(), maxCrashAge.Microseconds()))) * time.Microsecond),
	}
	rest := 0
	for _, s := range c.GetSuspects() {
		suspect, err := decodeSuspect(s)
		if err != nil {
			return peer.CrashReported{}, err
		}
		if rest += len(suspect.Rest); rest > peer.MaxRest {
			return peer.CrashReported{}, errors.Errorf("%d short fingerprints, limit is %d", rest, peer.MaxRest)
		}
		reported.Suspects = append(reported.Suspects, suspect)
	}
	return reported, nil
}

func decodeSuspect(s *Suspect) (peer.CrashSuspect, error) {
	fingerprints, err := peer.SplitFingerprints(s.GetFingerprints())
	if err != nil {
		return peer.CrashSuspect{}, err
	}
	suspect := peer.CrashSuspect{
		Fingerprints: fingerprints,
		Repeated:     s.GetRepeated(),
	}
	for _, short := range s.GetRest() {
		suspect.Rest = append(suspect.Rest, peer.ShortFingerprint(short))
	}
	if !slices.IsSorted(suspect.Rest) {
		return peer.CrashSuspect{}, errors.Errorf("short fingerprints are not in ascending order")
	}
	return suspect, nil
}

func encodeFingerprintStruck(s peer.FingerprintStruck) *Fingerprint {
	return &Fingerprint{
		Fingerprint: s.Fingerprint[:],
		Strikes:     uint32(max(0, min(s.Strikes, math.MaxInt32))),
		Version:     uint64(s.Version),
	}
}

func decodeFingerprintStruck(f *Fingerprint) (peer.FingerprintStruck, error) {
	struck := peer.FingerprintStruck{
		Strikes: int(min(f.GetStrikes(), math.MaxInt32)),
		Version: kv.Version(f.GetVersion()),
	}
	if len(f.GetFingerprint()) != len(struck.Fingerprint) {
		return struck, errors.Errorf("fingerprint of %d bytes", len(f.GetFingerprint()))
	}
	copy(struck.Fingerprint[:], f.GetFingerprint())
	return struck, nil
}

func encodeDocuments(documents []document.Versioned) ([]*DocumentText, error) {
	var texts []*DocumentText
	for _, v := range documents {
		value, err := document.EncodeStored(document.Stored{
			Current: v,
		})
		if err != nil {
			return nil, err
		}
		texts = append(texts, &DocumentText{
			Service: string(v.Service.Name),
			Value:   value,
		})
	}
	return texts, nil
}

// decodeDocuments skips documents that do not decode, so that the others take
// effect.
func decodeDocuments(texts []*DocumentText) []document.Versioned {
	var documents []document.Versioned
	for _, text := range texts {
		stored, err := document.DecodeStored(ident.ServiceName(text.GetService()), text.GetValue())
		if err == nil {
			documents = append(documents, stored.Current)
		}
	}
	return documents
}

// validateIDs returns an error unless all ids are non-empty, of at most maxIDBytes
// and printable.
func validateIDs(ids ...string) error {
	for _, id := range ids {
		if id == "" || len(id) > maxIDBytes {
			return errors.Errorf("id of %d bytes", len(id))
		}
		for _, r := range id {
			if !unicode.IsPrint(r) {
				return errors.Errorf("id %q", id)
			}
		}
	}
	return nil
}
