package claim

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/nutmegshift/nutmegshift/claim/internal/claimpb"
	"github.com/nutmegshift/nutmegshift/kv"
)

const (
	// Minimum interval between writes of a partition. At 16 writes a second, 16
	// partitions make at most 256 writes a second, which is within the store's
	// limit at any request rate.
	writeInterval = 62500 * time.Microsecond
	// Operations in a queue; more claims are rejected. A full queue takes 8 batches,
	// which are written in half a second if the store responds quickly.
	maxQueue = 4096
	// Operations in a batch; limits the time to decide a batch to a few milliseconds.
	maxBatch = 512
	// The store normally responds within milliseconds; a call that takes longer is
	// treated as lost.
	storeTimeout = 2 * time.Second
	// Retries during an outage count towards the store's limits.
	maxBackoff = time.Second
	// Dropping segments scans the cache, so it is done at most this often.
	dropInterval = time.Minute
	// Segments in a page of a listing.
	listLimit = 32
)

// writer owns the state of a partition and writes its batches to the store.
type writer struct {
	cfg           Config
	partition     Partition
	queue         *queue
	state         *state
	lastWrite     time.Time // start of the last write, or end of the last batch that needed none
	lastDropCheck time.Time // last check for expired segments
}

// run processes the queue until ctx ends.
func (w *writer) run(ctx context.Context) {
	backoff := time.Duration(0)
	for {
		if w.queue.empty() {
			select {
			case <-w.queue.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if !sleep(ctx, backoff) || !w.waitWriteInterval(ctx) {
			return
		}
		batch := w.queue.take()
		if len(batch) == 0 {
			continue
		}
		if err := w.processBatch(ctx, batch); err == nil {
			backoff = 0
			continue
		}
		w.queue.fail(batch, w.unwrittenReply)
		backoff = min(max(2*backoff, writeInterval), maxBackoff)
	}
}

// unwrittenReply returns the reply to a claim that is certain not to be written.
func (w *writer) unwrittenReply(op *operation) reply {
	// If the cache contains a holder, that attempt may have run the request, and
	// ErrStore alone would tell the caller that it did not run.
	found, _ := w.state.decide(op, nil, w.cfg.Clock())
	switch held := found.decision.(type) {
	case InProgress:
		held.Stale = true
		return reply{
			decision: held,
		}
	case Completed:
		if record, ok := w.state.outcome(op.identity); ok {
			held = completedFrom(record)
		}
		return reply{
			decision: held,
		}
	case Granted:
	}
	return reply{
		err: ErrStore,
	}
}

// processBatch decides a batch, writes its records and replies to its operations.
// After an error the batch is undecided.
func (w *writer) processBatch(ctx context.Context, batch []*operation) error {
	reloaded := false
	if !w.state.loaded {
		if err := w.reload(ctx); err != nil {
			return err
		}
		reloaded = true
	}
	for ctx.Err() == nil {
		replies, records, final := w.plan(batch)
		if len(records) == 0 {
			if !final && !reloaded {
				if err := w.reload(ctx); err != nil {
					return err
				}
				reloaded = true
				continue
			}
			w.lastWrite = time.Now()
			w.sendReplies(ctx, batch, replies)
			return nil
		}
		err := w.write(ctx, records)
		switch {
		case err == nil:
			w.sendReplies(ctx, batch, replies)
			return nil
		case errors.Is(err, kv.ErrConflict):
		case errors.Is(err, kv.ErrUncertain):
			w.queue.markUncertain(batch, w.state.version)
		default:
			return err
		}
		if err := w.reload(ctx); err != nil {
			w.state.loaded = false
			return err
		}
		reloaded = true
		if !w.waitWriteInterval(ctx) {
			break
		}
	}
	return errors.Trace(ctx.Err())
}

// plan decides the batch in order. It returns the replies, the records to append, and
// whether the replies are valid without reading the head again.
func (w *writer) plan(batch []*operation) (replies []reply, records []*claimpb.Record, final bool) {
	now := w.cfg.Clock()
	final = true
	for _, op := range batch {
		r, record := w.state.decide(op, records, now)
		if record != nil {
			records = append(records, record)
		}
		final = final && r.final
		replies = append(replies, r)
	}
	return replies, records, final
}

// sendReplies adds the stored outcomes to the replies and finishes the batch.
func (w *writer) sendReplies(ctx context.Context, batch []*operation, replies []reply) {
	segments := make(map[uint32][]*claimpb.Record)
	for i, r := range replies {
		if _, ok := r.decision.(Completed); ok {
			replies[i].decision = w.outcome(ctx, batch[i].identity, r.segment, segments)
		}
	}
	w.queue.finish(batch, replies)
}

// outcome returns the stored outcome of an identity. An outcome that cannot be read is
// reported as not kept. It caches the segments that it reads in segments.
func (w *writer) outcome(ctx context.Context, identity Identity, number uint32, segments map[uint32][]*claimpb.Record) Completed {
	if record, ok := w.state.outcome(identity); ok {
		return completedFrom(record)
	}
	records, ok := segments[number]
	if !ok {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		if entry, err := w.cfg.Store.Get(ctx, segmentKey(w.partition, number)); err == nil {
			records, _ = decodeSegment(entry.Value)
		}
		segments[number] = records
	}
	for _, record := range records {
		if record.GetState() == claimpb.State_STATE_DONE && identityOf(record) == identity {
			return completedFrom(record)
		}
	}
	return Completed{}
}

// write appends records to the head. If the head is full, it is sealed as a segment first.
func (w *writer) write(ctx context.Context, records []*claimpb.Record) error {
	s := w.state
	head := &claimpb.Head{
		Floor:   s.floor,
		Next:    s.nextSegment,
		Records: append(s.records[:len(s.records):len(s.records)], records...),
	}
	sealing := s.full()
	if sealing {
		if err := w.createSegment(ctx); err != nil {
			return err
		}
		head.Next++
		head.Records = records
	}
	if now := w.cfg.Clock(); now.Sub(w.lastDropCheck) >= dropInterval {
		w.lastDropCheck = now
		head.Floor = s.retentionFloor(now)
	}
	value, err := encode(head)
	if err != nil {
		return err
	}
	version, err := w.put(ctx, kv.Put{
		Key:    headKey(w.partition),
		Value:  value,
		Expect: s.version,
	})
	if err != nil {
		return err
	}
	if sealing {
		s.seal(s.records)
	}
	s.setHead(version, head.Records)
	w.queue.resolve(version, s.holdsIdentity)
	previousFloor := s.floor
	s.drop(head.Floor)
	w.deleteSegments(ctx, previousFloor, head.Floor)
	return nil
}

// createSegment stores the full head's records as a segment. A segment that
// exists already has the same content, because a full head is final.
func (w *writer) createSegment(ctx context.Context) error {
	value, err := encode(&claimpb.Segment{
		Records: w.state.records,
	})
	if err != nil {
		return err
	}
	_, err = w.put(ctx, kv.Put{
		Key:   segmentKey(w.partition, w.state.nextSegment),
		Value: value,
	})
	if errors.Is(err, kv.ErrUncertain) {
		// The segment holds no record of the batch, so the batch has had no effect.
		return errors.Annotate(kv.ErrUnavailable, err.Error())
	}
	if errors.Is(err, kv.ErrConflict) {
		err = w.compareSegment(ctx)
	}
	if err != nil {
		return err
	}
	if !w.waitWriteInterval(ctx) {
		return errors.Trace(ctx.Err())
	}
	return nil
}

// compareSegment returns an error if the stored next segment differs from the head's
// records. Hosts with a different sealBytes could cause that, and records would be lost.
func (w *writer) compareSegment(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := segmentKey(w.partition, w.state.nextSegment)
	entry, err := w.cfg.Store.Get(ctx, key)
	if err != nil {
		return errors.Annotatef(err, "read %q", key)
	}
	records, err := decodeSegment(entry.Value)
	if err != nil {
		return err
	}
	same := func(a, b *claimpb.Record) bool { return proto.Equal(a, b) }
	if !slices.EqualFunc(records, w.state.records, same) {
		return errors.Errorf("%q differs from the full head", key)
	}
	return nil
}

// deleteSegments deletes the segments start to end-1, to which the head no longer
// refers. A failure leaves an unused segment in the store and is not retried.
func (w *writer) deleteSegments(ctx context.Context, start, end uint32) {
	for number := start; number < end; number++ {
		key := segmentKey(w.partition, number)
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		if entry, err := w.cfg.Store.Get(ctx, key); err == nil {
			_ = w.cfg.Store.Delete(ctx, key, entry.Version)
		}
		cancel()
	}
}

func (w *writer) put(ctx context.Context, put kv.Put) (kv.Version, error) {
	w.lastWrite = time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := w.cfg.Store.Put(ctx, put)
	return version, errors.Annotatef(err, "write %q", put.Key)
}

// reload reads the head and the segments that are not in the cache.
func (w *writer) reload(ctx context.Context) error {
	for range 3 {
		head, version, err := w.readHead(ctx)
		if err != nil {
			return err
		}
		if w.state.loaded && version == w.state.version {
			return nil
		}
		if head.GetFloor() > w.state.nextSegment {
			// All segments in the cache and some that follow it have been dropped.
			w.state = newState(w.cfg.Retention)
			w.state.floor = head.GetFloor()
			w.state.nextSegment = head.GetFloor()
		}
		// Until setHead, the old records of the head overlap with the new segments.
		w.state.loaded = false
		err = w.readSegments(ctx, head.GetNext())
		if errors.Is(err, kv.ErrNotFound) {
			// Another host raised the floor since the head was read.
			continue
		}
		if err != nil {
			return err
		}
		w.state.drop(head.GetFloor())
		w.state.setHead(version, head.GetRecords())
		w.queue.resolve(version, w.state.holdsIdentity)
		return nil
	}
	return errors.Annotatef(kv.ErrUnavailable, "claim partition %d changed during each of 3 reads", w.partition)
}

func (w *writer) readHead(ctx context.Context) (*claimpb.Head, kv.Version, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	entry, err := w.cfg.Store.Get(ctx, headKey(w.partition))
	if errors.Is(err, kv.ErrNotFound) {
		return &claimpb.Head{}, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Annotatef(err, "read head of claim partition %d", w.partition)
	}
	head, err := decodeHead(entry.Value)
	return head, entry.Version, err
}

// readSegments reads the segments from nextSegment to end-1 and adds them to the index.
func (w *writer) readSegments(ctx context.Context, end uint32) error {
	for w.state.nextSegment < end {
		after := segmentPrefix(w.partition)
		if w.state.nextSegment > 0 {
			after = segmentKey(w.partition, w.state.nextSegment-1)
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := w.cfg.Store.List(ctx, segmentPrefix(w.partition), after, listLimit)
		cancel()
		if err != nil {
			return errors.Annotatef(err, "read segments of claim partition %d", w.partition)
		}
		start := w.state.nextSegment
		for _, entry := range page.Entries {
			if w.state.nextSegment == end {
				break
			}
			if entry.Key != segmentKey(w.partition, w.state.nextSegment) {
				return errors.Annotatef(kv.ErrNotFound, "segment %d of claim partition %d", w.state.nextSegment, w.partition)
			}
			records, err := decodeSegment(entry.Value)
			if err != nil {
				return err
			}
			w.state.seal(records)
		}
		if w.state.nextSegment == start {
			return errors.Annotatef(kv.ErrNotFound, "segment %d of claim partition %d", start, w.partition)
		}
	}
	return nil
}

// waitWriteInterval waits until writeInterval has passed since lastWrite. It
// reports false if ctx ends first.
func (w *writer) waitWriteInterval(ctx context.Context) bool {
	return sleep(ctx, writeInterval-time.Since(w.lastWrite))
}

// sleep waits for the duration. It reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
