package upstreams

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/nutmegshift/nutmegshift/ident"
)

const (
	defaultTokens       = 32
	defaultPrefixLength = 64
	defaultCacheFactor  = 0.25
)

// EngineConfig holds the settings of an Engine.
type EngineConfig struct {
	Common
	Tokens       int           // tokens of a response; default 32
	TokenRate    float64       // tokens per second of one stream; 0 means no delay
	FirstToken   time.Duration // delay of the first token
	CacheEntries int           // capacity of the prompt prefix cache; 0 means no cache
	PrefixLength int           // bytes of a prompt prefix; default 64
	CacheFactor  float64       // factor on FirstToken when the prefix is cached; default 0.25
	EventDelay   time.Duration // age at which a cache event becomes visible
	EventGap     int           // every EventGap-th cache event is not published; 0 means none
	Models       []ident.ModelName
	Role         string
	LoadTime     time.Duration // time to load a model
	CheckFencing bool          // reject orders with a stale fencing number
}

// Engine is one upstream of a pool of model engines.
type Engine struct {
	*base
	config EngineConfig
	cache  *cache
	orders *orders
}

var _ Upstream = (*Engine)(nil)

// NewEngine returns an engine that serves chat completions, cache events and orders.
func NewEngine(config EngineConfig) *Engine {
	if config.Tokens <= 0 {
		config.Tokens = defaultTokens
	}
	if config.PrefixLength <= 0 {
		config.PrefixLength = defaultPrefixLength
	}
	if config.CacheFactor <= 0 {
		config.CacheFactor = defaultCacheFactor
	}
	e := &Engine{
		base:   newBase(config.Common),
		config: config,
		cache: &cache{
			maxEntries:   config.CacheEntries,
			prefixLength: config.PrefixLength,
			delay:        config.EventDelay,
			gap:          config.EventGap,
		},
		orders: &orders{
			checkFencing: config.CheckFencing,
			state: EngineState{
				Models: config.Models,
				Role:   config.Role,
			},
		},
	}
	e.onCrash = e.cache.clear
	e.echo.POST("/v1/chat/completions", e.postCompletion)
	e.echo.GET("/cache/events", e.getCacheEvents)
	e.echo.GET("/orders", e.getOrders)
	e.echo.POST("/orders", e.postOrder)
	return e
}

// EngineToken returns the token at an offset of an engine's response to a prompt.
func EngineToken(prompt string, offset int) string {
	digest := sha256.Sum256([]byte(prompt))
	return fmt.Sprintf("%x.%d ", digest[:6], offset)
}

// EngineOutput returns the first tokens of an engine's response to a prompt.
func EngineOutput(prompt string, tokens int) string {
	var text strings.Builder
	for offset := range tokens {
		text.WriteString(EngineToken(prompt, offset))
	}
	return text.String()
}

type completionRequest struct {
	Model    ident.ModelName `json:"model"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Stream     bool   `json:"stream"`
	MaxTokens  int    `json:"max_tokens"`
	ResumeFrom int    `json:"resume_from"`
	Partial    string `json:"partial"`
}

func (r completionRequest) prompt() string {
	contents := make([]string, 0, len(r.Messages))
	for _, message := range r.Messages {
		contents = append(contents, message.Content)
	}
	return strings.Join(contents, "\n")
}

type delta struct {
	Content string `json:"content"`
}

type choice struct {
	Index   int    `json:"index"`
	Delta   *delta `json:"delta,omitempty"`
	Message *delta `json:"message,omitempty"`
	Finish  string `json:"finish_reason,omitempty"`
}

type chunk struct {
	Object  string          `json:"object"`
	Model   ident.ModelName `json:"model,omitempty"`
	Choices []choice        `json:"choices"`
}

func (e *Engine) postCompletion(c echo.Context) error {
	return e.runInSlot(c, func(body []byte) error {
		var request completionRequest
		if err := json.Unmarshal(body, &request); err != nil || len(request.Messages) == 0 {
			return echo.NewHTTPError(http.StatusBadRequest, "body needs messages")
		}
		if !e.orders.serves(request.Model) {
			return echo.NewHTTPError(http.StatusNotFound, "model is not loaded")
		}
		prompt := request.prompt()
		if request.ResumeFrom < 0 ||
			request.Partial != "" && request.Partial != EngineOutput(prompt, request.ResumeFrom) {
			return echo.NewHTTPError(http.StatusBadRequest, "partial answer does not match the prompt")
		}
		e.maybeCrash(c.Request().Context(), body)
		total := e.config.Tokens
		if request.MaxTokens > 0 {
			total = min(total, request.MaxTokens)
		}
		firstDelay := e.config.FirstToken
		if e.cache.use(prompt, e.common.Clock.Now()) {
			firstDelay = time.Duration(float64(firstDelay) * e.config.CacheFactor)
		}
		if request.Stream {
			return e.stream(c, request, total, firstDelay)
		}
		ctx := c.Request().Context()
		e.wait(ctx, firstDelay+time.Duration(total)*e.tokenInterval())
		e.maybeDropResponse(ctx)
		e.setLoad(c)
		return c.JSON(http.StatusOK, chunk{
			Object: "chat.completion",
			Model:  request.Model,
			Choices: []choice{{
				Message: &delta{
					Content: EngineOutput(prompt, total),
				},
				Finish: "stop",
			}},
		})
	})
}

// tokenInterval returns the time between two tokens.
func (e *Engine) tokenInterval() time.Duration {
	if e.config.TokenRate <= 0 {
		return 0
	}
	return time.Duration(float64(time.Second) / e.config.TokenRate)
}

func (e *Engine) stream(c echo.Context, request completionRequest, total int, firstDelay time.Duration) error {
	ctx := c.Request().Context()
	response := c.Response()
	response.Header().Set(echo.HeaderContentType, "text/event-stream")
	e.setLoad(c)
	response.WriteHeader(http.StatusOK)
	response.Flush()
	prompt := request.prompt()
	delay := firstDelay
	for offset := request.ResumeFrom; offset < total; offset++ {
		_, faults, _ := e.state()
		if faults.DropAfter > 0 && offset-request.ResumeFrom >= faults.DropAfter {
			dropConnection()
		}
		e.wait(ctx, delay)
		delay = e.tokenInterval()
		e.sendEvent(ctx, response, strconv.Itoa(offset), chunk{
			Object: "chat.completion.chunk",
			Model:  request.Model,
			Choices: []choice{{
				Delta: &delta{
					Content: EngineToken(prompt, offset),
				},
			}},
		})
	}
	e.maybeDropResponse(ctx)
	e.sendEvent(ctx, response, "", chunk{
		Object: "chat.completion.chunk",
		Model:  request.Model,
		Choices: []choice{{
			Delta:  &delta{},
			Finish: "stop",
		}},
	})
	if _, err := response.Write([]byte("data: [DONE]\n\n")); err != nil {
		dropConnection()
	}
	return nil
}

// sendEvent writes and flushes one server-sent event, without id if that is empty.
func (e *Engine) sendEvent(ctx context.Context, response *echo.Response, id string, data chunk) {
	encoded, err := json.Marshal(data)
	if err != nil || ctx.Err() != nil {
		dropConnection()
	}
	text := "data: " + string(encoded) + "\n\n"
	if id != "" {
		text = "id: " + id + "\n" + text
	}
	if _, err := response.Write([]byte(text)); err != nil {
		dropConnection()
	}
	response.Flush()
}

func (e *Engine) getCacheEvents(c echo.Context) error {
	after := 0
	if text := c.QueryParam("after"); text != "" {
		var err error
		if after, err = strconv.Atoi(text); err != nil {
			return echo.NewHTTPError(http.StatusBadRequest, "after is not a number")
		}
	}
	return c.JSON(http.StatusOK, map[string][]CacheEvent{
		"events": e.cache.eventsAfter(after, e.common.Clock.Now()),
	})
}
