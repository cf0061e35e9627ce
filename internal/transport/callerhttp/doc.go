// Package callerhttp serves the port for callers.
//
// It checks each message before net/http reads it, against request smuggling: a proxy in
// front may end a message at another place, so that a further request is hidden in the
// body. A message is accepted only if it has one reading: a single length or a single
// encoding in chunks, and header lines without control characters and with proper line
// breaks. Anything else is rejected, and the connection is closed. Lines that are folded
// are unfolded first, as RFC 9112 (section 5.2) has it.
//
// A framingReader follows the messages on a connection, so that it knows where each header
// begins. It reads ahead no further than into a small buffer.
//
// Listener.Drain stops a server gracefully. A socket knows whether a byte of a request has
// arrived, read or not, which net/http does not: its Shutdown method takes a connection for
// idle until the whole header has been read.
package callerhttp
