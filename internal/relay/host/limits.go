package host

import (
	"github.com/rs/zerolog"

	"github.com/nutmegshift/nutmegshift/internal/settings"
	"github.com/nutmegshift/nutmegshift/internal/transport/callerhttp"
)

// peerShare is the part of the descriptors of a host that other hosts' connections may take.
// A fleet of a thousand hosts, each with one connection, needs a quarter of 4,096.
const peerShare = 1.0 / 4

// peerConnections returns the number of connections that other hosts may have open.
func peerConnections(s *settings.Relay) int {
	return max(1, int(peerShare*float64(s.Descriptors)))
}

// internalConnections is the number of connections to the ports of readiness and of
// metrics, which a load balancer and a few readers use.
const internalConnections = 32

// callerConnections returns the number of connections that callers may have open.
func callerConnections(s *settings.Relay) int {
	return callerhttp.MaxConnections(s.Memory*megabyte, float64(s.Descriptors))
}

// connectionLimits returns the limits of a port with a number of connections.
func (h *Host) connectionLimits(connections int) callerhttp.Limits {
	return callerhttp.Limits{
		Connections: connections,
		Memory:      h.memory,
		Counts:      &h.connections,
	}
}

// limitLog logs how often limits have been met since the last line.
type limitLog struct {
	evicted, refused, headers, messages, unread uint64
}

// write logs what has been counted since the last call, if anything.
func (l *limitLog) write(h *Host, log zerolog.Logger) {
	now := limitLog{
		evicted:  h.connections.Evicted.Load(),
		refused:  h.connections.Refused.Load(),
		headers:  h.connections.Headers.Load(),
		messages: h.memory.Rejected(),
		unread:   h.connections.Unread.Load(),
	}
	if now.messages != l.messages {
		log.Warn().Uint64("messages", now.messages-l.messages).Uint64("headers", now.headers-l.headers).Int64("bytes", h.memory.Used()).Msg("memory: no room for requests or responses")
	}
	if now.evicted != l.evicted || now.refused != l.refused {
		log.Warn().Uint64("evicted", now.evicted-l.evicted).Uint64("refused", now.refused-l.refused).Int("limit", callerConnections(h.settings)).Msg("callers: limit of connections reached")
	}
	if now.unread != l.unread {
		log.Warn().Uint64("connections", now.unread-l.unread).Msg("callers: connections closed with bytes that were not read")
	}
	*l = now
}
