// Package tcp serves TCP connections whose handler writes each byte itself, for tests of
// responses that no HTTP server writes.
package tcp
