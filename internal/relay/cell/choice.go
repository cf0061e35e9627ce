package cell

import (
	"time"

	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/internal/relay/duty"
	"github.com/nutmegshift/nutmegshift/peer"
)

const (
	// maxCandidates is the number of hosts to which jobs are sent, the leader included.
	// Half of a fleet seldom includes the first four, and the membership removes lost hosts
	// from the first places.
	maxCandidates = 4
	// acceptTimeout is how long a host may take to accept a job. It allows for several
	// round trips between failure domains and for a short pause of the host.
	acceptTimeout = 400 * time.Millisecond
	// suspectTimeout is how long a suspected host may take to accept a job or to reply to a
	// probe.
	suspectTimeout = 300 * time.Millisecond
	// minTimeout is how long a host may take to accept a job that has less slack, or if
	// this host is partitioned from it. It allows for a handshake and two round trips.
	minTimeout = 150 * time.Millisecond
	// startPeriod is how long after its own start a host waits for the first candidate.
	// Hosts that lose power together start within half a second of each other.
	startPeriod = 800 * time.Millisecond
	// successorPeriod is the additional time for each further candidate.
	successorPeriod = 300 * time.Millisecond
	// joinPeriod is how long after its start a host waits for a message of another host,
	// which names the coordinator that the others follow. It allows for one exchange with
	// hosts that run.
	joinPeriod = 150 * time.Millisecond
	// firstJoinPeriod is joinPeriod for a host that ranks first and would schedule itself.
	// It exceeds the interval of the gossip.
	firstJoinPeriod = 400 * time.Millisecond
	// proposalLosses is the number of hosts to which a job without stages is sent.
	proposalLosses = 2
	// retryPause is the shortest time between a loss of a candidate and the next job that
	// is sent to it while this host waits for it; retryJitter is the most that is added,
	// since all hosts wait for the same one.
	retryPause  = 30 * time.Millisecond
	retryJitter = 40 * time.Millisecond
	// partitionPeriod is how long no candidate has to respond until this host takes itself
	// to be partitioned from them. Hosts that are restarted respond sooner.
	partitionPeriod = 2 * time.Second
)

// decision is the sealed set of next steps for a job.
//
//sumtype:decl
type decision interface{ decision() }

// submission means to send the job to another host, which has to accept it within a time.
type submission struct {
	to     peer.Row
	within time.Duration
}

// pause means to decide again after a time.
type pause struct {
	length time.Duration
}

// local means that this host coordinates the job.
type local struct {
	reason localReason
}

// refusal means that no host can coordinate the job in time.
type refusal struct{}

func (submission) decision() {}
func (pause) decision()      {}
func (local) decision()      {}
func (refusal) decision()    {}

// localReason says why a host coordinates a job itself.
type localReason string

const (
	// reasonCandidate means that this host is the first candidate that is not lost.
	reasonCandidate localReason = "candidate"
	// reasonAlone means that this host knows no other live host.
	reasonAlone localReason = "alone"
	// reasonPartitioned means that no candidate has responded for partitionPeriod.
	reasonPartitioned localReason = "partitioned"
	// reasonNoWork means that the job has no stages, so it takes no capacity that other
	// coordinators plan with.
	reasonNoWork localReason = "no work"
)

// situation is what a host knows when it decides about a job.
type situation struct {
	now        time.Time
	started    time.Time // start of this host
	self       ident.HostID
	candidates []peer.Row // the leader first, then by rank
	confirmed  bool       // a host that follows the leader has a message of it
	joined     bool       // this host has a message of another host
	evidence   func(host ident.HostID) duty.Evidence
	silence    time.Duration // how long no candidate has responded, although jobs were sent
	jitter     float64       // random number from 0 to 1
	job        pending
}

// pending is a job without a coordinator.
type pending struct {
	latest   time.Time // latest start of the stages for a response on time
	deadline time.Time
	hasWork  bool
	losses   map[ident.HostID]int // times that a host did not accept the job or lost it
}

// decide returns the next step for a job. It sends the job to the first candidate that is
// not lost; since all hosts know the same candidates in the same order, they use the same
// one.
func (s *situation) decide() decision {
	if !s.hasOthers() {
		return local{
			reason: reasonAlone,
		}
	}
	if !s.now.Before(s.job.deadline) || !s.job.hasWork && len(s.job.losses) >= proposalLosses {
		return s.giveUp()
	}
	if s.joining() && s.job.hasWork && !s.late() {
		return s.pause(retryPause)
	}
	first := s.candidates[:min(len(s.candidates), maxCandidates)]
	for i, row := range first {
		if row.Host == s.self {
			return local{
				reason: reasonCandidate,
			}
		}
		evidence := s.evidence(row.Host)
		standing := evidence.Standing(s.now)
		switch {
		case standing == duty.Lost && s.starting(i, evidence):
			return s.await(row, evidence)
		case standing == duty.Lost:
			continue
		case s.job.losses[row.Host] > 0 && s.late():
			// The host responds to other jobs, so no other host may take its place.
			return s.giveUp()
		}
		return submission{
			to:     row,
			within: s.limit(row, standing, s.starting(i, evidence)),
		}
	}
	if s.silence >= partitionPeriod {
		return local{
			reason: reasonPartitioned,
		}
	}
	return s.awaitAny(first)
}

// giveUp returns the decision for a job that no other host accepts in time.
func (s *situation) giveUp() decision {
	if s.job.hasWork {
		return refusal{}
	}
	return local{
		reason: reasonNoWork,
	}
}

// hasOthers reports whether this host knows another live host.
func (s *situation) hasOthers() bool {
	return len(s.candidates) > 1 || len(s.candidates) == 1 && s.candidates[0].Host != s.self
}

// late reports whether the job can no longer be on time.
func (s *situation) late() bool {
	return !s.now.Before(s.job.latest)
}

// starting reports whether this host has started so recently that a candidate may still
// be starting too.
func (s *situation) starting(index int, evidence duty.Evidence) bool {
	period := startPeriod + time.Duration(index)*successorPeriod
	return evidence.Answered.IsZero() && s.now.Sub(s.started) < period
}

// joining reports whether this host has started so recently that it may not know yet whom
// the others follow.
func (s *situation) joining() bool {
	period := joinPeriod
	if s.candidates[0].Host == s.self {
		period = firstJoinPeriod
	}
	return !s.confirmed && !s.joined && s.now.Sub(s.started) < period
}

// limit returns how long a host may take to accept the job. One that has responded
// recently gets at least the time for which the response counts.
func (s *situation) limit(row peer.Row, standing duty.Standing, starting bool) time.Duration {
	limit := acceptTimeout
	switch {
	case standing == duty.Recent:
		limit = max(limit, duty.RecentPeriod-s.now.Sub(s.evidence(row.Host).Heard))
	case s.silence >= partitionPeriod:
		limit = minTimeout
	case row.State == peer.Suspect:
		limit = suspectTimeout
	case starting:
		limit = min(limit, max(minTimeout, s.job.latest.Sub(s.now)))
	}
	return min(limit, s.job.deadline.Sub(s.now))
}

// await returns the decision while the job waits for one candidate: the job is sent again
// after a pause.
func (s *situation) await(row peer.Row, evidence duty.Evidence) decision {
	if !s.job.hasWork || s.late() {
		return s.giveUp()
	}
	if rest := s.retryPause() - s.now.Sub(evidence.LostAt); rest > 0 {
		return s.pause(rest)
	}
	return submission{
		to:     row,
		within: s.limit(row, duty.Lost, true),
	}
}

// awaitAny returns the decision while the job waits for any of several candidates, all of
// which are lost.
func (s *situation) awaitAny(rows []peer.Row) decision {
	for _, row := range rows {
		evidence := s.evidence(row.Host)
		if s.now.Sub(evidence.LostAt) >= s.retryPause() {
			return s.await(row, evidence)
		}
	}
	return s.await(rows[0], s.evidence(rows[0].Host))
}

// retryPause returns the time from the loss of a candidate to the next job for it.
func (s *situation) retryPause() time.Duration {
	return retryPause + time.Duration(s.jitter*float64(retryJitter))
}

// pause returns a pause that ends before the job is late.
func (s *situation) pause(length time.Duration) decision {
	return pause{
		length: min(length, s.job.latest.Sub(s.now)),
	}
}

// keepsJob reports whether a host still runs the jobs that it has accepted, as far as is
// known. A host that is leaving finishes them, and one that is suspected is only busy until
// a message to it gets no reply.
func keepsJob(row peer.Row, known bool, standing duty.Standing) bool {
	if !known {
		return false
	}
	switch row.State {
	case peer.Alive, peer.Leaving:
		return true
	case peer.Suspect:
		return standing == duty.Recent || standing == duty.Quiet
	case peer.Down:
		return false
	default:
		return false
	}
}
