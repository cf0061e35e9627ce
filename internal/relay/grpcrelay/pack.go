package grpcrelay

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"
)

const (
	// minPackedChanges is the lowest number of changes that are compressed. Registrations
	// of upstreams are similar: compression reduces a thousand of them to a sixth
	// of their size.
	minPackedChanges = 64
	// maxUnpackedBytes limits the decompressed size of a damaged message.
	maxUnpackedBytes = 64 << 20
)

// pack encodes and compresses changes.
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

// unpack decodes the result of pack. It returns an error if the decompressed size exceeds
// maxUnpackedBytes.
func unpack(packed []byte) ([]*Change, error) {
	reader := flate.NewReader(bytes.NewReader(packed))
	encoded, err := io.ReadAll(io.LimitReader(reader, maxUnpackedBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress changes")
	}
	if len(encoded) > maxUnpackedBytes {
		return nil, errors.Errorf("changes exceed %d bytes", maxUnpackedBytes)
	}
	var changes Changes
	if err := proto.Unmarshal(encoded, &changes); err != nil {
		return nil, errors.Annotate(err, "decode changes")
	}
	return changes.GetChanges(), nil
}
