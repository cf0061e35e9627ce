// Package kvjson defines the messages of the key-value service's HTTP protocol,
// which the client adapter and the stand-in share. Values are encoded as base64.
// The package holds no state.
//
// The response to a failed call is an Error. The status of the response
// determines the error: 404 not found, 409 conflict, 410 cursor compacted, 412
// lease lost, 413 value too large, 429 and 503 unavailable without effect.
package kvjson
