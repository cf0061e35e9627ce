package zstdpatch_test

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"slices"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/zstdpatch"
)

const maxValue = 1 << 20

// text returns n lines that do not resemble each other.
func text(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, "%x\n", sha256.Sum256([]byte{byte(i), byte(i >> 8)}))
	}
	return b.Bytes()
}

// Guards against a patch that does not restore the value, that is as large as the value, or
// that is accepted with another base.
func TestPatch(t *testing.T) {
	base := text(8000)
	tests := map[string]struct {
		base, value []byte
		maxBytes    int
	}{
		"equal":       {base: base, value: base, maxBytes: 1000},
		"insertion":   {base: base, value: slices.Concat(base[:200_000], []byte("new"), base[200_000:]), maxBytes: 1000},
		"removal":     {base: base, value: slices.Concat(base[:100], base[50_000:]), maxBytes: 1000},
		"much larger": {base: base[:100], value: base, maxBytes: len(base)},
		"empty value": {base: base, maxBytes: 100},
		"empty base":  {value: base, maxBytes: len(base)},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			patch, err := zstdpatch.Encode(test.base, test.value)
			c.Assert(err, qt.IsNil)
			c.Check(len(patch) <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", len(patch)))
			value, err := zstdpatch.Decode(test.base, patch, maxValue)
			c.Assert(err, qt.IsNil)
			c.Check(bytes.Equal(value, test.value), qt.IsTrue)
			other, err := zstdpatch.Decode(text(10), patch, maxValue)
			c.Check(err != nil || bytes.Equal(other, test.value), qt.IsTrue)
		})
	}
}

// Guards against a damaged patch that crashes a host or fills its memory.
func FuzzDecode(f *testing.F) {
	base := text(10)
	patch, err := zstdpatch.Encode(base, text(20))
	if err != nil {
		f.Fatal(err)
	}
	f.Add(patch)
	f.Add(patch[:len(patch)/2])
	f.Add([]byte("no patch"))
	f.Fuzz(func(t *testing.T, patch []byte) {
		value, err := zstdpatch.Decode(base, patch, maxValue)
		if err == nil && len(value) > maxValue {
			t.Fatalf("%d bytes", len(value))
		}
	})
}
