package batch

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/share"
)

const (
	// A service is short of capacity while its backlog takes longer than the rest of full
	// calls in progress, which is half of them on average, and a further quarter of a full
	// call for each upstream, at least one call in all. With less waiting work, upstreams
	// whose calls end at about the same time start small batches or become idle.
	progressPart = 0.5
	waitingPart  = 0.25
	minWaiting   = 1.0
	// maxStandings is the number of organisations that a Shortage lists.
	maxStandings = 4
)

// shares holds the accounts of organisations by service.
type shares map[*pool]*share.Accounts

// of returns the accounts of a service.
func (s shares) of(p *pool) *share.Accounts {
	accounts, ok := s[p]
	if !ok {
		accounts = share.New()
		s[p] = accounts
	}
	return accounts
}

// Shortage describes a service of which work was refused in the last seconds.
type Shortage struct {
	Service ident.ServiceName
	Backlog time.Duration    // time until all accepted work is done
	Largest []share.Standing // organisations that use most of the service
}

// Shortages returns the services of which work by organisations with a weight was refused
// in the last seconds, sorted by name.
func (s *Scheduler) Shortages(now time.Time) []Shortage {
	if len(s.shares) == 0 {
		return nil
	}
	var shortages []Shortage
	loads := s.loads(now)
	for _, p := range s.order {
		if accounts, ok := s.shares[p]; ok && accounts.Unmet(now) {
			shortages = append(shortages, Shortage{
				Service: p.service,
				Backlog: loads[p],
				Largest: accounts.Largest(now, maxStandings),
			})
		}
	}
	return shortages
}

// admitShare returns an Overload error for a job that a policy would accept, but whose
// organisation uses more than its share of a service that is short of capacity. The
// policy expects the job to be delayed by delay, and allows allowed within the share.
func (s *Scheduler) admitShare(now time.Time, j *job, delay, allowed time.Duration) error {
	if j.Weight <= 0 {
		return nil
	}
	var loads map[*pool]time.Duration // computed for the first task that needs them
	for _, t := range j.tasks {
		if t.stage.Pieces == 0 {
			continue
		}
		ratio := s.shares.of(t.pool).Ratio(now, t.shareWork())
		if !ratio.Limited() {
			continue
		}
		if loads == nil {
			loads = s.loads(now)
		}
		if limit := share.Limit(ratio, allowed); delay > limit && t.short(loads) {
			return &Overload{
				Delay: delay,
				Limit: limit,
				Usage: ratio,
			}
		}
	}
	return nil
}

// account counts the work of a job for the shares of its organisation, with the error of
// its admission. Refused work is counted at the services that are short of capacity.
func (s *Scheduler) account(now time.Time, j *job, err error) {
	if j.Weight <= 0 {
		return
	}
	var loads map[*pool]time.Duration
	if err != nil {
		loads = s.loads(now)
	}
	for _, t := range j.tasks {
		if t.stage.Pieces > 0 && (err == nil || t.short(loads)) {
			s.shares.of(t.pool).Record(now, t.shareWork(), err == nil)
		}
	}
}

// short reports whether the service of a task is short of capacity when the task can
// start.
func (t *task) short(loads map[*pool]time.Duration) bool {
	return loads[t.pool]-t.timeToStart() > t.pool.shortDelay()
}

// shortDelay returns the backlog above which a service is short of capacity.
func (p *pool) shortDelay() time.Duration {
	upstreams := float64(len(p.workers))
	calls := progressPart*upstreams + max(waitingPart*upstreams, minWaiting)
	return time.Duration(float64(p.fullCallTime()) * calls / p.speed())
}

// shareWork returns the work of a task, with the upstream time that it takes in full calls.
func (t *task) shareWork() share.Work {
	return share.Work{
		Organisation: t.job.Organisation,
		Weight:       t.job.Weight,
		Class:        share.Class(t.job.Rank),
		Cost:         share.Cost(t.pool.pieceTime(t.stage.Kind).Seconds() * float64(t.stage.Pieces)),
	}
}
