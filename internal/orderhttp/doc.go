// Package orderhttp sends orders to engines over HTTP and reads their states.
// "GET /orders" returns the state of an engine; "POST /orders" with the header
// Fencing-Number sends it an order.
//
// An engine responds to a load order only when the model is loaded, which can
// take far longer than one tick of a reconciler. Send waits for the response for
// Config.AcceptAfter, within which an engine rejects a stale fencing number. After
// that the load continues in the background and Actual reports it as loading. A
// load that has failed is no longer reported, so the reconciler orders it again.
//
// A Client is safe for concurrent use. One mutex guards the table of loads and is
// not held during calls. Each load has a goroutine that closes the done channel of
// the load at its end; Close cancels all loads and waits for them.
package orderhttp
