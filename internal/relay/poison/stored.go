package poison

import (
	"encoding/json"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
)

// storedReport is a report in an entry of the store.
type storedReport struct {
	Upstream    ident.UpstreamID  `json:"upstream"`
	Incarnation ident.Incarnation `json:"incarnation"`
	At          int64             `json:"at"` // milliseconds since the Unix epoch
	Suspects    []storedSuspect   `json:"suspects"`
}

// storedSuspect is a suspect of a report.
type storedSuspect struct {
	Fingerprints []byte `json:"fingerprints"` // concatenated
	Repeated     bool   `json:"repeated"`
}

// EncodeReports returns the value of an entry of the store that holds reports. It returns
// nil if there are none.
func EncodeReports(reports []peer.CrashReported) ([]byte, error) {
	if len(reports) == 0 {
		return nil, nil
	}
	stored := make([]storedReport, 0, len(reports))
	for _, report := range reports {
		s := storedReport{
			Upstream:    report.Upstream,
			Incarnation: report.Incarnation,
			At:          report.At.UnixMilli(),
		}
		for _, suspect := range report.Suspects {
			s.Suspects = append(s.Suspects, storedSuspect{
				Fingerprints: peer.JoinFingerprints(suspect.Fingerprints),
				Repeated:     suspect.Repeated,
			})
		}
		stored = append(stored, s)
	}
	value, err := json.Marshal(stored)
	return value, errors.Annotate(err, "encode reports of crashes")
}

// DecodeReports returns the reports in the value of an entry of the store.
func DecodeReports(value []byte) ([]peer.CrashReported, error) {
	var stored []storedReport
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, errors.Annotate(err, "decode reports of crashes")
	}
	reports := make([]peer.CrashReported, 0, len(stored))
	for _, s := range stored {
		report := peer.CrashReported{
			Upstream:    s.Upstream,
			Incarnation: s.Incarnation,
			At:          time.UnixMilli(s.At),
		}
		for _, suspect := range s.Suspects {
			fingerprints, err := peer.SplitFingerprints(suspect.Fingerprints)
			if err != nil {
				return nil, err
			}
			report.Suspects = append(report.Suspects, peer.CrashSuspect{
				Fingerprints: fingerprints,
				Repeated:     suspect.Repeated,
			})
		}
		reports = append(reports, report)
	}
	return reports, nil
}
