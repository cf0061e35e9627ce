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
	// Sixteen partitions with sixteen writes a second each make at most 256
	// writes a second, which is within the store's limit at any request rate.
	writeInterval = 62500 * time.Microsecond
	// The queue holds a few seconds of claims at the largest batch size.
	maxQueue = 4096
	// Bounds the time that a batch takes to decide to a few milliseconds.
	maxBatch = 512
	// The store answers in milliseconds; a call without an answer by then is lost.
	storeTimeout = 2 * time.Second
	// Retries during an outage count towards the store's limits.
	maxBackoff = time.Second
	// Dropping segments scans the cache, so it is done at most this often.
	dropInterval = time.Minute
	listLimit    = 32
)

// writer owns the state of a partition and writes its batches.
type writer struct {
	cfg       Config
	partition Partition
	queue     *queue
	state     *state
	last      time.Time // start of the last write
	dropped   time.Time // last check for expired segments
}

// run serves the queue until ctx ends.
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
		if !sleep(ctx, backoff) || !w.pace(ctx) {
			return
		}
		batch := w.queue.take()
		if len(batch) == 0 {
			continue
		}
		if err := w.round(ctx, batch); err == nil {
			backoff = 0
			continue
		}
		w.queue.fail(batch, w.refusal)
		backoff = min(max(2*backoff, writeInterval), maxBackoff)
	}
}

// refusal answers a claim that is certain not to be written.
func (w *writer) refusal(op *operation) answer {
	// A holder in the cache may have run the request, so a plain "not written"
	// would mislead the caller.
	found, _ := w.state.decide(op, nil, w.cfg.Clock())
	switch held := found.decision.(type) {
	case InProgress:
		held.Stale = true
		return answer{
			decision: held,
		}
	case Completed:
		if record, ok := w.state.outcome(op.identity); ok {
			held = completedBy(record)
		}
		return answer{
			decision: held,
		}
	case Granted:
	}
	return answer{
		err: ErrStore,
	}
}

// round decides a batch, writes its records and answers it. After an error the batch is undecided.
func (w *writer) round(ctx context.Context, batch []*operation) error {
	fresh := false
	if !w.state.loaded {
		if err := w.reload(ctx); err != nil {
			return err
		}
		fresh = true
	}
	for ctx.Err() == nil {
		answers, records, settled := w.plan(batch)
		if len(records) == 0 {
			if !settled && !fresh {
				if err := w.reload(ctx); err != nil {
					return err
				}
				fresh = true
				continue
			}
			w.last = time.Now()
			w.answer(ctx, batch, answers)
			return nil
		}
		err := w.write(ctx, records)
		switch {
		case err == nil:
			w.answer(ctx, batch, answers)
			return nil
		case errors.Is(err, kv.ErrConflict):
		case errors.Is(err, kv.ErrUncertain):
			w.queue.doubt(batch, w.state.version)
		default:
			return err
		}
		if err := w.reload(ctx); err != nil {
			w.state.loaded = false
			return err
		}
		fresh = true
		if !w.pace(ctx) {
			break
		}
	}
	return errors.Trace(ctx.Err())
}

// plan decides the batch in order. It reports whether the answers hold without a fresh read.
func (w *writer) plan(batch []*operation) (answers []answer, records []*claimpb.Record, settled bool) {
	now := w.cfg.Clock()
	settled = true
	for _, op := range batch {
		made, record := w.state.decide(op, records, now)
		if record != nil {
			records = append(records, record)
		}
		settled = settled && made.final
		answers = append(answers, made)
	}
	return answers, records, settled
}

// answer adds the stored outcomes to the answers and settles the batch.
func (w *writer) answer(ctx context.Context, batch []*operation, answers []answer) {
	segments := make(map[uint32][]*claimpb.Record)
	for i, made := range answers {
		if _, ok := made.decision.(Completed); ok {
			answers[i].decision = w.outcome(ctx, batch[i].identity, made.segment, segments)
		}
	}
	w.queue.settle(batch, answers)
}

// outcome reads a stored outcome; one that cannot be read counts as not kept.
func (w *writer) outcome(ctx context.Context, identity Identity, number uint32, segments map[uint32][]*claimpb.Record) Completed {
	if record, ok := w.state.outcome(identity); ok {
		return completedBy(record)
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
			return completedBy(record)
		}
	}
	return Completed{}
}

// write appends records to the head, and seals a full head first.
func (w *writer) write(ctx context.Context, records []*claimpb.Record) error {
	s := w.state
	head := &claimpb.Head{
		Floor:   s.floor,
		Next:    s.next,
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
	if now := w.cfg.Clock(); now.Sub(w.dropped) >= dropInterval {
		w.dropped = now
		head.Floor = s.expired(now)
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
	w.queue.resolve(version, s.written)
	from := s.floor
	s.drop(head.Floor)
	w.deleteSegments(ctx, from, head.Floor)
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
		Key:   segmentKey(w.partition, w.state.next),
		Value: value,
	})
	if errors.Is(err, kv.ErrUncertain) {
		// The batch is not part of this write, so it has had no effect.
		return errors.Annotate(kv.ErrUnavailable, err.Error())
	}
	if errors.Is(err, kv.ErrConflict) {
		err = w.compareSegment(ctx)
	}
	if err != nil {
		return err
	}
	if !w.pace(ctx) {
		return errors.Trace(ctx.Err())
	}
	return nil
}

// compareSegment fails if the next segment differs from the head's records.
// Hosts with another sealBytes could cause that, and records would be lost.
func (w *writer) compareSegment(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	key := segmentKey(w.partition, w.state.next)
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

// deleteSegments removes segments that no head refers to. A failure leaves
// an unused segment in the store and is not retried.
func (w *writer) deleteSegments(ctx context.Context, from, to uint32) {
	for number := from; number < to; number++ {
		key := segmentKey(w.partition, number)
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		if entry, err := w.cfg.Store.Get(ctx, key); err == nil {
			_ = w.cfg.Store.Delete(ctx, key, entry.Version)
		}
		cancel()
	}
}

func (w *writer) put(ctx context.Context, put kv.Put) (kv.Version, error) {
	w.last = time.Now()
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	version, err := w.cfg.Store.Put(ctx, put)
	return version, errors.Annotatef(err, "write %q", put.Key)
}

// reload reads the head and the segments that the cache does not hold.
func (w *writer) reload(ctx context.Context) error {
	for range 3 {
		head, version, err := w.readHead(ctx)
		if err != nil {
			return err
		}
		if w.state.loaded && version == w.state.version {
			return nil
		}
		if head.GetFloor() > w.state.next {
			// The cache is older than every segment that is left.
			w.state = newState(w.cfg.Retention)
			w.state.floor = head.GetFloor()
			w.state.next = head.GetFloor()
		}
		// Until the head is set, its old records and the new segments overlap.
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
		w.queue.resolve(version, w.state.written)
		return nil
	}
	return errors.Annotatef(kv.ErrUnavailable, "claim partition %d changes while it is read", w.partition)
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

// readSegments folds the segments from the cache's next to next-1.
func (w *writer) readSegments(ctx context.Context, next uint32) error {
	for w.state.next < next {
		after := segmentPrefix(w.partition)
		if w.state.next > 0 {
			after = segmentKey(w.partition, w.state.next-1)
		}
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		page, err := w.cfg.Store.List(ctx, segmentPrefix(w.partition), after, listLimit)
		cancel()
		if err != nil {
			return errors.Annotatef(err, "read segments of claim partition %d", w.partition)
		}
		start := w.state.next
		for _, entry := range page.Entries {
			if w.state.next == next {
				break
			}
			if entry.Key != segmentKey(w.partition, w.state.next) {
				return errors.Annotatef(kv.ErrNotFound, "segment %d of claim partition %d", w.state.next, w.partition)
			}
			records, err := decodeSegment(entry.Value)
			if err != nil {
				return err
			}
			w.state.seal(records)
		}
		if w.state.next == start {
			return errors.Annotatef(kv.ErrNotFound, "segment %d of claim partition %d", start, w.partition)
		}
	}
	return nil
}

// pace waits until the interval since the last write is over.
func (w *writer) pace(ctx context.Context) bool {
	return sleep(ctx, writeInterval-time.Since(w.last))
}

// sleep reports whether ctx is still alive after the duration.
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
