package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Limits describe an engine.
type Limits struct {
	Batch   int           // requests at once
	Queue   int           // requests that may wait
	Memory  int           // tokens
	Step    time.Duration // of a step without requests
	Slot    time.Duration // that each request adds to a step
	Context time.Duration // that 1,000 tokens of running requests add to a step
	Rate    float64       // prompt tokens that are read in a millisecond
	Pairs   time.Duration // for a million pairs of a token that is read and one before it
	First   time.Duration // before the first event
	Chunk   int           // most prompt tokens that are read in a step
	Stride  int           // tokens of an event
	Speed   float64       // time of a step, as a multiple
}

// Request is a request to an engine.
type Request struct {
	Prompt wire.Prompt
	Output int     // tokens that it makes
	Made   int     // tokens that another engine has made before, which are read as well
	Rank   int     // lower ones are more urgent
	From   *Engine // from which parts that it keeps are fetched; nil is none
	Event  func(last bool)
	Broken func() // the engine has crashed

	arrived int // order of arrival
	unread  int // tokens that are still to be read
	held    int // tokens of memory beside the shared parts
	made    int
	parts   []wire.Part // shared parts that are in memory for it
	over    bool
}

// Counts are what an engine has done.
type Counts struct {
	Read      int // prompt tokens
	Again     int // of these, tokens of parts that some engine has read within the reuse time
	Found     int // prompt tokens that were in memory
	Moved     int // prompt tokens that were fetched from another engine
	Preempted int // requests
	Refused   int // requests
}

// reuseTime is how long after its last use a part counts as read again.
const reuseTime = 10 * time.Second

// Parts are the parts of prompts that the engines of a service have used.
type Parts struct {
	used map[wire.PartID]time.Time
}

// NewParts returns parts of which none has been used.
func NewParts() *Parts {
	return &Parts{
		used: make(map[wire.PartID]time.Time),
	}
}

// kept is a part of a prompt in memory.
type kept struct {
	tokens int
	users  int       // running requests
	used   time.Time // at last
}

// Engine is a model engine.
type Engine struct {
	clock   *clock.Clock
	limits  Limits
	running []*Request
	waiting []*Request
	parts   map[wire.PartID]*kept
	known   *Parts
	used    int // tokens of memory
	arrived int
	busy    bool
	life    int // counts the crashes
	down    bool
	Counts  Counts
}

// New returns an engine without requests.
func New(clock *clock.Clock, limits Limits, known *Parts) *Engine {
	return &Engine{
		clock:  clock,
		limits: limits,
		parts:  make(map[wire.PartID]*kept),
		known:  known,
	}
}

// Load returns the requests that run and those that wait.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// SetSpeed changes the time of the steps to come.
func (e *Engine) SetSpeed(speed float64) { e.limits.Speed = speed }

// Submit takes a request; it reports false if the engine is full or down.
func (e *Engine) Submit(r *Request) bool {
	if e.down || len(e.running)+len(e.waiting) >= e.limits.Batch+e.limits.Queue || r.tokens() > e.limits.Memory {
		e.Counts.Refused++
		return false
	}
	e.arrived++
	r.arrived = e.arrived
	r.made = r.Made
	e.wait(r)
	e.step()
	return true
}

// Cancel ends a request.
func (e *Engine) Cancel(r *Request) {
	if r.over {
		return
	}
	r.over = true
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.release(r)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *Request) bool { return other == r })
}

// Crash breaks all requests off; the engine is back after a time and holds nothing.
func (e *Engine) Crash(back time.Duration) {
	broken := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	clear(e.parts)
	e.used = 0
	e.life++
	e.busy = false
	e.down = true
	e.clock.After(back, func() { e.down = false })
	for _, r := range broken {
		r.over = true
		r.Broken()
	}
}

func (r *Request) tokens() int { return r.Prompt.Input + r.Output }

func (e *Engine) wait(r *Request) {
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.arrived, b.arrived))
	})
}

// admit starts requests while there is room for them.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.limits.Batch {
		r := e.waiting[0]
		found := e.found(r.Prompt)
		if r.From != nil {
			found = max(found, r.From.found(r.Prompt))
		}
		fresh := r.Prompt.Input + r.made - found
		if !e.room(fresh, r.Prompt) {
			return
		}
		e.waiting = e.waiting[1:]
		e.begin(r, found)
	}
}

// found returns the tokens of a prompt that are in memory: those of the first
// parts up to the first one that is not.
func (e *Engine) found(prompt wire.Prompt) int {
	found := 0
	for _, part := range prompt.Parts {
		if e.parts[part.ID] == nil {
			break
		}
		found += part.Tokens
	}
	return found
}

// begin takes the memory that a request needs.
func (e *Engine) begin(r *Request, found int) {
	e.running = append(e.running, r)
	r.unread = r.Prompt.Input + r.made - found
	own := e.found(r.Prompt)
	e.Counts.Found += own
	e.Counts.Moved += found - own
	e.Counts.Read += r.unread
	r.held = r.made
	r.parts = nil
	listed := 0
	for _, part := range r.Prompt.Parts {
		listed += part.Tokens
		k := e.parts[part.ID]
		if k == nil {
			if last, ok := e.known.used[part.ID]; ok && listed > found && e.clock.Now().Sub(last) < reuseTime {
				e.Counts.Again += part.Tokens
			}
			k = &kept{
				tokens: part.Tokens,
			}
			e.parts[part.ID] = k
			e.used += part.Tokens
		}
		k.users++
		k.used = e.clock.Now()
		e.known.used[part.ID] = k.used
		r.parts = append(r.parts, part)
	}
	r.held += r.Prompt.Input - listed
	e.used += r.held
}

// release gives back the memory of a request; its parts stay until others need
// their room.
func (e *Engine) release(r *Request) {
	e.used -= r.held
	r.held = 0
	for _, part := range r.parts {
		if k := e.parts[part.ID]; k != nil {
			k.users--
			k.used = e.clock.Now()
		}
	}
	r.parts = nil
}

// room makes room for some tokens by dropping the parts that nobody uses, least
// recently used ones first, but none of the prompt.
func (e *Engine) room(tokens int, prompt wire.Prompt) bool {
	for e.used+tokens > e.limits.Memory {
		var oldest wire.PartID
		var least *kept
		for id, k := range e.parts {
			needed := slices.ContainsFunc(prompt.Parts, func(part wire.Part) bool { return part.ID == id })
			if k.users > 0 || needed {
				continue
			}
			if least == nil || k.used.Before(least.used) || k.used.Equal(least.used) && id < oldest {
				oldest, least = id, k
			}
		}
		if least == nil {
			return false
		}
		e.used -= least.tokens
		delete(e.parts, oldest)
	}
	return true
}

// step runs one step if there is work, and schedules the next one.
func (e *Engine) step() {
	if e.busy || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.busy = true
	took := e.limits.Step
	chunk := e.limits.Chunk
	context := 0
	var making []*Request
	for _, r := range e.running {
		context += r.Prompt.Input + r.made - r.unread
		if r.unread == 0 {
			making = append(making, r)
			took += e.limits.Slot
			continue
		}
		n := min(chunk, r.unread)
		chunk -= n
		took += e.reading(r, n)
		r.unread -= n
	}
	took += time.Duration(float64(context) / 1000 * float64(e.limits.Context))
	life := e.life
	e.clock.After(time.Duration(float64(took)*e.limits.Speed), func() {
		if e.life != life {
			return
		}
		e.busy = false
		for _, r := range making {
			e.token(r)
		}
		e.step()
	})
}

// reading returns the time of reading some more tokens of a prompt.
func (e *Engine) reading(r *Request, tokens int) time.Duration {
	before := r.Prompt.Input + r.made - r.unread
	pairs := float64(tokens) * (float64(before) + float64(tokens)/2) / 1e6
	return time.Duration(float64(tokens)/e.limits.Rate*float64(time.Millisecond) + pairs*float64(e.limits.Pairs))
}

// token makes one token of a request.
func (e *Engine) token(r *Request) {
	if r.over || !slices.Contains(e.running, r) {
		return // it has ended or was preempted meanwhile
	}
	for !e.room(1, wire.Prompt{}) {
		if e.preempt() == r {
			return
		}
	}
	r.made++
	r.held++
	e.used++
	last := r.made >= r.Output
	if last {
		e.Cancel(r)
	}
	switch n := r.made - r.Made; {
	case n == 1:
		e.clock.After(e.limits.First, func() { r.Event(last) })
	case last || n%e.limits.Stride == 1 || e.limits.Stride == 1:
		r.Event(last)
	}
}

// preempt puts the newest of the least urgent requests back, and returns it.
func (e *Engine) preempt() *Request {
	victim := slices.MaxFunc(e.running, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.arrived, b.arrived))
	})
	e.Counts.Preempted++
	e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r == victim })
	e.release(victim)
	e.wait(victim)
	return victim
}
