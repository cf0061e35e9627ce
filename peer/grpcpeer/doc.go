// Package grpcpeer carries the messages of package peer, and those of claims,
// documents and strikes, between entry hosts over gRPC.
//
// Every message carries the hybrid time of its sender, which the receiver
// observes unless it is too far ahead. Every call has a deadline. A message
// that does not decode to sound values is refused as a whole, so nothing that
// arrives on the port reaches a handler unchecked.
//
// Locking: Client has one mutex for its connections, which is not held during a
// call. Server and Runner have none.
package grpcpeer
