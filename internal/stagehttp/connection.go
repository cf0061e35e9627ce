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

// connection is one connection to an upstream and the record of what was
// written to it for the current exchange.
type connection struct {
	net.Conn
	address ident.Address
	client  *http.ClientConn
	expiry  *time.Timer // set while the connection is idle; guarded by Client.mu

	mu     sync.Mutex
	sealed bool // no further byte may be written
	wrote  bool // a byte of the current exchange was or may have been written
}

// Write implements net.Conn. It records the attempt before the bytes go out, so
// that a concurrent seal never misses them.
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

// begin starts the record of a new exchange.
func (c *connection) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wrote = false
}

// discard closes the connection for good and reports whether a byte of the
// current exchange may have been written.
func (c *connection) discard() bool {
	c.mu.Lock()
	c.sealed = true
	c.mu.Unlock()
	_ = c.client.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.wrote
}

// dialed hands the connection made by the dialer to connect, since
// http.ClientConn does not expose it.
type dialed struct{}

func (c *Client) dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{
		Timeout: c.config.DialTimeout,
	}
	raw, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conn := ctx.Value(dialed{}).(*connection)
	conn.Conn = raw
	return conn, nil
}

// connect opens a connection.
func (c *Client) connect(ctx context.Context, to ident.Address) (*connection, error) {
	conn := &connection{
		address: to,
	}
	client, err := c.transport.NewClientConn(context.WithValue(ctx, dialed{}, conn), "http", string(to))
	if err != nil {
		return nil, errors.Annotatef(err, "connect to %s", to)
	}
	conn.client = client
	return conn, nil
}

// take returns an idle connection, nil if there is none.
func (c *Client) take(to ident.Address) *connection {
	for {
		conn := c.pop(to)
		if conn == nil {
			return nil
		}
		if conn.client.Err() == nil && conn.client.Available() == 1 {
			return conn
		}
		conn.discard()
	}
}

func (c *Client) pop(to ident.Address) *connection {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[to]
	if len(list) == 0 {
		return nil
	}
	conn := list[len(list)-1]
	c.remove(conn)
	return conn
}

// put keeps a connection whose exchange is complete.
func (c *Client) put(conn *connection) {
	if conn.client.Err() != nil || conn.client.Available() != 1 || !c.keep(conn) {
		conn.discard()
		return
	}
	// A connection that its server closes leaves the list at once.
	conn.client.SetStateHook(func(client *http.ClientConn) {
		if client.Err() != nil {
			c.expire(conn)
		}
	})
}

func (c *Client) keep(conn *connection) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || len(c.idle[conn.address]) >= c.config.MaxIdle {
		return false
	}
	conn.expiry = time.AfterFunc(c.config.IdleTimeout, func() { c.expire(conn) })
	c.idle[conn.address] = append(c.idle[conn.address], conn)
	return true
}

// expire closes the connection if it is idle.
func (c *Client) expire(conn *connection) {
	c.mu.Lock()
	found := c.remove(conn)
	c.mu.Unlock()
	if found {
		conn.discard()
	}
}

// remove takes the connection off its idle list; c.mu is held.
func (c *Client) remove(conn *connection) bool {
	list := c.idle[conn.address]
	for i, other := range list {
		if other != conn {
			continue
		}
		conn.expiry.Stop()
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
