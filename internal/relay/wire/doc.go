// Package wire defines the contents of the protocols of callers, upstreams and the
// store, independent of their field names and formats.
//
// A Codec translates between these types and the fields of one platform. It is
// stateless and makes no decisions.
package wire
