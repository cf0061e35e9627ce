package system

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"

	"github.com/nutmegshift/nutmegshift/internal/standin/upstreams"
)

const (
	answerSeed   = 11
	chats        = 80
	chatWorkers  = 10
	engineTokens = 24 // of the layout's engines
	poison       = "poison"
)

// chat is one chat request; its prompt is unique.
type chat struct {
	prompt string
	stream bool
	host   int
}

// answer is what a caller makes of the reply to a chat.
type answer struct {
	text     string
	complete bool   // ended as a complete answer
	failed   bool   // ended as a visible error
	detail   string // of the error
	request  string
}

func (d *deployment) chat(c chat) answer {
	body, err := json.Marshal(map[string]any{
		"stream": c.stream,
		"messages": []map[string]string{{
			"role":    "user",
			"content": c.prompt,
		}},
	})
	if err != nil {
		return answer{
			detail: err.Error(),
		}
	}
	return read(d.send(c.host, http.MethodPost, chatPath, string(body)))
}

// read reads a reply as a caller does.
func read(r reply) answer {
	a := answer{
		request: r.request,
	}
	switch {
	case strings.HasPrefix(r.kind, "text/event-stream"):
		a.readStream(string(r.body))
	case r.err == nil && r.status == http.StatusOK:
		var whole completion
		a.complete = json.Unmarshal(r.body, &whole) == nil && len(whole.Choices) == 1
		if a.complete {
			a.text = whole.Choices[0].Message.Content
		}
	case r.err == nil:
		a.failed = r.ran() != nil
		a.detail = string(r.body)
	}
	if r.err != nil {
		a.complete = false
		a.detail = r.err.Error()
	}
	return a
}

type completion struct {
	Choices []struct {
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (a *answer) readStream(text string) {
	for event := range strings.SplitSeq(text, "\n\n") {
		kind, data := "", ""
		for line := range strings.Lines(event) {
			line = strings.TrimSuffix(line, "\n")
			if value, ok := strings.CutPrefix(line, "event: "); ok {
				kind = value
			}
			if value, ok := strings.CutPrefix(line, "data: "); ok {
				data = value
			}
		}
		var part completion
		switch {
		case kind == "error":
			a.failed = true
			a.detail = data
		case data == "[DONE]":
			a.complete = true
		case json.Unmarshal([]byte(data), &part) == nil && len(part.Choices) == 1:
			a.text += part.Choices[0].Delta.Content
		}
	}
}

// expected returns the whole answer to a prompt.
func expected(prompt string) string {
	for _, kind := range []upstreams.PoolKind{upstreams.Encoder, upstreams.Retriever, upstreams.Reranker} {
		prompt = upstreams.PoolOutput(kind, prompt)
	}
	return upstreams.EngineOutput(prompt, engineTokens)
}

// flaw returns what is wrong with the answer to a prompt, "" if nothing is.
func flaw(prompt string, a answer) string {
	want := expected(prompt)
	switch {
	case a.complete && a.failed:
		return "both complete and failed"
	case a.complete && a.text != want:
		return fmt.Sprintf("complete, but not the whole answer: %q", a.text)
	case !a.complete && !a.failed:
		return "ends without [DONE] and without an error: " + a.detail
	case !strings.HasPrefix(want, a.text):
		return fmt.Sprintf("text of another answer: %q", a.text)
	}
	return ""
}

// ended is a chat with its answer.
type ended struct {
	chat
	answer
}

// converse sends the chats from several goroutines and returns their ends.
func (d *deployment) converse(t *testing.T, poisoned bool) []ended {
	t.Logf("seed %d", answerSeed)
	random := rand.New(rand.NewPCG(answerSeed, 0))
	jobs := make(chan chat, chats)
	for i := range chats {
		c := chat{
			prompt: fmt.Sprintf("question %d-%x", i, random.Uint64()),
			stream: random.IntN(2) == 0,
			host:   1 + random.IntN(entries),
		}
		if poisoned && i%10 == 5 {
			c.prompt += " " + poison
		}
		jobs <- c
	}
	close(jobs)
	ends := make(chan ended, chats)
	workers := make(chan int)
	for worker := range chatWorkers {
		go func() {
			for c := range jobs {
				ends <- ended{
					chat:   c,
					answer: d.chat(c),
				}
			}
			workers <- worker
		}()
	}
	for range chatWorkers {
		<-workers
	}
	close(ends)
	var all []ended
	for e := range ends {
		all = append(all, e)
	}
	return all
}
