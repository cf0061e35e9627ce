//go:build review

package review

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	statusHeld   = 0
	statusBroken = 1
	statusError  = 2
)

// maxLength is the longest time that a case may take.
const maxLength = 110 * time.Second

// Case is one case of the review. It returns what broke the rule, or an empty text if the
// rule held. The disruption takes place only if trouble is set.
type Case func(ctx context.Context, d *Deployment, trouble bool) (broken string, err error)

// Main runs a case in the folder that the first argument names, and exits.
func Main(run Case) {
	os.Exit(runCase(run))
}

func runCase(run Case) int {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: case FOLDER")
		return statusError
	}
	ctx, cancel := context.WithTimeout(context.Background(), maxLength)
	defer cancel()
	ctx, release := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer release()
	trouble := os.Getenv("TROUBLE") != "0"
	d, err := New(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusError
	}
	d.Record.Printf("case starts, disruption: %t", trouble)
	broken, err := run(ctx, d, trouble)
	d.Close()
	status := statusHeld
	switch {
	case err != nil:
		d.Record.Printf("case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		status = statusError
	case broken != "":
		d.Record.Printf("rule broken: %s", broken)
		fmt.Println("rule broken:", broken)
		status = statusBroken
	default:
		d.Record.Printf("rule held")
		fmt.Println("rule held")
	}
	if err := d.Record.Close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusError
	}
	return status
}
