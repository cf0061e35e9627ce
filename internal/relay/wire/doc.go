// Package wire defines what the protocols of callers, upstreams and the store
// say, independent of their names and formats.
//
// A Codec translates between these types and the fields of one platform. It
// holds no state and takes no decision.
package wire
