package grpcrelay

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// packFrom is the least number of changes that are compressed. Registrations
	// of upstreams are much alike: a thousand take a sixth of their size.
	packFrom = 64
	// maxUnpacked bounds what a damaged message may expand to, in bytes.
	maxUnpacked = 64 << 20
)

// pack compresses changes.
func pack(changes []*Change) ([]byte, error) {
	encoded, err := proto.Marshal(&Changes{
		Changes: changes,
	})
	if err != nil {
		return nil, errors.Annotate(err, "encode changes")
	}
	var packed bytes.Buffer
	writer, err := flate.NewWriter(&packed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compress changes")
	}
	if _, err := writer.Write(encoded); err != nil {
		return nil, errors.Annotate(err, "compress changes")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "compress changes")
	}
	return packed.Bytes(), nil
}

// unpack reverses pack.
func unpack(packed []byte) ([]*Change, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	encoded, err := io.ReadAll(io.LimitReader(reader, maxUnpacked+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress changes")
	}
	if len(encoded) > maxUnpacked {
		return nil, errors.Errorf("changes exceed %d bytes", maxUnpacked)
	}
	var changes Changes
	if err := proto.Unmarshal(encoded, &changes); err != nil {
		return nil, errors.Annotate(err, "decode changes")
	}
	return changes.GetChanges(), nil
}
