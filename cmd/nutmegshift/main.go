// Command nutmegshift runs the daemons of entry hosts and relays and the operators'
// tools.
package main

import (
	"context"
	"os"

	"github.com/nutmegshift/nutmegshift/internal/command"
)

func main() {
	os.Exit(command.Run(context.Background(), os.Args, os.Stdout, os.Stderr))
}
