package deflate_test

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/deflate"
)

// Guards against data that is changed, and against a small message that exhausts the
// memory of its receiver.
func TestDecompress(t *testing.T) {
	tests := map[string]struct {
		data  []byte
		limit int
		fails bool
	}{
		"empty":           {data: []byte{}, limit: 10},
		"up to the limit": {data: []byte("0123456789"), limit: 10},
		"over the limit":  {data: []byte("0123456789x"), limit: 10, fails: true},
		"highly packed":   {data: make([]byte, 64<<20), limit: 1 << 20, fails: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			compressed, err := deflate.Compress(test.data)
			c.Assert(err, qt.IsNil)
			data, err := deflate.Decompress(compressed, test.limit)
			c.Assert(err != nil, qt.Equals, test.fails)
			if !test.fails {
				c.Check(bytes.Equal(data, test.data), qt.IsTrue)
			}
		})
	}
}
