package system

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// soakTime is how long faults begin.
const soakTime = 9 * time.Second

// action is what a step does.
type action string

// The actions. Those up to reload are planned work, of which callers must notice
// nothing.
const (
	publish      action = "publish"       // a routing table with another set of routes
	revoke       action = "revoke"        // a key is taken away, or given back
	replace      action = "replace"       // an upstream is replaced by a new one and drains
	stop         action = "stop"          // SIGTERM and a new start
	reload       action = "reload"        // SIGHUP with changed settings
	kill         action = "kill"          // SIGKILL and a new start
	killAll      action = "kill all"      // the same, all hosts at once
	pause        action = "pause"         // SIGSTOP, then SIGCONT
	storeDown    action = "store down"    // it refuses every call
	storeSlow    action = "store slow"    // its answers are late
	storeLoses   action = "store loses"   // writes take effect without an answer
	storeForgets action = "store forgets" // its history is dropped, and watches are cut
	cutStore     action = "cut store"     // one host does not reach the store
	cutPeers     action = "cut peers"     // other hosts do not reach one host, or its answers are lost
	slowPeers    action = "slow peers"    // what others send to one host is late
	resetPeers   action = "reset peers"
	failing      action = "failing"  // an upstream fails a part of its requests
	losing       action = "losing"   // it runs them and closes the connection
	refusing     action = "refusing" // it refuses them
	breaking     action = "breaking" // it breaks streams off
	crash        action = "crash"    // it accepts no connection, and has forgotten all when it is back
	cutUpstream  action = "cut"      // it is not reached
	muteUpstream action = "mute"     // its open connections are silent for good
	resetConns   action = "reset"    // its open connections are reset
)

var actions = []action{
	publish, revoke, replace, stop, reload, kill, killAll, pause,
	storeDown, storeSlow, storeLoses, storeForgets,
	cutStore, cutPeers, slowPeers, resetPeers,
	failing, losing, refusing, breaking, crash, cutUpstream, muteUpstream, resetConns,
}

// planned reports whether the action must not harm any request.
func (a action) planned() bool {
	switch a {
	case publish, revoke, replace, stop, reload:
		return true
	default:
		return false
	}
}

// step is one fault or change.
type step struct {
	At     time.Duration // after the start of the load
	Action action
	Target int           // host or upstream, modulo their number
	For    time.Duration // how long it lasts, where it does
	Share  float64       // of the requests, where it applies
}

func (s step) String() string {
	return fmt.Sprintf("%s %s of %d for %s, share %.2f", s.At, s.Action, s.Target, s.For, s.Share)
}

// plan is what happens in a run.
type plan []step

func (p plan) String() string {
	var lines []string
	for _, s := range p {
		lines = append(lines, s.String())
	}
	return strings.Join(lines, "\n")
}

// plans generates plans. Steps overlap, and half of the plans have a series of
// one action.
func plans() *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan(rapid.SliceOfN(steps(), 4, 14).Draw(t, "steps"))
		if rapid.Bool().Draw(t, "series") {
			repeated := steps().Draw(t, "repeated")
			gap := time.Duration(rapid.IntRange(1, 15).Draw(t, "gap")) * 100 * time.Millisecond
			for i := range rapid.IntRange(2, 5).Draw(t, "times") {
				next := repeated
				next.At = min(repeated.At+time.Duration(i)*gap, soakTime)
				next.Target += i
				p = append(p, next)
			}
		}
		return p
	})
}

func steps() *rapid.Generator[step] {
	return rapid.Custom(func(t *rapid.T) step {
		return step{
			At:     time.Duration(rapid.IntRange(0, int(soakTime/time.Millisecond)/100).Draw(t, "at")) * 100 * time.Millisecond,
			Action: rapid.SampledFrom(actions).Draw(t, "action"),
			Target: rapid.IntRange(0, 5).Draw(t, "target"),
			For:    time.Duration(rapid.IntRange(2, 30).Draw(t, "for")) * 100 * time.Millisecond,
			Share:  float64(rapid.IntRange(1, 10).Draw(t, "share")) / 10,
		}
	})
}
