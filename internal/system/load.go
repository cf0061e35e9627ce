package system

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"

	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

const loadSeed = 13

// work is one request of a load and its reply. Its key is unique.
type work struct {
	key   string // URI of a read, body of an entry
	host  int
	reply reply
	flaw  string // what is wrong with the reply, "" if nothing is
}

// load sends reads, entries and streams until it is stopped.
type load struct {
	deployment *deployment
	pick       func(random *rand.Rand) int // entry host for the next request; 0: none
	chats      bool                        // part of the requests are streams
	reads      bool                        // all requests are reads
	stop       chan struct{}
	ended      chan int
	workers    int

	mu   sync.Mutex
	done []work
}

// startLoad starts the workers of a load.
func startLoad(t *testing.T, l *load) *load {
	t.Logf("seed %d", loadSeed)
	l.stop = make(chan struct{})
	l.ended = make(chan int)
	for worker := range l.workers {
		random := rand.New(rand.NewPCG(loadSeed, uint64(worker)))
		go func() {
			for number := 0; ; number++ {
				select {
				case <-l.stop:
					l.ended <- worker
					return
				default:
				}
				if host := l.pick(random); host > 0 {
					l.add(l.one(host, number, fmt.Sprintf("%d-%d", worker, number)))
				}
			}
		}()
	}
	return l
}

// finish stops the workers and returns the replies.
func (l *load) finish() []work {
	close(l.stop)
	for range l.workers {
		<-l.ended
	}
	return l.done
}

func (l *load) add(w work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.done = append(l.done, w)
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.done)
}

// one sends one request and checks its reply.
func (l *load) one(host, number int, name string) work {
	w := work{
		host: host,
	}
	var want string
	switch {
	case l.chats && number%2 == 0:
		w.key = "question " + name
		a := l.deployment.chat(chat{
			prompt: w.key,
			stream: number%4 == 0,
			host:   host,
		})
		w.flaw = flaw(w.key, a)
		if !a.complete {
			w.flaw += " not complete: " + a.detail
		}
		return w
	case l.reads || number%2 == 0:
		w.key = "/standing?n=" + name
		w.reply = l.deployment.send(host, http.MethodGet, "/entries-api"+w.key, "")
		want = upstreams.PlainOutput(http.MethodGet, w.key, "")
	default:
		w.key = fmt.Sprintf(`{"submission":%q}`, name)
		w.reply = l.deployment.send(host, http.MethodPost, enterPath, w.key)
		want = upstreams.PlainOutput(http.MethodPost, "/entries", w.key)
	}
	if w.reply.err != nil || w.reply.status != http.StatusOK || w.reply.output() != want {
		w.flaw = fmt.Sprintf("status %d, error %v, body %s", w.reply.status, w.reply.err, w.reply.body)
	}
	return w
}

// anyHost picks any entry host.
func anyHost(random *rand.Rand) int { return 1 + random.IntN(entries) }
