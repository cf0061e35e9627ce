package claimhistory

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed")
	if seed.Value.String() == "0" {
		_ = seed.Value.Set(strconv.FormatInt(time.Now().UnixNano(), 10))
	}
	fmt.Printf("rapid.seed %s\n", seed.Value)
	goleak.VerifyTestMain(m)
}
