package deflate

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"
)

// Compress compresses data. Equal data gives equal results.
func Compress(data []byte) ([]byte, error) {
	var compressed bytes.Buffer
	writer, err := flate.NewWriter(&compressed, flate.BestSpeed)
	if err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	if _, err := writer.Write(data); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	if err := writer.Close(); err != nil {
		return nil, errors.Annotate(err, "compress")
	}
	return compressed.Bytes(), nil
}

// Decompress returns the data that was compressed. It returns an error if the data is
// damaged or exceeds limit bytes.
func Decompress(compressed []byte, limit int) ([]byte, error) {
	reader := flate.NewReader(bytes.NewReader(compressed))
	data, err := io.ReadAll(io.LimitReader(reader, int64(limit)+1))
	if err != nil {
		return nil, errors.Annotate(err, "decompress")
	}
	if len(data) > limit {
		return nil, errors.Errorf("decompressed data exceeds %d bytes", limit)
	}
	return data, nil
}
