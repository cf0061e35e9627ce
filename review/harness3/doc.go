//go:build review

// Command harness3 plays the cases of the third review that are scripts. It starts relays as
// separate processes on loopback addresses, with stand-ins of the platform's store, of engines
// and of clients in its own process, and checks one rule by what these have seen.
package main
