package coordinator

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegshift/nutmegshift/internal/relay/fleet"
	"github.com/nutmegshift/nutmegshift/internal/relay/loadreport"
	"github.com/nutmegshift/nutmegshift/internal/relay/upstreamhttp"
	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

const (
	// healthTimeout limits a health check. The response is immediate, and a later one says
	// little about the load.
	healthTimeout = 500 * time.Millisecond
	// firstChecks is the number of upstreams of a service that are checked first. The
	// others are checked only if one of these reports its load.
	firstChecks = 4
)

// checkHealth starts one health check of each upstream that runs stages when the coordinator
// begins, since they may be busy with the calls of its predecessor. Later calls do nothing.
func (c *Coordinator) checkHealth(ctx context.Context) {
	if c.checked || c.table == nil {
		return
	}
	for name, service := range c.table.Services() {
		upstreams := c.upstreams(c.snapshot, name)
		if service.Batch == nil || service.HealthPath == "" || len(upstreams) == 0 {
			continue
		}
		c.checked = true
		c.activeCalls += len(upstreams)
		go func(ctx context.Context) {
			c.checkUpstreams(ctx, service.HealthPath, upstreams)
		}(ctx)
	}
}

// checkUpstreams checks upstreams of a service, and sends an element to c.ends for each of
// them.
func (c *Coordinator) checkUpstreams(ctx context.Context, path string, upstreams []fleet.Upstream) {
	var first, others []fleet.Upstream
	stride := max(1, len(upstreams)/firstChecks)
	for i, upstream := range upstreams {
		if i%stride == 0 {
			first = append(first, upstream)
		} else {
			others = append(others, upstream)
		}
	}
	if c.checkConcurrently(ctx, path, first) {
		c.checkConcurrently(ctx, path, others)
		return
	}
	for range others {
		c.ends <- callEnd{}
	}
}

// checkConcurrently checks upstreams, sends an element to c.ends for each of them, and
// reports whether any has a load report.
func (c *Coordinator) checkConcurrently(ctx context.Context, path string, upstreams []fleet.Upstream) bool {
	reports := make(chan *loadreport.Report)
	for _, upstream := range upstreams {
		go func(ctx context.Context) {
			reports <- c.check(ctx, path, upstream)
		}(ctx)
	}
	reported := false
	for range upstreams {
		report := <-reports
		reported = reported || report != nil
		c.ends <- callEnd{
			report: report,
		}
	}
	return reported
}

// check sends a health check and returns the load report of its response, or nil if there is
// none. The connection is not used for other requests, since the response has no id.
func (c *Coordinator) check(ctx context.Context, path string, upstream fleet.Upstream) *loadreport.Report {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	sent := c.config.Now()
	response, err := c.config.Releases.Send(ctx, upstreamhttp.Request{
		Upstream: upstream,
		NewConn:  true,
		Method:   http.MethodGet,
		Target:   path,
		Host:     string(upstream.Address),
		Header:   c.config.Codec.CallHeader(upstream.ID),
	})
	if err == nil {
		defer response.Close()
		lease := c.config.Memory.Lease(memory.Holder(upstream.ID))
		defer lease.Release()
		_, err = response.ReadAll(ctx, lease, maxResponseBytes)
	}
	if err != nil {
		c.config.Log.Debug().Err(err).Str("upstream", string(upstream.ID)).Msg("stage: health check failed")
		return nil
	}
	return newReport(upstream, response, loadreport.Health, sent)
}
