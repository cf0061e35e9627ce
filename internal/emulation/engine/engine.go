package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/emulation/clock"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// Config describes an engine.
type Config struct {
	MaxRunning      int           // requests in the batch
	MaxWaiting      int           // requests in the queue
	Memory          int           // tokens in the KV cache
	StepTime        time.Duration // duration of an empty step
	DecodeTime      time.Duration // added to a step by each request that generates a token
	ContextTime     time.Duration // added to a step by 1,000 tokens in the context of running requests
	ReadRate        float64       // prompt tokens that are read per millisecond
	PairTime        time.Duration // attention time for a million pairs of a token that is read and an earlier one
	FirstEventDelay time.Duration // between the first token and its event
	ChunkTokens     int           // maximum of prompt tokens that are read in a step
	EventTokens     int           // tokens in an event after the first one
	TimeFactor      float64       // multiplies the duration of each step
}

// Request is a request to an engine.
type Request struct {
	Prompt       wire.Prompt
	OutputTokens int             // tokens to generate, including Generated
	Generated    int             // tokens that another engine has generated; they are read like the prompt
	Rank         int             // a lower rank is more urgent
	CacheSource  *Engine         // engine whose cached parts of the prompt are fetched; may be nil
	OnEvent      func(last bool) // called for each event of the response
	OnCrash      func()          // called if the engine crashes before the request ends

	seq       int // order of arrival
	unread    int // tokens that are still to be read
	ownTokens int // tokens in memory outside the parts of the prompt
	generated int
	parts     []wire.Part // parts of the prompt that the running request holds in the cache
	ended     bool
}

// Counts are the totals of an engine since its start.
type Counts struct {
	Read      int // prompt tokens
	Reread    int // of Read, tokens of parts that any engine of the service used in the last reuseTime
	CacheHits int // prompt tokens found in the own cache
	Fetched   int // prompt tokens fetched from another engine
	Preempted int // requests
	Refused   int // requests
}

// reuseTime is the time since the last use of a part within which reading it once
// more counts as rereading.
const reuseTime = 10 * time.Second

// PartUses records when the engines of a service last used each part of a prompt.
type PartUses struct {
	lastUsed map[wire.PartID]time.Time
}

// NewPartUses returns an empty record.
func NewPartUses() *PartUses {
	return &PartUses{
		lastUsed: make(map[wire.PartID]time.Time),
	}
}

// cachedPart is a part of a prompt in the cache.
type cachedPart struct {
	tokens   int
	users    int // running requests that hold the part
	lastUsed time.Time
}

// Engine is an emulated model engine.
type Engine struct {
	clock      *clock.Clock
	config     Config
	running    []*Request
	waiting    []*Request
	cache      map[wire.PartID]*cachedPart
	partUses   *PartUses
	usedMemory int // tokens
	lastSeq    int
	stepping   bool
	crashes    int // invalidates the step that a crash interrupts
	down       bool
	Counts     Counts
}

// New returns an engine without requests. Engines of the same service share partUses.
func New(clock *clock.Clock, config Config, partUses *PartUses) *Engine {
	return &Engine{
		clock:    clock,
		config:   config,
		cache:    make(map[wire.PartID]*cachedPart),
		partUses: partUses,
	}
}

// Load returns the numbers of running and waiting requests.
func (e *Engine) Load() (running, waiting int) { return len(e.running), len(e.waiting) }

// SetTimeFactor sets the factor by which the duration of later steps is multiplied.
func (e *Engine) SetTimeFactor(factor float64) { e.config.TimeFactor = factor }

// Submit queues a request. It returns false and refuses the request if the engine is
// full or down, or if the request needs more than the whole memory.
func (e *Engine) Submit(r *Request) bool {
	if e.down || len(e.running)+len(e.waiting) >= e.config.MaxRunning+e.config.MaxWaiting || r.tokens() > e.config.Memory {
		e.Counts.Refused++
		return false
	}
	e.lastSeq++
	r.seq = e.lastSeq
	r.generated = r.Generated
	e.enqueue(r)
	e.step()
	return true
}

// Cancel ends a request without further events; it does nothing if the request has
// ended.
func (e *Engine) Cancel(r *Request) {
	if r.ended {
		return
	}
	r.ended = true
	if i := slices.Index(e.running, r); i >= 0 {
		e.running = slices.Delete(e.running, i, i+1)
		e.release(r)
	}
	e.waiting = slices.DeleteFunc(e.waiting, func(other *Request) bool { return other == r })
}

// Crash aborts all requests and clears the cache. The engine refuses requests until
// the downtime is over.
func (e *Engine) Crash(downtime time.Duration) {
	aborted := append(e.running, e.waiting...)
	e.running, e.waiting = nil, nil
	clear(e.cache)
	e.usedMemory = 0
	e.crashes++
	e.stepping = false
	e.down = true
	e.clock.After(downtime, func() { e.down = false })
	for _, r := range aborted {
		r.ended = true
		r.OnCrash()
	}
}

func (r *Request) tokens() int { return r.Prompt.Input + r.OutputTokens }

func (e *Engine) enqueue(r *Request) {
	e.waiting = append(e.waiting, r)
	slices.SortStableFunc(e.waiting, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.seq, b.seq))
	})
}

// admit starts waiting requests in order until the batch or the memory is full.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.config.MaxRunning {
		r := e.waiting[0]
		cached := e.cachedTokens(r.Prompt)
		if r.CacheSource != nil {
			cached = max(cached, r.CacheSource.cachedTokens(r.Prompt))
		}
		needed := r.Prompt.Input + r.generated - cached
		if !e.makeRoom(needed, r.Prompt) {
			return
		}
		e.waiting = e.waiting[1:]
		e.start(r, cached)
	}
}

// cachedTokens returns the number of tokens in the longest cached prefix of a prompt.
func (e *Engine) cachedTokens(prompt wire.Prompt) int {
	tokens := 0
	for _, part := range prompt.Parts {
		if e.cache[part.ID] == nil {
			break
		}
		tokens += part.Tokens
	}
	return tokens
}

// start adds a request to the batch and reserves its memory. The engine has or
// fetches the given number of cached tokens.
func (e *Engine) start(r *Request, cached int) {
	e.running = append(e.running, r)
	r.unread = r.Prompt.Input + r.generated - cached
	hits := e.cachedTokens(r.Prompt)
	e.Counts.CacheHits += hits
	e.Counts.Fetched += cached - hits
	e.Counts.Read += r.unread
	r.ownTokens = r.generated
	r.parts = nil
	partTokens := 0
	for _, part := range r.Prompt.Parts {
		partTokens += part.Tokens
		p := e.cache[part.ID]
		if p == nil {
			if used, ok := e.partUses.lastUsed[part.ID]; ok && partTokens > cached && e.clock.Now().Sub(used) < reuseTime {
				e.Counts.Reread += part.Tokens
			}
			p = &cachedPart{
				tokens: part.Tokens,
			}
			e.cache[part.ID] = p
			e.usedMemory += part.Tokens
		}
		p.users++
		p.lastUsed = e.clock.Now()
		e.partUses.lastUsed[part.ID] = p.lastUsed
		r.parts = append(r.parts, part)
	}
	r.ownTokens += r.Prompt.Input - partTokens
	e.usedMemory += r.ownTokens
}

// release frees the memory of a request. The parts of its prompt stay in the cache
// until they are evicted.
func (e *Engine) release(r *Request) {
	e.usedMemory -= r.ownTokens
	r.ownTokens = 0
	for _, part := range r.parts {
		if p := e.cache[part.ID]; p != nil {
			p.users--
			p.lastUsed = e.clock.Now()
		}
	}
	r.parts = nil
}

// makeRoom frees memory for some tokens by evicting the least recently used parts. It
// spares parts that running requests hold and parts of the given prompt, and returns
// false if that leaves too little memory.
func (e *Engine) makeRoom(tokens int, prompt wire.Prompt) bool {
	for e.usedMemory+tokens > e.config.Memory {
		var victimID wire.PartID
		var victim *cachedPart
		for id, p := range e.cache {
			needed := slices.ContainsFunc(prompt.Parts, func(part wire.Part) bool { return part.ID == id })
			if p.users > 0 || needed {
				continue
			}
			if victim == nil || p.lastUsed.Before(victim.lastUsed) || p.lastUsed.Equal(victim.lastUsed) && id < victimID {
				victimID, victim = id, p
			}
		}
		if victim == nil {
			return false
		}
		e.usedMemory -= victim.tokens
		delete(e.cache, victimID)
	}
	return true
}

// step starts a step if none is running and there is work; its end starts the next
// one.
func (e *Engine) step() {
	if e.stepping || e.down {
		return
	}
	e.admit()
	if len(e.running) == 0 {
		return
	}
	e.stepping = true
	duration := e.config.StepTime
	budget := e.config.ChunkTokens
	contextTokens := 0
	var decoding []*Request
	for _, r := range e.running {
		contextTokens += r.Prompt.Input + r.generated - r.unread
		if r.unread == 0 {
			decoding = append(decoding, r)
			duration += e.config.DecodeTime
			continue
		}
		n := min(budget, r.unread)
		budget -= n
		duration += e.readTime(r, n)
		r.unread -= n
	}
	duration += time.Duration(float64(contextTokens) / 1000 * float64(e.config.ContextTime))
	crashes := e.crashes
	e.clock.After(time.Duration(float64(duration)*e.config.TimeFactor), func() {
		if e.crashes != crashes {
			return
		}
		e.stepping = false
		for _, r := range decoding {
			e.generateToken(r)
		}
		e.step()
	})
}

// readTime returns the time to read the next tokens of a prompt.
func (e *Engine) readTime(r *Request, tokens int) time.Duration {
	before := r.Prompt.Input + r.generated - r.unread
	pairs := float64(tokens) * (float64(before) + float64(tokens)/2) / 1e6
	return time.Duration(float64(tokens)/e.config.ReadRate*float64(time.Millisecond) + pairs*float64(e.config.PairTime))
}

// generateToken generates a token of a request. If memory is short, it preempts
// requests, which may include this one.
func (e *Engine) generateToken(r *Request) {
	if r.ended || !slices.Contains(e.running, r) {
		return // ended or preempted since the step began
	}
	for !e.makeRoom(1, wire.Prompt{}) {
		if e.preempt() == r {
			return
		}
	}
	r.generated++
	r.ownTokens++
	e.usedMemory++
	last := r.generated >= r.OutputTokens
	if last {
		e.Cancel(r)
	}
	switch n := r.generated - r.Generated; {
	case n == 1:
		e.clock.After(e.config.FirstEventDelay, func() { r.OnEvent(last) })
	case last || n%e.config.EventTokens == 1 || e.config.EventTokens == 1:
		r.OnEvent(last)
	}
}

// preempt moves the newest of the least urgent running requests back to the queue and
// returns it.
func (e *Engine) preempt() *Request {
	victim := slices.MaxFunc(e.running, func(a, b *Request) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.seq, b.seq))
	})
	e.Counts.Preempted++
	e.running = slices.DeleteFunc(e.running, func(r *Request) bool { return r == victim })
	e.release(victim)
	e.enqueue(victim)
	return victim
}
