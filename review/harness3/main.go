//go:build review

package main

import (
	"fmt"
	"os"
)

// Results of a case, as exit codes.
const (
	held   = 0
	broken = 1
	failed = 2
)

var cases = map[string]func(d *deployment, trouble bool) (int, error){
	"history":  history,
	"limit":    limit,
	"takeup":   takeup,
	"crowd":    crowd,
	"verdict":  verdict,
	"parts":    parts,
	"releases": releases,
}

// main plays the case that its first argument names, and writes the record to the second.
func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

func play(run func(d *deployment, trouble bool) (int, error), path string) int {
	r, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer r.close()
	d, err := newDeployment(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer d.stop()
	result, err := run(d, os.Getenv("TROUBLE") != "0")
	if err != nil {
		r.say("the case could not run: %v", err)
		return failed
	}
	r.say("result: %s", map[int]string{held: "held", broken: "BROKEN"}[result])
	return result
}
