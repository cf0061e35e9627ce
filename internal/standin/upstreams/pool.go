package upstreams

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// PoolKind is the stage that a pool upstream serves.
type PoolKind string

// The kinds of pool upstream.
const (
	Encoder   PoolKind = "encode"
	Retriever PoolKind = "retrieve"
	Reranker  PoolKind = "rerank"
)

// PoolConfig holds the settings of a Pool.
type PoolConfig struct {
	Common
	Kind        PoolKind
	ServiceTime time.Duration // service time of one request
}

// Pool is one upstream of a pool of encoders, retrievers or rerankers.
type Pool struct {
	*base
	config PoolConfig
}

var _ Upstream = (*Pool)(nil)

// NewPool returns an upstream that serves "POST /v1/<kind>".
func NewPool(config PoolConfig) *Pool {
	p := &Pool{
		base:   newBase(config.Common),
		config: config,
	}
	p.echo.POST("/v1/"+string(config.Kind), p.post)
	return p
}

// PoolOutput returns the output of a pool upstream for an input.
func PoolOutput(kind PoolKind, input string) string {
	return string(kind) + "(" + input + ")"
}

func (p *Pool) post(c echo.Context) error {
	return p.runInSlot(c, func(body []byte) error {
		var request struct {
			Input *string `json:"input"`
		}
		if err := json.Unmarshal(body, &request); err != nil || request.Input == nil {
			return echo.NewHTTPError(http.StatusBadRequest, "body needs an input")
		}
		p.maybeCrash(c.Request().Context(), body)
		ctx := c.Request().Context()
		p.wait(ctx, p.config.ServiceTime)
		p.maybeDropResponse(ctx)
		p.setLoad(c)
		return c.JSON(http.StatusOK, map[string]string{
			"output": PoolOutput(p.config.Kind, *request.Input),
		})
	})
}
