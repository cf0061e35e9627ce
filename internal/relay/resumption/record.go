package resumption

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
)

// maxRecordBytes is the largest record of a host. One with more streams is cut.
const maxRecordBytes = 256 << 10

// record is an entry of the store with the streams of one host. A stream with two releases
// may have been begun by either.
type record map[ident.ServiceName]map[fleet.Release][]ident.RequestID

// encodeRecord encodes streams, of which it leaves out those that exceed maxRecordBytes.
func encodeRecord(streams map[Stream][]fleet.Release) ([]byte, error) {
	r := make(record)
	size := 0
	for stream, releases := range streams {
		size += len(releases) * (len(stream.Origin) + len(`"",`))
		if size > maxRecordBytes {
			break
		}
		for _, release := range releases {
			r.add(stream, release)
		}
	}
	return json.Marshal(r)
}

func (r record) add(stream Stream, release fleet.Release) {
	releases := r[stream.Service]
	if releases == nil {
		releases = make(map[fleet.Release][]ident.RequestID)
		r[stream.Service] = releases
	}
	releases[release] = append(releases[release], stream.Origin)
}

// decodeRecord adds the streams of a record to those of others.
func decodeRecord(value []byte, streams map[Stream][]fleet.Release) error {
	var r record
	if err := json.Unmarshal(value, &r); err != nil {
		return errors.Annotate(err, "decode streams of a host")
	}
	for service, releases := range r {
		for _, release := range slices.Sorted(maps.Keys(releases)) {
			for _, origin := range releases[release] {
				stream := Stream{
					Origin:  origin,
					Service: service,
				}
				if !slices.Contains(streams[stream], release) {
					streams[stream] = append(streams[stream], release)
				}
			}
		}
	}
	return nil
}
