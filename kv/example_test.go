package kv_test

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/memkv"
)

// A writer passes the version that it read; a write in between causes a conflict.
func Example() {
	ctx := context.Background()
	var store kv.Store = memkv.New(time.Now)
	write := func(value string, expect kv.Version) kv.Version {
		version, err := store.Put(ctx, kv.Put{
			Key:    "greeting",
			Value:  []byte(value),
			Expect: expect, // 0: the key must be absent
		})
		switch {
		case errors.Is(err, kv.ErrConflict):
			fmt.Println(value, "conflict: read the key again before a retry")
		case errors.Is(err, kv.ErrUncertain):
			fmt.Println(value, "may be written: read the key to find out")
		case err != nil:
			fmt.Println(value, "not written:", err)
		default:
			fmt.Println(value, "written")
		}
		return version
	}
	first := write("hello", 0)
	write("good day", first)
	write("good evening", first)
	// Output:
	// hello written
	// good day written
	// good evening conflict: read the key again before a retry
}
