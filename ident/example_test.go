package ident_test

import (
	"fmt"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Ids of different kinds have different types, so mixing them is a compile error.
func Example() {
	route := func(host ident.HostID, to ident.UpstreamID, at ident.Address) {
		fmt.Printf("%s sends to %s at %s\n", host, to, at)
	}
	route("host-1", "engine-1", "127.0.0.1:9000")

	former, later := ident.FencingNumber(7), ident.FencingNumber(9)
	fmt.Println("order of the former holder is stale:", former < later)
	// Output:
	// host-1 sends to engine-1 at 127.0.0.1:9000
	// order of the former holder is stale: true
}
