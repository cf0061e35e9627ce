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

// main plays the case that its first argument names, and writes the record to the second. The
// third one is 0 to leave out the disruption, as TROUBLE=0 does in the scripts, and otherwise 1.
func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil || os.Args[3] != "0" && os.Args[3] != "1" {
		fmt.Fprintln(os.Stderr, "usage: third CASE RECORD 0|1")
		os.Exit(failed)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3] == "1"))
}

func play(run func(d *deployment, trouble bool) (int, error), path string, trouble bool) int {
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
	result, err := run(d, trouble)
	if err != nil {
		r.say("the case could not run: %v", err)
		return failed
	}
	r.say("result: %s", map[int]string{held: "held", broken: "BROKEN"}[result])
	return result
}
