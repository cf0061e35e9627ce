//go:build review

// Command third plays the cases of the third review that are scripts, 11 to 14. It starts relays as
// separate processes on loopback addresses, with stand-ins of the platform's store, of engines
// and of clients in its own process, and checks one rule by what these have seen.
package main
