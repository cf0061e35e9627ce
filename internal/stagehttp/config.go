package stagehttp

import "time"

const (
	// Several common servers close idle connections after 5 s. A connection
	// that the server closes while a request is on its way gives ErrLost, so
	// the client gives up idle connections earlier.
	defaultIdleTimeout = 4 * time.Second
	defaultDialTimeout = time.Second
	defaultMaxIdle     = 32
	defaultMaxRequest  = 4 << 20
	defaultMaxReply    = 8 << 20
	defaultMaxEvent    = 256 << 10
	maxReplyHeader     = 64 << 10
)

// Config holds the limits of a Client; zero fields have defaults.
type Config struct {
	DialTimeout time.Duration // for one connection attempt; default 1 s
	IdleTimeout time.Duration // unused connections are closed after this; default 4 s
	MaxIdle     int           // idle connections kept per address; default 32
	MaxRequest  int64         // bytes of a request body; default 4 MiB
	MaxReply    int64         // bytes of a reply body or of a whole stream; default 8 MiB
	MaxEvent    int           // bytes of one line of a token stream; default 256 KiB
}

func (c Config) withDefaults() Config {
	if c.DialTimeout <= 0 {
		c.DialTimeout = defaultDialTimeout
	}
	if c.IdleTimeout <= 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.MaxIdle <= 0 {
		c.MaxIdle = defaultMaxIdle
	}
	if c.MaxRequest <= 0 {
		c.MaxRequest = defaultMaxRequest
	}
	if c.MaxReply <= 0 {
		c.MaxReply = defaultMaxReply
	}
	if c.MaxEvent <= 0 {
		c.MaxEvent = defaultMaxEvent
	}
	return c
}
