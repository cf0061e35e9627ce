package httpkv_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/standin/platform"
	"github.com/nutmegshift/nutmegshift/kv"
	"github.com/nutmegshift/nutmegshift/kv/httpkv"
)

// Two writes create the same key over HTTP; the second gets a conflict.
func Example() {
	service := httptest.NewServer(platform.New(platform.Config{
		Now: time.Now,
	}).Handler())
	defer service.Close()
	store := httpkv.New(httpkv.Config{
		Address: ident.Address(strings.TrimPrefix(service.URL, "http://")),
		Client:  &http.Client{},
		Limit:   2 * time.Second,  // timeout of a call
		Wait:    20 * time.Second, // time after which the service ends a watch without changes
	})
	for _, value := range []string{"first", "second"} {
		_, err := store.Put(context.Background(), kv.Put{
			Key:   "a",
			Value: []byte(value),
		})
		fmt.Println(value, "conflict:", errors.Is(err, kv.ErrConflict))
	}
	// Output:
	// first conflict: false
	// second conflict: true
}
