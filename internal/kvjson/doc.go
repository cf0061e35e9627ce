// Package kvjson defines the messages of the key-value service's HTTP protocol,
// which the client adapter and the stand-in share. Values travel as base64.
// It holds no state.
//
// A call that fails is answered with an Error. Its status determines the error:
// 404 not found, 409 conflict, 410 cursor compacted, 412 lease lost, 413 value
// too large, 429 and 503 unavailable without effect.
package kvjson
