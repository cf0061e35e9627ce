// Package logging writes the log lines of a daemon without ever waiting for
// their reader.
//
// Lines go through a ring to a goroutine that writes them; a ring that is full
// and a rate beyond the limit drop lines, which are counted. Warnings and errors
// are not limited by rate.
package logging
