package atmostonce

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxBatchRecords and maxBatchBytes bound one append.
	maxBatchRecords = 500
	maxBatchBytes   = 512 << 10
	// maxInFlight is the number of concurrent appends: others can proceed while
	// one hangs on an unresponsive connection.
	maxInFlight   = 4
	appendTimeout = 3 * time.Second
)

// item is one record to append.
type item struct {
	record port.Record
	// retry makes the appender retry until the record is in the log or expires.
	// Duplicates are harmless because the ledger state ignores them.
	retry   bool
	expires time.Time
	// unbatched excludes the record from batches after a batch was refused.
	unbatched bool
	// result receives the result of each append. Optional.
	result func(error)
}

// appender batches queued records into few appends.
type appender struct {
	o       Options
	limiter *rate.Limiter

	mu       sync.Mutex
	queue    []*item
	inFlight int // records of appends in progress
	changed  chan struct{}
	backoff  time.Duration
}

func newAppender(o Options) *appender {
	return &appender{
		o:       o,
		limiter: rate.NewLimiter(rate.Limit(o.AppendsPerSecond), 1),
		changed: make(chan struct{}),
	}
}

func (a *appender) add(items ...*item) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queue = append(a.queue, items...)
	a.notify()
}

func (a *appender) notify() {
	close(a.changed)
	a.changed = make(chan struct{})
}

// run appends queued records until the context ends. Records queued in the
// meantime go into the next append, so the number of appends does not grow with
// the number of calls.
func (a *appender) run(ctx context.Context) {
	slots := make(chan struct{}, maxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for a.waitQueued(ctx) {
		if a.limiter.Wait(ctx) != nil {
			return
		}
		_ = ctxtime.Sleep(ctx, a.delay())
		select {
		case slots <- struct{}{}:
		case <-ctx.Done():
			return
		}
		batch := a.nextBatch()
		wg.Go(func() {
			a.send(ctx, batch)
			<-slots
		})
	}
}

func (a *appender) waitQueued(ctx context.Context) bool {
	return a.waitFor(ctx, func() bool { return len(a.queue) > 0 }) == nil
}

func (a *appender) flush(ctx context.Context) error {
	return a.waitFor(ctx, func() bool { return len(a.queue) == 0 && a.inFlight == 0 })
}

func (a *appender) waitFor(ctx context.Context, condition func() bool) error {
	for ctx.Err() == nil {
		a.mu.Lock()
		done, changed := condition(), a.changed
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
	return ctx.Err()
}

// delay returns the jittered backoff before the next append to a failing log.
func (a *appender) delay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Duration((0.5 + a.o.Rand()/2) * float64(a.backoff))
}

// nextBatch removes the next batch from the queue.
func (a *appender) nextBatch() []*item {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, bytes := 0, 0
	for n < len(a.queue) && n < maxBatchRecords {
		next := a.queue[n]
		bytes += len(next.record.Data)
		if n > 0 && (bytes > maxBatchBytes || next.unbatched || a.queue[0].unbatched) {
			break
		}
		n++
	}
	batch := append([]*item(nil), a.queue[:n]...)
	a.queue = append([]*item(nil), a.queue[n:]...)
	a.inFlight += n
	return batch
}

func (a *appender) send(ctx context.Context, batch []*item) {
	records := make([]port.Record, len(batch))
	for i, it := range batch {
		records[i] = it.record
	}
	if len(records) == 0 {
		return
	}
	actx, cancel := context.WithTimeout(ctx, appendTimeout)
	_, err := a.o.Log.Append(actx, port.StreamLedger, records)
	cancel()
	a.settle(batch, err)
	for _, it := range batch {
		if it.result != nil && !retriedSeparately(batch, err) {
			it.result(err)
		}
	}
}

// retriedSeparately reports whether a batch was refused as a whole because of one
// record, so that its records are appended one by one.
func retriedSeparately(batch []*item, err error) bool {
	var bad *port.BadRequestError
	return errors.As(err, &bad) && len(batch) > 1
}

// settle updates the counters after an append and requeues the records that
// must still reach the log.
func (a *appender) settle(batch []*item, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.inFlight -= len(batch)
	a.setBackoff(err)
	now := a.o.Clock.Now()
	var bad *port.BadRequestError
	for _, it := range batch {
		switch {
		case err == nil:
		case retriedSeparately(batch, err):
			it.unbatched = true
			a.queue = append(a.queue, it)
		case errors.As(err, &bad):
			a.o.Logger.Error("ledger record refused by the log", "id", it.record.ID, "error", err)
		case it.retry && now.Before(it.expires):
			a.queue = append(a.queue, it)
		}
	}
	a.notify()
}

func (a *appender) setBackoff(err error) {
	var limited *port.RateLimitedError
	switch {
	case err == nil:
		a.backoff = 0
	case errors.As(err, &limited):
		a.backoff = min(max(limited.RetryAfter, minBackoff), maxBackoff)
	default:
		a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
	}
}
