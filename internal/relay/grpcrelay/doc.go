// Package grpcrelay carries the calls between hosts that forward requests, over
// the gRPC connections of their peer ports.
//
// Locking: Client and Server have no mutable state.
package grpcrelay
