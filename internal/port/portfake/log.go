// Package portfake provides in-memory implementations of ports for tests and for
// the stand-ins. They take their clock as a parameter and block only on timers and
// channels, so they work inside testing/synctest bubbles.
package portfake

import (
	"context"
	"regexp"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"mimosaseam.example/mimosaseam/internal/port"
)

// peerName is the name of the log in errors.
const peerName = "platform log"

// MaxReadRecords bounds the number of records returned by one read.
const MaxReadRecords = 10_000

var streamName = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,99}$`)

// LogOptions configures a Log.
type LogOptions struct {
	// Clock is used for record timestamps, retention and the rate limit. Nil: the
	// system clock.
	Clock port.Clock
	// Retention is the age at which records expire. 0: never.
	Retention time.Duration
	// AppendsPerSecond limits the calls of Append, regardless of their size.
	// 0: no limit.
	AppendsPerSecond float64
	// AppendBurst is the burst size of the append limit. 0: 1.
	AppendBurst int
}

// Faults are the faults that a Log injects. SetFaults replaces all of them.
type Faults struct {
	// Outage makes every call fail as unavailable, including waiting reads.
	Outage bool `json:"outage"`
	// LoseAfterEffect is the number of subsequent appends that take effect but whose
	// response is lost.
	LoseAfterEffect int `json:"lose_after_effect"`
	// LoseBeforeEffect is the number of subsequent appends that have no effect and
	// whose response is lost.
	LoseBeforeEffect int `json:"lose_before_effect"`
	// DelayMS delays each call before it takes effect, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Log is an in-memory port.Log with fault injection.
type Log struct {
	clock     port.Clock
	retention time.Duration
	limiter   *rate.Limiter

	mu      sync.Mutex
	streams map[string]*stream
	history port.History
	faults  Faults
	// changed is closed and replaced when records or faults change.
	changed chan struct{}
}

type stream struct {
	// records holds the positions oldest, oldest+1, ... in order.
	records []port.Record
	oldest  port.Offset
}

// Moment is the position of the next record of each stream at one moment.
type Moment map[string]port.Offset

func (s *stream) next() port.Offset { return s.oldest + port.Offset(len(s.records)) }

// NewLog returns an empty log.
func NewLog(o LogOptions) *Log {
	l := &Log{
		clock:     o.Clock,
		retention: o.Retention,
		streams:   map[string]*stream{},
		changed:   make(chan struct{}),
	}
	if l.clock == nil {
		l.clock = port.SystemClock{}
	}
	if o.AppendsPerSecond > 0 {
		l.limiter = rate.NewLimiter(rate.Limit(o.AppendsPerSecond), max(1, o.AppendBurst))
	}
	return l
}

// SetFaults replaces the faults and wakes waiting reads.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
	l.wake()
}

// Expire drops the records of a stream before the given offset.
func (l *Log) Expire(name string, oldest port.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.stream(name)
	n := min(max(oldest, s.oldest), s.next()) - s.oldest
	s.records = s.records[n:]
	s.oldest += n
}

// Now returns the current moment, for Restore.
func (l *Log) Now() Moment {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := Moment{}
	for name, s := range l.streams {
		m[name] = s.next()
	}
	return m
}

// Restore loses all records since the moment and begins a new history.
func (l *Log) Restore(to Moment) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.history++
	for name, s := range l.streams {
		end := max(to[name], 1)
		s.oldest = min(s.oldest, end)
		s.records = s.records[:min(int(end-s.oldest), len(s.records))]
	}
	l.wake()
}

// History returns the current history.
func (l *Log) History() port.History {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history
}

// offset returns the offset of a position in the current history.
func (l *Log) offset(position port.Offset) port.Offset {
	return port.OffsetAt(l.history, position.Position())
}

// Append implements port.Log.
func (l *Log) Append(ctx context.Context, name string, records []port.Record) (port.Offset, error) {
	if err := l.delay(ctx); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return 0, &port.UnavailableError{Peer: peerName}
	}
	if err := checkAppend(name, records); err != nil {
		return 0, err
	}
	if err := l.limitAppend(); err != nil {
		return 0, err
	}
	if l.faults.LoseBeforeEffect > 0 {
		l.faults.LoseBeforeEffect--
		return 0, &port.UnknownOutcomeError{Peer: peerName}
	}
	first := l.offset(l.write(name, records))
	if l.faults.LoseAfterEffect > 0 {
		l.faults.LoseAfterEffect--
		return 0, &port.UnknownOutcomeError{Peer: peerName}
	}
	return first, nil
}

// Read implements port.Log. An offset of 0 reads from the first record.
func (l *Log) Read(ctx context.Context, name string, from port.Offset, limit int, wait time.Duration) (port.Batch, error) {
	if !streamName.MatchString(name) {
		return port.Batch{}, badRequest("invalid stream name")
	}
	if limit < 1 {
		return port.Batch{}, badRequest("limit must be at least 1")
	}
	if err := l.delay(ctx); err != nil {
		return port.Batch{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	from = max(from, 1)
	for last := wait <= 0; ; {
		b, changed, err := l.read(name, from, min(limit, MaxReadRecords))
		if err != nil || len(b.Records) > 0 || last {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-ctx.Done():
			return port.Batch{}, &port.UnknownOutcomeError{Peer: peerName, Cause: ctx.Err()}
		}
	}
}

// read returns the records available now and a channel that is closed on the next
// change.
func (l *Log) read(name string, from port.Offset, limit int) (port.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Outage {
		return port.Batch{}, nil, &port.UnavailableError{Peer: peerName}
	}
	s := l.stream(name)
	l.dropExpired(s)
	changed := !from.IsStart() && from.History() != l.history
	position := port.Offset(from.Position())
	if changed || position < s.oldest {
		return port.Batch{}, nil, &port.ExpiredError{Stream: name, From: from, Oldest: l.offset(s.oldest)}
	}
	b := port.Batch{Next: l.offset(position), Oldest: l.offset(s.oldest), End: l.offset(s.next())}
	if position < s.next() {
		for _, r := range s.records[position-s.oldest:][:min(limit, int(s.next()-position))] {
			r.Offset = l.offset(r.Offset)
			b.Records = append(b.Records, r)
		}
		b.Next = l.offset(position + port.Offset(len(b.Records)))
	}
	return b, l.changed, nil
}

// delay waits for the injected delay. For a caller that gives up during the delay
// the outcome is unknown.
func (l *Log) delay(ctx context.Context) error {
	l.mu.Lock()
	d := time.Duration(l.faults.DelayMS) * time.Millisecond
	l.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return &port.UnavailableError{Peer: peerName, Cause: err}
	}
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &port.UnknownOutcomeError{Peer: peerName, Cause: ctx.Err()}
	}
}

// limitAppend fails with a RateLimitedError when the append limit is reached.
func (l *Log) limitAppend() error {
	if l.limiter == nil {
		return nil
	}
	now := l.clock.Now()
	r := l.limiter.ReserveN(now, 1)
	wait := r.DelayFrom(now)
	if wait == 0 {
		return nil
	}
	r.CancelAt(now)
	return &port.RateLimitedError{Peer: peerName, RetryAfter: wait}
}

func (l *Log) write(name string, records []port.Record) port.Offset {
	s, now := l.stream(name), l.clock.Now()
	first := s.next()
	for _, r := range records {
		r.Offset, r.AppendedAt = s.next(), now
		r.Data = append([]byte(nil), r.Data...)
		s.records = append(s.records, r)
	}
	l.wake()
	return first
}

func (l *Log) dropExpired(s *stream) {
	if l.retention <= 0 {
		return
	}
	limit := l.clock.Now().Add(-l.retention)
	for len(s.records) > 0 && s.records[0].AppendedAt.Before(limit) {
		s.records = s.records[1:]
		s.oldest++
	}
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{oldest: 1}
		l.streams[name] = s
	}
	return s
}

// wake wakes waiting reads.
func (l *Log) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

func checkAppend(name string, records []port.Record) error {
	if !streamName.MatchString(name) {
		return badRequest("invalid stream name")
	}
	if len(records) == 0 {
		return badRequest("no records")
	}
	for _, r := range records {
		if r.ID == "" {
			return badRequest("record without id")
		}
	}
	return nil
}

func badRequest(message string) error {
	return &port.BadRequestError{Peer: peerName, Status: 400, Message: message}
}
