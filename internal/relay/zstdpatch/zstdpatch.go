package zstdpatch

import (
	"github.com/juju/errors"
	"github.com/klauspost/compress/zstd"

	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// dictionary is the ID of the only dictionary of a patch.
	dictionary = 1
	// window is how far back a patch may refer, in bytes: to the start of the largest base
	// from the end of the largest value.
	window = 2 * kv.MaxValueBytes
)

// Encode returns a patch that turns base into value.
func Encode(base, value []byte) ([]byte, error) {
	encoder, err := zstd.NewWriter(nil,
		zstd.WithEncoderLevel(zstd.SpeedDefault),
		zstd.WithEncoderConcurrency(1),
		zstd.WithLowerEncoderMem(true),
		zstd.WithWindowSize(window),
		zstd.WithEncoderDictRaw(dictionary, base))
	if err != nil {
		return nil, errors.Annotate(err, "encode patch")
	}
	return encoder.EncodeAll(value, nil), nil
}

// Decode returns the value into which a patch turns base. It returns an error if the patch
// is damaged or has another base, or if the value exceeds limit bytes.
func Decode(base, patch []byte, limit int) ([]byte, error) {
	decoder, err := zstd.NewReader(nil,
		zstd.WithDecoderConcurrency(1),
		zstd.WithDecoderLowmem(true),
		zstd.WithDecoderMaxMemory(uint64(limit)),
		zstd.WithDecoderDictRaw(dictionary, base))
	if err != nil {
		return nil, errors.Annotate(err, "decode patch")
	}
	defer decoder.Close()
	value, err := decoder.DecodeAll(patch, nil)
	return value, errors.Annotate(err, "decode patch")
}
