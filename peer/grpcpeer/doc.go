// Package grpcpeer carries the messages of package peer, and those of claims,
// documents and strikes, between entry hosts over gRPC.
//
// Every request and reply carries a stamp of the sender's hybrid logical clock,
// which the receiver observes unless it is too far ahead. Every call has a
// deadline. Messages are validated before they reach a Handler, and one with an
// invalid value is rejected as a whole.
//
// Locking: Client has one mutex for its connections, which is not held during a
// call. Server and Runner have none.
package grpcpeer
