package freshread_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/nutmegshift/nutmegshift/internal/relay/freshread"
)

// Guards against a caller that is answered by a read which began before its call, and so may
// not show what had happened before.
func TestAwait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const (
			callers  = 40
			duration = 300 * time.Millisecond // of a read
			interval = 500 * time.Millisecond
		)
		var reads atomic.Int32
		var began atomic.Int64 // when the latest read began, after start
		start := time.Now()
		reader := freshread.New(func(context.Context) error {
			reads.Add(1)
			began.Store(int64(time.Since(start)))
			time.Sleep(duration)
			return nil
		}, interval, time.Second)
		var group sync.WaitGroup
		for range callers {
			called := time.Since(start)
			group.Go(func() {
				c.Check(reader.Await(context.Background()), qt.IsNil)
				c.Check(time.Duration(began.Load()) >= called, qt.IsTrue)
			})
			time.Sleep(50 * time.Millisecond)
		}
		group.Wait()
		c.Check(time.Duration(reads.Load()) <= time.Since(start)/interval+1, qt.IsTrue, qt.Commentf("%d reads in %s", reads.Load(), time.Since(start)))
	})
}

// Guards against a caller that waits for longer than it can.
func TestAwaitTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		reader := freshread.New(func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}, 0, time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		c.Check(reader.Await(ctx), qt.ErrorIs, context.DeadlineExceeded)
		c.Check(time.Since(start), qt.Equals, 100*time.Millisecond)
		c.Check(reader.Await(context.Background()), qt.ErrorIs, context.DeadlineExceeded)
		c.Check(time.Since(start), qt.Equals, 2*time.Second)
	})
}
