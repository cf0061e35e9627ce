//go:build review

package main

import (
	"fmt"
	"os"
)

// verdict is the outcome of a case.
type verdict struct {
	broken bool
	text   string
}

// cases holds the cases by the names of their folders. Trouble is false if the case runs
// without its disruption.
var cases = map[string]func(l *lab, trouble bool) (verdict, error){}

// couldNotRun is the exit status of a case that could not run.
const couldNotRun = 2

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE, in the root of the repository")
		return couldNotRun
	}
	name := os.Args[1]
	l, err := newLab("review/" + name)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	defer l.close()
	trouble := os.Getenv("TROUBLE") != "0"
	l.note("case %s, with its disruption: %t", name, trouble)
	result, err := cases[name](l, trouble)
	l.noteRuns()
	if err != nil {
		l.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return couldNotRun
	}
	l.note("%s", result.text)
	fmt.Println(result.text)
	if result.broken {
		return 1
	}
	return 0
}
