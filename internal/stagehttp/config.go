package stagehttp

import "time"

const (
	// Several common servers close idle connections after 5 s. A request that
	// is sent while the server closes the connection fails with
	// pipeline.ErrLost, so the client closes idle connections earlier.
	defaultIdleTimeout = 4 * time.Second
	defaultDialTimeout = time.Second
	defaultMaxIdle     = 32
	defaultMaxRequest  = 4 << 20   // bytes
	defaultMaxResponse = 8 << 20   // bytes
	defaultMaxEvent    = 256 << 10 // bytes
	maxResponseHeader  = 64 << 10  // bytes
)

// Config holds the limits of a Client. Zero fields take their defaults.
type Config struct {
	DialTimeout time.Duration // for one connection attempt; default 1 s
	IdleTimeout time.Duration // idle connections are closed after this time; default 4 s
	MaxIdle     int           // idle connections kept per address; default 32
	MaxRequest  int64         // bytes of a request body; default 4 MiB
	MaxResponse int64         // bytes of a response body or of a whole stream; default 8 MiB
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
	if c.MaxResponse <= 0 {
		c.MaxResponse = defaultMaxResponse
	}
	if c.MaxEvent <= 0 {
		c.MaxEvent = defaultMaxEvent
	}
	return c
}
