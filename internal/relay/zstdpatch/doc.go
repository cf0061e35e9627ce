// Package zstdpatch encodes a value as a patch of an earlier one: it compresses the value
// with Zstandard and the earlier value as the dictionary. A patch of a table of 700 kB in
// which one route has changed has about 300 bytes.
package zstdpatch
