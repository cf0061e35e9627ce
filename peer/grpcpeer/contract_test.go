package grpcpeer_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/goleak"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/document"
	"github.com/nutmegshift/nutmegshift/ident"
	"github.com/nutmegshift/nutmegshift/peer"
	"github.com/nutmegshift/nutmegshift/peer/grpcpeer"
	"github.com/nutmegshift/nutmegshift/timeline"
)

const documentText = `[service]
team = entries
kind = plain
deadline = 6s
weight = 0.9

[route read]
method = GET
path = /standing
repeatable = true
pool = entries-api/servers
`

// handler records the calls of a server, and can delay or fail them.
type handler struct {
	registry *document.Registry
	gossip   *peer.Gossip
	delay    time.Duration
	err      error
	short    bool // return one decision too few
	message  atomic.Pointer[peer.Message]
	claims   atomic.Pointer[[]grpcpeer.ClaimItem]
	strike   atomic.Pointer[[]byte]
	calls    atomic.Int32
}

func (h *handler) Exchange(message peer.Message) peer.Message {
	h.calls.Add(1)
	time.Sleep(h.delay)
	h.message.Store(&message)
	if h.gossip != nil {
		return h.gossip.Receive(time.Now(), message)
	}
	return message
}

func (h *handler) Claim(ctx context.Context, _ ident.HostID, claims []grpcpeer.ClaimItem) ([][]byte, error) {
	h.calls.Add(1)
	select {
	case <-time.After(h.delay):
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	h.claims.Store(&claims)
	var decisions [][]byte
	for _, claim := range claims {
		decisions = append(decisions, append([]byte("granted "), claim.Payload...))
	}
	if h.short {
		decisions = decisions[1:]
	}
	return decisions, h.err
}

func (h *handler) Documents(names []ident.ServiceName, known map[ident.ServiceName]ident.Revision, limit int) []document.Versioned {
	h.calls.Add(1)
	time.Sleep(h.delay)
	return h.registry.Snapshot().Select(names, known, limit)
}

func (h *handler) Strike(_ context.Context, _ ident.HostID, strike []byte) error {
	h.calls.Add(1)
	time.Sleep(h.delay)
	h.strike.Store(&strike)
	return h.err
}

// fixture is a server on the loopback interface and a client that calls it.
type fixture struct {
	client  *grpcpeer.Client
	address ident.Address
	clock   *timeline.Clock // of the server
}

func serve(t testing.TB, h grpcpeer.Handler, clientNow func() time.Time) *fixture {
	listener := listen(t)
	f := &fixture{
		address: ident.Address(listener.Addr().String()),
		clock:   timeline.NewClock(time.Now),
		client:  grpcpeer.NewClient("client", timeline.NewClock(clientNow), time.Now),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- grpcpeer.NewServer(h, f.clock, time.Now).Serve(ctx, listener) }()
	t.Cleanup(func() {
		f.client.Close()
		cancel()
		qt.Check(t, <-done, qt.IsNil)
	})
	return f
}

func listen(t testing.TB) net.Listener {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	return listener
}

func dial(address ident.Address) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(context.Background(), "tcp", string(address))
}

func row(host string) peer.Row {
	return peer.Row{
		Host:        ident.HostID(host),
		Address:     "127.0.0.1:7000",
		Domain:      "erie-hall",
		Region:      "great-lakes",
		Incarnation: 1_800_000_000_000,
		State:       peer.Alive,
	}
}

func fullMessage() peer.Message {
	return peer.Message{
		From:      row("a"),
		Documents: 1 << 63,
		Members:   7,
		Rumours: []peer.Rumour{
			peer.HostSuspected{Host: "b", Incarnation: 3},
			peer.HostAlive{Row: row("c")},
			peer.HostLeaving{Host: "d", Incarnation: 4},
			peer.UpstreamLeaving{Upstream: "u", Incarnation: 5},
			peer.UpstreamCrashed{Upstream: "v", Incarnation: 6},
			peer.FingerprintStruck{Fingerprint: peer.Fingerprint{1}, Strikes: 2, Version: 8},
			peer.FingerprintCleared{Fingerprint: peer.Fingerprint{2}, Version: 9},
			peer.DocumentRevised{Service: "s", Revision: 10},
			peer.TopOrganisations{Host: "a", Rates: []peer.OrganisationRate{{Service: "s", Organisation: "o", Rate: 1.5}}},
		},
	}
}

// Guards against message fields that are lost in encoding or decoding.
func TestContract(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("calls", func(t *testing.T) {
		c := qt.New(t)
		ctx := context.Background()
		h := &handler{
			registry: document.NewRegistry(),
		}
		service, err := document.Parse("entries-api", []byte(documentText))
		c.Assert(err, qt.IsNil)
		h.registry.Offer(document.Versioned{
			Revision: 3,
			Change:   "change",
			Base:     2,
			Owner:    "entries",
			Team:     "entries",
			Author:   "author",
			Time:     time.Unix(1_800_000_000, 0).UTC(),
			Text:     []byte(documentText),
			Service:  service,
		})
		f := serve(t, h, time.Now)

		reply, err := f.client.Exchange(ctx, f.address, fullMessage())
		c.Assert(err, qt.IsNil)
		c.Check(reply, qt.DeepEquals, fullMessage())
		c.Check(*h.message.Load(), qt.DeepEquals, fullMessage())

		claims := []grpcpeer.ClaimItem{
			{Identity: [16]byte{1}, Attempt: "x", Payload: []byte("one")},
			{Identity: [16]byte{2}, Attempt: "y", Payload: []byte("two")},
		}
		decisions, err := f.client.Claim(ctx, f.address, claims)
		c.Assert(err, qt.IsNil)
		c.Check(*h.claims.Load(), qt.DeepEquals, claims)
		c.Check(decisions, qt.DeepEquals, [][]byte{[]byte("granted one"), []byte("granted two")})

		documents, err := f.client.Documents(ctx, f.address, nil, nil)
		c.Assert(err, qt.IsNil)
		offered, _ := h.registry.Snapshot().Document("entries-api")
		c.Check(documents, qt.DeepEquals, []document.Versioned{offered})
		documents, err = f.client.Documents(ctx, f.address, []ident.ServiceName{"entries-api", "other"}, map[ident.ServiceName]ident.Revision{"entries-api": 3})
		c.Assert(err, qt.IsNil)
		c.Check(documents, qt.HasLen, 0)

		strike := []byte("struck")
		c.Assert(f.client.Strike(ctx, f.address, strike), qt.IsNil)
		c.Check(*h.strike.Load(), qt.DeepEquals, strike)
	})
}

// Guards against calls that block past their timeout or report a failure as the
// wrong error.
func TestFaults(t *testing.T) {
	silent := listen(t)
	t.Cleanup(func() { _ = silent.Close() })
	closed := listen(t)
	qt.Assert(t, closed.Close(), qt.IsNil)
	for name, test := range map[string]struct {
		handler *handler
		to      string // address to call instead of the server's
		call    string
		want    error
	}{
		"no listener":          {to: closed.Addr().String(), call: "exchange", want: grpcpeer.ErrUnreachable},
		"not a gRPC server":    {to: silent.Addr().String(), call: "exchange", want: grpcpeer.ErrUnreachable},
		"claim, no listener":   {to: closed.Addr().String(), call: "claim", want: grpcpeer.ErrNotSent},
		"claim, not gRPC":      {to: silent.Addr().String(), call: "claim", want: grpcpeer.ErrNotSent},
		"slow exchange":        {handler: &handler{delay: time.Second}, call: "exchange", want: grpcpeer.ErrUnreachable},
		"slow claim":           {handler: &handler{delay: 2 * time.Second}, call: "claim", want: grpcpeer.ErrUnreachable},
		"slow documents":       {handler: &handler{delay: 3 * time.Second}, call: "documents", want: grpcpeer.ErrUnreachable},
		"slow strike":          {handler: &handler{delay: time.Second}, call: "strike", want: grpcpeer.ErrUnreachable},
		"claim rejected":       {handler: &handler{err: errors.New("not the owner")}, call: "claim", want: grpcpeer.ErrRejected},
		"strike rejected":      {handler: &handler{err: errors.New("store down")}, call: "strike", want: grpcpeer.ErrRejected},
		"too few decisions":    {handler: &handler{short: true}, call: "claim", want: grpcpeer.ErrMalformed},
		"message without host": {call: "anonymous", want: grpcpeer.ErrMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			if test.handler == nil {
				test.handler = &handler{}
			}
			test.handler.registry = document.NewRegistry()
			f := serve(t, test.handler, time.Now)
			if test.to != "" {
				f.address = ident.Address(test.to)
			}
			if test.to == "" && test.handler.delay == 0 {
				// A connection that exists: on a busy machine, its handshake may take
				// longer than the timeout of a call.
				_, err := f.client.Documents(context.Background(), f.address, nil, nil)
				c.Assert(err, qt.IsNil)
			}
			start := time.Now()
			var err error
			switch test.call {
			case "exchange":
				_, err = f.client.Exchange(context.Background(), f.address, fullMessage())
			case "anonymous":
				_, err = f.client.Exchange(context.Background(), f.address, peer.Message{})
			case "claim":
				_, err = f.client.Claim(context.Background(), f.address, []grpcpeer.ClaimItem{{Attempt: "x"}})
			case "documents":
				_, err = f.client.Documents(context.Background(), f.address, nil, nil)
			case "strike":
				err = f.client.Strike(context.Background(), f.address, []byte("struck"))
			}
			c.Check(errors.Is(err, test.want), qt.IsTrue, qt.Commentf("%v", err))
			c.Check(time.Since(start) < 2500*time.Millisecond, qt.IsTrue)
		})
	}
}

// Guards against malformed input that reaches a handler or stops the server: random
// bytes on the connection, and well-formed messages with invalid values.
func TestGarbage(t *testing.T) {
	c := qt.New(t)
	h := &handler{
		registry: document.NewRegistry(),
	}
	f := serve(t, h, time.Now)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	for i := range 50 {
		connection, err := dial(f.address)
		c.Assert(err, qt.IsNil)
		noise := make([]byte, random.IntN(4096))
		for j := range noise {
			noise[j] = byte(random.Uint32())
		}
		if i%2 == 0 { // valid up to the HTTP/2 preface and settings
			noise = append([]byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\x00\x00\x00\x04\x00\x00\x00\x00\x00"), noise...)
		}
		_, _ = connection.Write(noise)
		_ = connection.Close()
	}

	connection, err := grpc.NewClient("passthrough:///"+string(f.address), grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy())
	c.Assert(err, qt.IsNil)
	defer func() { _ = connection.Close() }()
	stub := grpcpeer.NewPeerClient(connection)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	long := strings.Repeat("x", 300)
	validRow := func() *grpcpeer.Row {
		return &grpcpeer.Row{Host: "a", Address: "127.0.0.1:1", Domain: "d", Region: "r", State: 1}
	}
	for name, corrupt := range map[string]func(*grpcpeer.Gossip){
		"no sender":          func(g *grpcpeer.Gossip) { g.From = nil },
		"long host":          func(g *grpcpeer.Gossip) { g.From.Host = long },
		"control characters": func(g *grpcpeer.Gossip) { g.From.Host = "a\nb" },
		"address":            func(g *grpcpeer.Gossip) { g.From.Address = "somewhere" },
		"state":              func(g *grpcpeer.Gossip) { g.From.State = 9 },
		"incarnation":        func(g *grpcpeer.Gossip) { g.From.Incarnation = 1 << 63 },
		"many rumours":       func(g *grpcpeer.Gossip) { g.Rumours = make([]*grpcpeer.Rumour, 1000) },
		"short fingerprint": func(g *grpcpeer.Gossip) {
			g.Rumours = []*grpcpeer.Rumour{{Kind: &grpcpeer.Rumour_FingerprintStruck{FingerprintStruck: &grpcpeer.Fingerprint{Fingerprint: []byte{1}}}}}
		},
		"empty rumour kind": func(g *grpcpeer.Gossip) {
			g.Rumours = []*grpcpeer.Rumour{{Kind: &grpcpeer.Rumour_HostAlive{}}}
		},
	} {
		g := &grpcpeer.Gossip{From: validRow()}
		corrupt(g)
		if name == "many rumours" {
			for i := range g.Rumours {
				g.Rumours[i] = &grpcpeer.Rumour{}
			}
		}
		_, err := stub.Exchange(ctx, g)
		c.Check(status.Code(err), qt.Equals, codes.InvalidArgument, qt.Commentf("%s: %v", name, err))
	}
	_, err = stub.Claim(ctx, &grpcpeer.ClaimBatch{From: "a", Claims: []*grpcpeer.Claim{{Attempt: "x", Identity: []byte{1}}}})
	c.Check(status.Code(err), qt.Equals, codes.InvalidArgument)
	_, err = stub.Strike(ctx, &grpcpeer.StrikeRequest{From: "a"})
	c.Check(status.Code(err), qt.Equals, codes.InvalidArgument)
	_, err = stub.Documents(ctx, &grpcpeer.DocumentsRequest{Names: make([]string, 5000)})
	c.Check(status.Code(err), qt.Equals, codes.InvalidArgument)
	c.Check(h.calls.Load(), qt.Equals, int32(0))

	_, err = stub.Exchange(ctx, &grpcpeer.Gossip{From: validRow(), Rumours: []*grpcpeer.Rumour{{}}})
	c.Check(err, qt.IsNil) // a rumour of an unknown kind is skipped
	_, err = f.client.Exchange(ctx, f.address, fullMessage())
	c.Check(err, qt.IsNil)
}

// Guards against a receiver that does not observe the sender's stamp, so that an
// effect sorts before its cause, and against one wrong clock that advances those of
// all hosts permanently.
func TestHybridTime(t *testing.T) {
	for name, test := range map[string]struct {
		ahead    time.Duration
		observed bool
	}{
		"ahead":         {20 * time.Second, true},
		"too far ahead": {time.Hour, false},
		"a year ahead":  {365 * 24 * time.Hour, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			h := &handler{
				registry: document.NewRegistry(),
			}
			f := serve(t, h, func() time.Time { return time.Now().Add(test.ahead) })
			_, err := f.client.Exchange(context.Background(), f.address, fullMessage())
			c.Assert(err, qt.IsNil)
			advanced := f.clock.Now().Wall > time.Now().Add(test.ahead/2).UnixMicro()
			c.Check(advanced, qt.Equals, test.observed)
		})
	}
}

// Guards against hosts that do not discover each other over the network or do not
// detect a stopped host, and against goroutines that outlive Run.
func TestRunner(t *testing.T) {
	defer goleak.VerifyNone(t)
	t.Run("three hosts", func(t *testing.T) {
		c := qt.New(t)
		var rows []peer.Row
		var tables []*peer.Table
		var listeners []net.Listener
		for i := range 3 {
			listener := listen(t)
			listeners = append(listeners, listener)
			self := row(fmt.Sprintf("host-%d", i))
			self.Address = ident.Address(listener.Addr().String())
			rows = append(rows, self)
			tables = append(tables, peer.NewTable(self))
		}
		run := func(i int) (stop func()) {
			ctx, cancel := context.WithCancel(context.Background())
			clock := timeline.NewClock(time.Now)
			tables[i].Merge(time.Now(), rows)
			gossip := peer.NewGossip(peer.Config{
				Table:     tables[i],
				Random:    rand.New(rand.NewPCG(uint64(i), 0)),
				Documents: func() uint64 { return 1 },
			})
			client := grpcpeer.NewClient(rows[i].Host, clock, time.Now)
			h := &handler{
				gossip: gossip,
			}
			done := make(chan error, 2)
			go func() { done <- grpcpeer.NewServer(h, clock, time.Now).Serve(ctx, listeners[i]) }()
			go func() { done <- grpcpeer.NewRunner(gossip, tables[i], client, time.Now).Run(ctx) }()
			return func() {
				cancel()
				c.Check(<-done, qt.IsNil)
				c.Check(<-done, qt.IsNil)
				client.Close()
			}
		}
		stops := []func(){run(0), run(1), run(2)}
		await := func(state peer.State) {
			deadline := time.Now().Add(15 * time.Second)
			for {
				row0, _ := tables[0].Snapshot().Row("host-2")
				row1, _ := tables[1].Snapshot().Row("host-2")
				if row0.State == state && row1.State == state {
					return
				}
				if time.Now().After(deadline) {
					c.Fatalf("host-2 is in state %d and %d, want %d", row0.State, row1.State, state)
				}
				time.Sleep(20 * time.Millisecond)
			}
		}
		await(peer.Alive)
		time.Sleep(time.Second)
		c.Check(tables[0].Snapshot().Live(), qt.HasLen, 3)
		stops[2]()
		await(peer.Down)
		stops[0]()
		stops[1]()
	})
}

// BenchmarkMessageBytes reports the mean size of gossip messages for several numbers
// of hosts, without and with a rumour published on every tick.
func BenchmarkMessageBytes(b *testing.B) {
	for _, hosts := range []int{9, 36, 120, 360} {
		for _, published := range []int{0, 1} {
			b.Run(fmt.Sprintf("%d hosts, %d rumours a tick", hosts, published), func(b *testing.B) {
				now := time.Unix(1_800_000_000, 0)
				gossips := make(map[ident.HostID]*peer.Gossip)
				var rows []peer.Row
				for i := range hosts {
					r := row(fmt.Sprintf("erie-hall-%03d", i))
					r.Address = ident.Address(fmt.Sprintf("127.0.%d.%d:7000", i/250, i%250+1))
					rows = append(rows, r)
				}
				for i, r := range rows {
					table := peer.NewTable(r)
					table.Merge(now, rows)
					gossips[r.Host] = peer.NewGossip(peer.Config{
						Table:     table,
						Random:    rand.New(rand.NewPCG(uint64(i), 0)),
						Documents: func() uint64 { return 1 << 60 },
					})
				}
				total, messages, ticks := 0, 0, 0
				for b.Loop() {
					now = now.Add(peer.Interval)
					ticks++
					for i := range published {
						gossips[rows[(ticks+i)%hosts].Host].Publish(peer.UpstreamLeaving{
							Upstream:    ident.UpstreamID(fmt.Sprintf("engine-%d", ticks)),
							Incarnation: 1_800_000_000_000,
						})
					}
					for _, r := range rows {
						for _, out := range gossips[r.Host].Tick(now) {
							reply := gossips[out.To].Receive(now, out.Message)
							gossips[r.Host].Answered(now, out.To, reply)
							total += proto.Size(grpcpeer.Encode(out.Message)) + proto.Size(grpcpeer.Encode(reply))
							messages += 2
						}
					}
				}
				b.ReportMetric(float64(total)/float64(messages), "B/message")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(ticks*hosts), "ns/host-tick")
			})
		}
	}
}

// BenchmarkExchange measures an exchange over an open loopback connection, and the
// bytes that the connection carries in both directions.
func BenchmarkExchange(b *testing.B) {
	h := &handler{
		registry: document.NewRegistry(),
	}
	server := serve(b, h, time.Now)
	proxy := listen(b)
	defer func() { _ = proxy.Close() }()
	var wireBytes atomic.Int64
	go func() {
		for {
			inbound, err := proxy.Accept()
			if err != nil {
				return
			}
			outbound, err := dial(server.address)
			if err != nil {
				return
			}
			go copyCounting(outbound, inbound, &wireBytes)
			go copyCounting(inbound, outbound, &wireBytes)
		}
	}()
	message := peer.Message{
		From: row("erie-hall-001"),
	}
	for b.Loop() {
		_, err := server.client.Exchange(context.Background(), ident.Address(proxy.Addr().String()), message)
		qt.Assert(b, err, qt.IsNil)
	}
	b.ReportMetric(float64(wireBytes.Load())/float64(b.N), "wire-B/exchange")
}

// copyCounting copies until an error occurs, and adds the number of bytes to total.
func copyCounting(to io.WriteCloser, from io.Reader, total *atomic.Int64) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 16<<10)
	for {
		read, err := from.Read(buffer)
		total.Add(int64(read))
		if err != nil {
			return
		}
		if _, err := to.Write(buffer[:read]); err != nil {
			return
		}
	}
}
