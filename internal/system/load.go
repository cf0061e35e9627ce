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

// loadRequest is one request of a load with its response. Its key is unique.
type loadRequest struct {
	key      string // URI of a read, body of a submission, prompt of a chat
	host     int
	response response
	failure  string // what is wrong with the response, "" if it is correct
}

// load sends submissions alternating with reads or chats until it is stopped.
type load struct {
	deployment  *deployment
	pickHost    func(random *rand.Rand) int // returns the entry host of the next request; 0: send none now
	chats       bool                        // half of the requests are chats, every other one streamed
	reads       bool                        // all requests are reads
	stop        chan struct{}
	workersDone chan int
	workers     int

	mu       sync.Mutex
	finished []loadRequest
}

// startLoad starts the workers of a load.
func startLoad(t *testing.T, l *load) *load {
	t.Logf("seed %d", loadSeed)
	l.stop = make(chan struct{})
	l.workersDone = make(chan int)
	for worker := range l.workers {
		random := rand.New(rand.NewPCG(loadSeed, uint64(worker)))
		go func() {
			for number := 0; ; number++ {
				select {
				case <-l.stop:
					l.workersDone <- worker
					return
				default:
				}
				if host := l.pickHost(random); host > 0 {
					l.add(l.sendOne(host, number, fmt.Sprintf("%d-%d", worker, number)))
				}
			}
		}()
	}
	return l
}

// finish stops the workers and returns the finished requests.
func (l *load) finish() []loadRequest {
	close(l.stop)
	for range l.workers {
		<-l.workersDone
	}
	return l.finished
}

func (l *load) add(w loadRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.finished = append(l.finished, w)
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.finished)
}

// sendOne sends one request, whose kind depends on its number, and checks its
// response.
func (l *load) sendOne(host, number int, name string) loadRequest {
	w := loadRequest{
		host: host,
	}
	var want string
	switch {
	case l.chats && number%2 == 0:
		w.key = "question " + name
		a := l.deployment.sendChat(chatRequest{
			prompt: w.key,
			stream: number%4 == 0,
			host:   host,
		})
		w.failure = checkChat(w.key, a)
		if !a.complete {
			w.failure += " not complete: " + a.detail
		}
		return w
	case l.reads || number%2 == 0:
		w.key = "/standing?n=" + name
		w.response = l.deployment.send(host, http.MethodGet, "/entries-api"+w.key, "")
		want = upstreams.PlainOutput(http.MethodGet, w.key, "")
	default:
		w.key = fmt.Sprintf(`{"submission":%q}`, name)
		w.response = l.deployment.send(host, http.MethodPost, entriesPath, w.key)
		want = upstreams.PlainOutput(http.MethodPost, "/entries", w.key)
	}
	if w.response.err != nil || w.response.status != http.StatusOK || w.response.output() != want {
		w.failure = fmt.Sprintf("status %d, error %v, body %s", w.response.status, w.response.err, w.response.body)
	}
	return w
}

// pickAnyHost picks a random entry host.
func pickAnyHost(random *rand.Rand) int { return 1 + random.IntN(entryHosts) }
