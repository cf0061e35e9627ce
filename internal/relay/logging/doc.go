// Package logging provides a logger that never blocks on its output.
//
// Lines pass through a ring buffer to a goroutine that writes them. Lines that exceed
// the rate limit or overflow the buffer are dropped and counted. The rate limit does
// not apply to warnings and errors.
package logging
