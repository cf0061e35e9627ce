package tcp

import (
	"net"
	"sync"
	"testing"

	"github.com/nutmegshift/nutmegshift/ident"
)

// Server accepts connections on a free port until the test ends.
type Server struct {
	listener net.Listener
	handle   func(conn *net.TCPConn)
	running  sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// Serve starts a server that calls handle for each connection, in a goroutine of its own,
// and closes the connection when handle returns. At the end of the test it closes the
// connections and waits for the calls of handle to return.
func Serve(t *testing.T, handle func(conn *net.TCPConn)) *Server {
	t.Helper()
	listener, err := new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{
		listener: listener,
		handle:   handle,
		conns:    make(map[net.Conn]bool),
	}
	s.running.Go(s.accept)
	t.Cleanup(func() {
		s.Refuse()
		s.closeAll()
		s.running.Wait()
	})
	return s
}

// Address returns the address of the server.
func (s *Server) Address() ident.Address { return ident.Address(s.listener.Addr().String()) }

// Refuse makes the server refuse connections. Open ones stay.
func (s *Server) Refuse() {
	_ = s.listener.Close() // fails only if it is closed already
}

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			_ = conn.Close()
			return
		}
		s.running.Go(func() {
			defer s.remove(conn)
			s.handle(conn.(*net.TCPConn))
		})
	}
}

// add records an open connection. It returns false at the end of the test.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) remove(conn net.Conn) {
	_ = conn.Close() // fails only if it is closed already
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}
