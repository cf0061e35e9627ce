package httpkv

import (
	"encoding/json"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
)

// response is a response of the service with status 200.
type response struct {
	epoch kv.Epoch
	body  []byte
}

// observeEpoch records the epoch of a response.
func (s *Store) observeEpoch(epoch kv.Epoch) {
	for {
		current := s.epoch.Load()
		if uint64(epoch) <= current || s.epoch.CompareAndSwap(current, uint64(epoch)) {
			return
		}
	}
}

// isEarlier reports whether a version is of an earlier epoch than the latest response.
func (s *Store) isEarlier(version kv.Version) bool {
	return version != 0 && uint64(kv.EpochOf(version)) < s.epoch.Load()
}

// inEpoch returns the version or cursor of a revision in the epoch of a response.
func inEpoch[T kv.Numbered](r response, revision T) (T, error) {
	if revision > kv.MaxRevision {
		return 0, errors.NotValidf("revision %d", revision)
	}
	return kv.InEpoch(r.epoch, revision), nil
}

func (s *Store) decodeEntry(r response) (kv.Entry, error) {
	entry, err := s.protocol.Entry(r.body)
	if err != nil {
		return kv.Entry{}, err
	}
	entry.Version, err = inEpoch(r, entry.Version)
	return entry, err
}

func (s *Store) decodePage(r response) (kv.Page, error) {
	page, err := s.protocol.Page(r.body)
	if err != nil {
		return kv.Page{}, err
	}
	for i := range page.Entries {
		entry := &page.Entries[i]
		if entry.Version, err = inEpoch(r, entry.Version); err != nil {
			return kv.Page{}, err
		}
	}
	page.Cursor, err = inEpoch(r, page.Cursor)
	return page, err
}

func (s *Store) decodeChanges(r response) (kv.Changes, error) {
	changes, err := s.protocol.Changes(r.body)
	if err != nil {
		return kv.Changes{}, err
	}
	for i := range changes.Changes {
		entry := &changes.Changes[i].Entry
		if entry.Version, err = inEpoch(r, entry.Version); err != nil {
			return kv.Changes{}, err
		}
	}
	changes.Cursor, err = inEpoch(r, changes.Cursor)
	return changes, err
}

// decodeVersion decodes the response to a write. Zero, which a version is if its field is
// missing, is not valid.
func (s *Store) decodeVersion(r response) (kv.Version, error) {
	version, err := s.protocol.Version(r.body)
	if err != nil {
		return 0, err
	}
	if version == 0 {
		return 0, errors.NotFoundf("version in response")
	}
	return inEpoch(r, version)
}

// decodeLease decodes a granted lease. Zero, which it is if its field is missing, is not
// valid.
func (s *Store) decodeLease(r response) (kv.LeaseID, error) {
	lease, err := s.protocol.Lease(r.body)
	if err == nil && lease == 0 {
		err = errors.NotFoundf("lease in response")
	}
	return lease, err
}

// decodeEmpty decodes a response whose fields are not used. A body that is not a
// JSON object does not come from the service.
func decodeEmpty(r response) (struct{}, error) {
	var fields map[string]json.RawMessage
	return struct{}{}, json.Unmarshal(r.body, &fields)
}
