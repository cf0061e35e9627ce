// Package claimpb holds the protobuf messages, generated from claim.proto, that
// package claim stores.
package claimpb
