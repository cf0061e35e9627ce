package system

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// soakTime is the time from the start of a plan within which all steps start.
const soakTime = 9 * time.Second

// action is the kind of fault or planned work of a step. Its text is printed with a
// plan.
type action string

// The actions. Those up to reload are planned work, which must not affect callers.
const (
	publish             action = "publish"       // publishes a routing table with or without the extra route
	revoke              action = "revoke"        // revokes or restores an API key
	revokeAll           action = "revoke all"    // revokes all API keys, later restores them
	replace             action = "replace"       // replaces an upstream with a new one and drains it
	withdraw            action = "withdraw"      // replaces an upstream with a new one and removes its registration without draining it
	stop                action = "stop"          // stops a host with SIGTERM and restarts it
	reload              action = "reload"        // changes the settings of a host and sends SIGHUP
	kill                action = "kill"          // kills a host with SIGKILL and restarts it
	killAll             action = "kill all"      // kills and restarts all hosts at the same time
	pause               action = "pause"         // sends SIGSTOP to a host, later SIGCONT
	storeDown           action = "store down"    // the store rejects every call
	storeSlow           action = "store slow"    // the store responds late
	storeDropsResponses action = "store loses"   // writes to the store take effect, but get no response
	storeCompacts       action = "store forgets" // the store discards its change history and ends all watches
	cutStore            action = "cut store"     // one host cannot reach the store
	cutPeers            action = "cut peers"     // other hosts cannot reach one host, or do not get its responses
	slowPeers           action = "slow peers"    // connections from other hosts to one host are slow
	resetPeers          action = "reset peers"   // resets the open connections from other hosts to one host
	failRequests        action = "failing"       // an upstream runs requests and responds with an error
	dropResponses       action = "losing"        // an upstream runs requests and closes the connection
	rejectRequests      action = "refusing"      // an upstream rejects requests
	truncateStreams     action = "breaking"      // an upstream closes connections in the middle of a stream
	crashUpstream       action = "crash"         // an upstream resets connections, and restarts without its state
	cutUpstream         action = "cut"           // an upstream cannot be reached
	muteUpstream        action = "mute"          // open connections to an upstream carry no data any more; new ones work
	resetUpstream       action = "reset"         // resets the open connections to an upstream
	repeatResponses     action = "repeating"     // a slow upstream writes responses once more when the next request arrives
	evacuate            action = "evacuate"      // an operator evacuates a failure domain, later restores it
	deadlyPart          action = "deadly part"   // callers send prompts with a part that crashes engines
)

var actions = []action{
	publish, revoke, revokeAll, replace, withdraw, stop, reload, kill, killAll, pause,
	storeDown, storeSlow, storeDropsResponses, storeCompacts,
	cutStore, cutPeers, slowPeers, resetPeers,
	failRequests, dropResponses, rejectRequests, truncateStreams, crashUpstream, cutUpstream, muteUpstream, resetUpstream, repeatResponses, deadlyPart, evacuate,
}

// planned reports whether the action is planned work, which must not make any
// request fail.
func (a action) planned() bool {
	switch a {
	case publish, revoke, revokeAll, replace, withdraw, stop, reload:
		return true
	default:
		return false
	}
}

// step is one action of a plan.
type step struct {
	At     time.Duration // start, relative to the start of the plan
	Action action
	Target int           // index of the host or upstream, modulo their number
	For    time.Duration // duration, if the action has one
	Share  float64       // strength, if the action has one; for faults of upstreams, the share of requests
}

func (s step) String() string {
	return fmt.Sprintf("%s %s of %d for %s, share %.2f", s.At, s.Action, s.Target, s.For, s.Share)
}

// plan is the list of steps of one soak run.
type plan []step

func (p plan) String() string {
	var lines []string
	for _, s := range p {
		lines = append(lines, s.String())
	}
	return strings.Join(lines, "\n")
}

// planGenerator returns a generator of plans. Their steps may overlap, and half of
// the plans repeat one action several times in a row.
func planGenerator() *rapid.Generator[plan] {
	return rapid.Custom(func(t *rapid.T) plan {
		p := plan(rapid.SliceOfN(stepGenerator(), 4, 14).Draw(t, "steps"))
		if rapid.Bool().Draw(t, "series") {
			repeated := stepGenerator().Draw(t, "repeated")
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

func stepGenerator() *rapid.Generator[step] {
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
