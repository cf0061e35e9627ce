// Package grpcrelay implements the calls between hosts that forward requests, over the
// gRPC connections of their peer ports.
//
// Locking: Client has no mutable state. A mutex of the Server guards its cached full
// transfer.
package grpcrelay
