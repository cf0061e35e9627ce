//go:build review

// Package review starts a small deployment for the cases of the review: the platform's
// store, upstreams and callers are stand-ins in this process, and relay hosts are
// separate processes.
package review
