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
	chatSeed     = 11
	chatCount    = 80
	chatWorkers  = 10
	engineTokens = 24       // tokens per response of the layout's engines
	poison       = "poison" // crashes the engines if a prompt contains it
)

// chatRequest is one chat request, sent through an entry host. Its prompt is unique.
type chatRequest struct {
	prompt string
	stream bool
	host   int
}

// chatResult is the result of a chat request as its caller sees it.
type chatResult struct {
	text      string
	complete  bool   // ended as a complete response
	failed    bool   // ended with a visible error
	detail    string // error text
	requestID string
}

func (d *deployment) sendChat(c chatRequest) chatResult {
	body, err := json.Marshal(map[string]any{
		"stream": c.stream,
		"messages": []map[string]string{{
			"role":    "user",
			"content": c.prompt,
		}},
	})
	if err != nil {
		return chatResult{
			detail: err.Error(),
		}
	}
	return parseChat(d.send(c.host, http.MethodPost, chatPath, string(body)))
}

// parseChat parses a response as a caller does.
func parseChat(r response) chatResult {
	a := chatResult{
		requestID: r.requestID,
	}
	switch {
	case strings.HasPrefix(r.contentType, "text/event-stream"):
		a.parseStream(string(r.body))
	case r.err == nil && r.status == http.StatusOK:
		var decoded completion
		a.complete = json.Unmarshal(r.body, &decoded) == nil && len(decoded.Choices) == 1
		if a.complete {
			a.text = decoded.Choices[0].Message.Content
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

func (a *chatResult) parseStream(text string) {
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
		var chunk completion
		switch {
		case kind == "error":
			a.failed = true
			a.detail = data
		case data == "[DONE]":
			a.complete = true
		case json.Unmarshal([]byte(data), &chunk) == nil && len(chunk.Choices) == 1:
			a.text += chunk.Choices[0].Delta.Content
		}
	}
}

// expectedText returns the full text of the response to a prompt.
func expectedText(prompt string) string {
	for _, kind := range []upstreams.PoolKind{upstreams.Encoder, upstreams.Retriever, upstreams.Reranker} {
		prompt = upstreams.PoolOutput(kind, prompt)
	}
	return upstreams.EngineOutput(prompt, engineTokens)
}

// checkChat returns what is wrong with the result for a prompt, "" if it is correct.
func checkChat(prompt string, a chatResult) string {
	want := expectedText(prompt)
	switch {
	case a.complete && a.failed:
		return "both complete and failed"
	case a.complete && a.text != want:
		return fmt.Sprintf("complete, but not the full text: %q", a.text)
	case !a.complete && !a.failed:
		return "ends without [DONE] and without an error: " + a.detail
	case !strings.HasPrefix(want, a.text):
		return fmt.Sprintf("text of another response: %q", a.text)
	}
	return ""
}

// finishedChat is a chat request with its result.
type finishedChat struct {
	chatRequest
	chatResult
}

// runChats sends chatCount chats from several goroutines and returns their
// results. withPoison makes one in ten prompts crash the engines.
func (d *deployment) runChats(t *testing.T, withPoison bool) []finishedChat {
	t.Logf("seed %d", chatSeed)
	random := rand.New(rand.NewPCG(chatSeed, 0))
	jobs := make(chan chatRequest, chatCount)
	for i := range chatCount {
		c := chatRequest{
			prompt: fmt.Sprintf("question %d-%x", i, random.Uint64()),
			stream: random.IntN(2) == 0,
			host:   1 + random.IntN(entryHosts),
		}
		if withPoison && i%10 == 5 {
			c.prompt += " " + poison
		}
		jobs <- c
	}
	close(jobs)
	results := make(chan finishedChat, chatCount)
	workers := make(chan int)
	for worker := range chatWorkers {
		go func() {
			for c := range jobs {
				results <- finishedChat{
					chatRequest: c,
					chatResult:  d.sendChat(c),
				}
			}
			workers <- worker
		}()
	}
	for range chatWorkers {
		<-workers
	}
	close(results)
	var finished []finishedChat
	for chat := range results {
		finished = append(finished, chat)
	}
	return finished
}
