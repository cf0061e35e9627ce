package grpcrelay

import (
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/internal/relay/deflate"
)

const (
	// minPackedBytes is the size of changes from which they are compressed. Registrations
	// of upstreams are similar, and so are the routes of a table: compression reduces a
	// thousand of them to a sixth of their size.
	minPackedBytes = 8 << 10
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
	return deflate.Compress(encoded)
}

// unpack decodes the result of pack. It returns an error if the decompressed size exceeds
// maxUnpackedBytes.
func unpack(packed []byte) ([]*Change, error) {
	encoded, err := deflate.Decompress(packed, maxUnpackedBytes)
	if err != nil {
		return nil, err
	}
	var changes Changes
	if err := proto.Unmarshal(encoded, &changes); err != nil {
		return nil, errors.Annotate(err, "decode changes")
	}
	return changes.GetChanges(), nil
}
