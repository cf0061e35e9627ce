package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/wire"
)

// healthTimeout limits a health check. The response is immediate, and a later one says
// little about the load.
const healthTimeout = 500 * time.Millisecond

// checkHealth starts one health check of each upstream that runs stages once a call has been
// refused: after the loss of a coordinator they are busy with its calls. Later calls do
// nothing.
func (c *Coordinator) checkHealth(ctx context.Context) {
	if c.checked || !c.sawRefusal || c.table == nil {
		return
	}
	c.checked = true
	for name, service := range c.table.Services() {
		if service.Batch == nil || service.HealthPath == "" {
			continue
		}
		for _, upstream := range c.upstreams(c.snapshot, name) {
			c.activeCalls++
			go func(ctx context.Context) {
				c.ends <- callEnd{
					report: c.check(ctx, service.HealthPath, upstream),
				}
			}(ctx)
		}
	}
}

// check sends a health check and returns the load report of its response, or nil if there is
// none. The connection is not used for other requests, since the response has no id.
func (c *Coordinator) check(ctx context.Context, path string, upstream fleet.Upstream) *loadreport.Report {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request := newRequest(c.config.Codec, upstream, wire.Message{
		Method: http.MethodGet,
		Path:   path,
	})
	request.Distinct, request.NewConn = false, true
	sent := c.config.Now()
	response, err := c.config.Releases.Send(ctx, request)
	if err == nil {
		defer response.Close()
		err = c.discardBody(ctx, upstream, response)
	}
	if err != nil {
		c.config.Log.Debug().Err(err).Str("upstream", string(upstream.ID)).Msg("stage: health check failed")
		return nil
	}
	return newReport(upstream, response, loadreport.Health, sent)
}
