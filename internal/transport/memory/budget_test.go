package memory_test

import (
	"bytes"
	"context"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/nutmegshift/nutmegshift/internal/transport/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const megabyte = 1 << 20

// endless is a reader without an end.
type endless struct{}

func (endless) Read(p []byte) (int, error) { return len(p), nil }

// Guards against a message that is cut, that exceeds its bound, or that takes other memory
// than its lease has.
func TestReadAll(t *testing.T) {
	const limit = 4 * megabyte
	text := func(n int) string { return strings.Repeat("x", n) }
	tests := map[string]struct {
		message io.Reader
		length  int64
		want    int // length of the message
		err     error
	}{
		"empty":                      {message: strings.NewReader(""), length: 0},
		"empty, no length":           {message: strings.NewReader(""), length: -1},
		"short":                      {message: strings.NewReader(text(800)), length: 800, want: 800},
		"short, no length":           {message: strings.NewReader(text(800)), length: -1, want: 800},
		"byte by byte":               {message: iotest.OneByteReader(strings.NewReader(text(8000))), length: 8000, want: 8000},
		"byte by byte, no length":    {message: iotest.OneByteReader(strings.NewReader(text(8000))), length: -1, want: 8000},
		"end comes with data":        {message: iotest.DataErrReader(strings.NewReader(text(100000))), length: 100000, want: 100000},
		"long":                       {message: strings.NewReader(text(megabyte)), length: megabyte, want: megabyte},
		"long, no length":            {message: strings.NewReader(text(megabyte)), length: -1, want: megabyte},
		"as long as allowed":         {message: strings.NewReader(text(limit)), length: limit, want: limit},
		"as long as allowed, no len": {message: strings.NewReader(text(limit)), length: -1, want: limit},
		"too long":                   {message: strings.NewReader(text(limit + 1)), length: -1, err: memory.ErrTooLarge},
		"states too large a length":  {message: endless{}, length: limit + 1, err: memory.ErrTooLarge},
		"without end":                {message: endless{}, length: -1, err: memory.ErrTooLarge},
		"fails":                      {message: io.MultiReader(strings.NewReader("x"), iotest.ErrReader(io.ErrUnexpectedEOF)), length: -1, err: io.ErrUnexpectedEOF},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			budget := memory.New(64 * megabyte)
			lease := budget.Lease(memory.Callers)
			message, err := lease.ReadAll(t.Context(), test.message, test.length, limit)
			if test.err != nil {
				c.Assert(err, qt.ErrorIs, test.err)
			} else {
				c.Assert(err, qt.IsNil)
				c.Check(bytes.Equal(message, []byte(text(test.want))), qt.IsTrue)
				c.Check(budget.Used() >= int64(cap(message)), qt.IsTrue)
			}
			lease.Release()
			c.Check(budget.Used(), qt.Equals, int64(0))
		})
	}
}

// Guards against the messages of one faulty party that leave no memory for those of the
// others, and against small messages that wait for large ones.
func TestFaultyHolder(t *testing.T) {
	c := qt.New(t)
	budget := memory.New(16 * megabyte)
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // so that nothing waits
	var held []*memory.Lease
	for {
		lease := budget.Lease("faulty")
		if err := lease.Resize(ctx, megabyte); err != nil {
			c.Assert(err, qt.ErrorIs, memory.ErrExhausted)
			break
		}
		held = append(held, lease)
	}
	c.Check(len(held), qt.Equals, 7)
	c.Check(budget.Lease("sound").Resize(ctx, 4*megabyte), qt.IsNil)
	c.Check(budget.Lease("another").Resize(ctx, 4*megabyte), qt.ErrorIs, memory.ErrExhausted)
	for range 16 {
		c.Check(budget.Lease("another").Resize(ctx, 32<<10), qt.IsNil)
	}
	for _, lease := range held {
		lease.Release()
	}
	c.Check(budget.Lease("another").Resize(ctx, 4*megabyte), qt.IsNil)
}

// Guards against messages that wait for each other, and against one that is refused
// although others end soon.
func TestMessagesWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		budget := memory.New(16 * megabyte)
		var readers sync.WaitGroup
		for range 20 {
			readers.Go(func() {
				lease := budget.Lease(memory.Callers)
				defer lease.Release()
				_, err := lease.ReadAll(t.Context(), strings.NewReader(strings.Repeat("x", 3*megabyte)), -1, 4*megabyte)
				c.Check(err, qt.IsNil)
			})
		}
		readers.Wait()
		c.Check(budget.Used(), qt.Equals, int64(0))
	})
}

// Guards against a message that waits for too long, or for room that there never is.
func TestWaitEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		budget := memory.New(16 * megabyte)
		c.Assert(budget.Lease(memory.Callers).Resize(t.Context(), 6*megabyte), qt.IsNil)
		started := time.Now()
		c.Check(budget.Lease(memory.Callers).Resize(t.Context(), 4*megabyte), qt.ErrorIs, memory.ErrExhausted)
		c.Check(time.Since(started), qt.Equals, time.Second)
		c.Check(budget.Lease(memory.Callers).Resize(t.Context(), 9*megabyte), qt.ErrorIs, memory.ErrExhausted)
		c.Check(time.Since(started), qt.Equals, time.Second)
	})
}

// Guards against leases that exceed the budget, or that stay after their messages, after
// any sequence of sizes.
func TestBudgetHolds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 16 * megabyte
		holders := []memory.Holder{memory.Callers, "a", "b"}
		budget := memory.New(limit)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		sizes := make(map[*memory.Lease]int64)
		var leases []*memory.Lease
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			if len(leases) == 0 || rapid.Bool().Draw(t, "new") {
				leases = append(leases, budget.Lease(rapid.SampledFrom(holders).Draw(t, "holder")))
			}
			lease := rapid.SampledFrom(leases).Draw(t, "lease")
			size := rapid.SampledFrom([]int64{0, 1, 4 << 10, 64 << 10, 64<<10 + 1, megabyte, 4 * megabyte, 7 * megabyte, 8 * megabyte}).Draw(t, "size")
			err := lease.Resize(ctx, size)
			if err == nil {
				sizes[lease] = size
			} else if !errors.Is(err, memory.ErrExhausted) || size <= sizes[lease] {
				t.Fatalf("resize from %d to %d: %v", sizes[lease], size, err)
			}
			total := int64(0)
			for _, size := range sizes {
				total += size
			}
			if total != budget.Used() || total > limit {
				t.Fatalf("%d bytes are leased, the budget counts %d", total, budget.Used())
			}
		}
		for _, lease := range leases {
			lease.Release()
		}
		if used := budget.Used(); used != 0 {
			t.Fatalf("%d bytes stay leased", used)
		}
		if err := budget.Lease("a").Resize(ctx, 7*megabyte); err != nil {
			t.Fatalf("the budget is not free: %v", err)
		}
	})
}
