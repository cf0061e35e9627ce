// Package orderhttp gives orders to engines over HTTP and reads their states:
// "GET /orders" answers with the state, "POST /orders" with the header
// Fencing-Number gives an order.
//
// An engine answers an order to load a model when the model is loaded, which can
// take far longer than one tick of a reconciler. Send waits for the answer for a
// short time, in which an engine refuses a stale fencing number; after that the
// load goes on in the background and Actual reports it as loading. A load that
// fails is no longer reported, so the reconciler orders it again.
//
// A Client is safe for concurrent use. One mutex guards the table of loads and
// is not held during calls. Each load has a goroutine that closes a channel of
// its row when it ends; Close cancels all loads and waits for them.
package orderhttp
