package stagehttp

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/nutmegshift/nutmegshift/ident"
)

// connection is a connection to an upstream that tracks whether any byte of the
// current exchange may have been written.
type connection struct {
	net.Conn
	address   ident.Address
	client    *http.ClientConn
	idleTimer *time.Timer // set while the connection is idle; guarded by Client.mu

	mu     sync.Mutex
	sealed bool // no further byte may be written
	wrote  bool // a byte of the current exchange was or may have been written
}

// Write implements net.Conn. It sets wrote before it writes, so that a concurrent
// discard never misses the bytes.
func (c *connection) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	first := !c.wrote
	c.wrote = true
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	if n == 0 && err != nil && first {
		c.mu.Lock()
		c.wrote = false
		c.mu.Unlock()
	}
	return n, err
}

// beginExchange resets the write state for a new exchange.
func (c *connection) beginExchange() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// discard closes the connection, so that later writes fail, and reports whether a
// byte of the current exchange may have been written.
func (c *connection) discard() bool {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	_ = c.client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

// dialedKey is the context key of the connection that connect passes to dial.
// dial stores the net.Conn there, since http.ClientConn does not expose it.
type dialedKey struct{}

// dial opens the TCP connection of the connection in ctx.
func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: c.config.DialTimeout,
	}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := ctx.Value(dialedKey{}).(*connection)
	conn.Conn = raw
	return conn, nil
}

// connect opens a new connection.
func (c *Client) connect(ctx context.Context, to ident.Address) (*connection, error) {
	conn := &connection{
		address: to,
	}
	client, err := c.transport.NewClientConn(context.WithValue(ctx, dialedKey{}, conn), "http", string(to))
	if err != nil {
		return nil, errors.Annotatef(err, "connect to %s", to)
	}
	conn.client = client
	return conn, nil
}

// getIdle returns a usable idle connection, nil if there is none.
func (c *Client) getIdle(to ident.Address) *connection {
	for {
		conn := c.popIdle(to)
		if conn == nil {
			return nil
		}
		if conn.client.Err() == nil && conn.client.Available() == 1 {
			return conn
		}
		conn.discard()
	}
}

// popIdle removes the most recently used connection from the idle list.
func (c *Client) popIdle(to ident.Address) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[to]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.removeIdle(conn)
	return conn
}

// putIdle keeps a connection whose exchange is complete for reuse, or closes it if it
// is not usable or the idle list is full.
func (c *Client) putIdle(conn *connection) {
	if conn.client.Err() != nil || conn.client.Available() != 1 || !c.addIdle(conn) {
		conn.discard()
		return
	}
	// If the server closes the connection, it is removed from the list at once.
	conn.client.SetStateHook(func(client *http.ClientConn) {
		if client.Err() != nil {
			c.closeIdle(conn)
		}
	})
}

// addIdle adds conn to its idle list. It returns false if the client is closed or
// the list is full.
func (c *Client) addIdle(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[conn.address]) >= c.config.MaxIdle {
		return false
	}
	conn.idleTimer = time.AfterFunc(c.config.IdleTimeout, func() { c.closeIdle(conn) })
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	return true
}

// closeIdle closes the connection if it is idle.
func (c *Client) closeIdle(conn *connection) {
	c.mu.Lock()
	wasIdle := c.removeIdle(conn)
	c.mu.Unlock()
	if wasIdle {
		conn.discard()
	}
}

// removeIdle removes the connection from its idle list and reports whether it was
// there. c.mu must be held.
func (c *Client) removeIdle(conn *connection) bool {
	list := c.idle[conn.address]
	for i, other := range list {
		if other != conn {
			continue
		}
		conn.idleTimer.Stop()
		list = append(list[:i], list[i+1:]...)
		if len(list) == 0 {
			delete(c.idle, conn.address)
		} else {
			c.idle[conn.address] = list
		}
		return true
	}
	return false
}
