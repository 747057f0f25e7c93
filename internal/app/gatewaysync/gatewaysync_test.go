package gatewaysync

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/ctxtime"
	"mimosaseam.example/mimosaseam/internal/port"
)

var errDown = eris.New("down")

// fakeLog is a fake of the log with one keyed stream.
type fakeLog struct {
	mu      sync.Mutex
	records []port.KeyedRecord
	// expired is the number of oldest records that are no longer retained.
	expired int
	history port.History
	down    bool
	newest  int
	// limit is the number of records at which a response is cut, 0: none.
	limit int
	// latency is the time that a response takes.
	latency time.Duration
	// unchanged reports whether a value says the same as the stored one, so that the log keeps no
	// record of it; nil: it keeps all.
	unchanged func(older, newer []byte) bool
	// onResponse is called before a response of Changes arrives; nil: nothing happens.
	onResponse func()
}

// offset returns the offset of the record with index i.
func (l *fakeLog) offset(i int) port.Offset { return port.OffsetAt(l.history, uint64(i+1)) }

func (l *fakeLog) add(key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := port.KeyedRecord{Key: key}
	if value != "" {
		r.Value = []byte(value)
	}
	if stored := l.stored(key); l.unchanged != nil && r.Value != nil && stored != nil && l.unchanged(stored, r.Value) {
		return
	}
	l.records = append(l.records, r)
}

// stored returns the newest value of a key, nil if there is none.
func (l *fakeLog) stored(key string) []byte {
	for _, r := range slices.Backward(l.records) {
		if r.Key == key {
			return r.Value
		}
	}
	return nil
}

func (l *fakeLog) Newest(context.Context, string) (port.KeyedBatch, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return port.KeyedBatch{}, errDown
	}
	l.newest++
	last := map[string]port.KeyedRecord{}
	for i, r := range l.records {
		r.Offset = l.offset(i)
		last[r.Key] = r
		if r.Value == nil {
			delete(last, r.Key)
		}
	}
	out := port.KeyedBatch{Next: l.offset(len(l.records)), End: l.offset(len(l.records))}
	for _, r := range last {
		out.Records = append(out.Records, r)
	}
	return out, nil
}

func (l *fakeLog) Changes(ctx context.Context, stream string, from port.Offset, wait time.Duration) (port.KeyedBatch, error) {
	end := time.Now().Add(wait)
	for {
		l.mu.Lock()
		down, next := l.down, l.offset(len(l.records))
		if oldest := l.offset(l.expired); !down && from < oldest {
			l.mu.Unlock()
			return port.KeyedBatch{}, &port.ExpiredError{Stream: stream, From: from, Oldest: oldest}
		}
		var records []port.KeyedRecord
		newest := next
		if !down {
			records = append(records, l.records[from.Position()-1:]...)
			for i := range records {
				records[i].Offset = from + port.Offset(i)
			}
		}
		if l.limit > 0 && len(records) > l.limit {
			records, next = records[:l.limit], from+port.Offset(l.limit)
		}
		latency := l.latency
		l.mu.Unlock()
		if down {
			return port.KeyedBatch{}, errDown
		}
		if len(records) > 0 || !time.Now().Before(end) {
			_ = ctxtime.Sleep(ctx, latency)
			if l.onResponse != nil {
				l.onResponse()
			}
			return port.KeyedBatch{Records: records, Next: next, End: newest}, nil
		}
		select {
		case <-ctx.Done():
			return port.KeyedBatch{}, ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// recorder is a follower that records what it applied.
type recorder struct {
	*Follower
	mu       sync.Mutex
	values   map[string]string
	verified time.Time
}

func newRecorder(log port.KeyedLog, peers func(context.Context, string, port.Offset) []port.Batch) *recorder {
	f := &recorder{values: map[string]string{}}
	f.Follower = Operator(&Follower{Log: log, Logger: slog.New(slog.DiscardHandler), Clock: port.SystemClock{}, Peers: peers,
		Apply: func(r port.KeyedRecord) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.values[r.Key] = string(r.Value)
		},
		Reset: func(keys map[string]bool) {
			f.mu.Lock()
			defer f.mu.Unlock()
			for key := range f.values {
				if !keys[key] {
					delete(f.values, key)
				}
			}
		},
		OnVerified: func(at time.Time) {
			f.mu.Lock()
			defer f.mu.Unlock()
			if at.After(f.verified) {
				f.verified = at
			}
		}})
	return f
}

func (f *recorder) state() (map[string]string, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := map[string]string{}
	for k, v := range f.values {
		out[k] = v
	}
	return out, time.Since(f.verified)
}

// Guards against changes that are missed, late, or lost when the log's history expires.
func TestStreamFollows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "1")
		log.add("old", "x")
		f := newRecorder(log, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		time.Sleep(time.Second)
		log.add("config", "2")
		time.Sleep(100 * time.Millisecond)
		values, age := f.state()
		is.Equal(values["config"], "2")
		is.True(age < operatorWait+time.Second)
		// The history expires while a key is removed and another changes.
		log.mu.Lock()
		log.records = append(log.records, port.KeyedRecord{Key: "old"}, port.KeyedRecord{Key: "config", Value: []byte("3")})
		log.expired = len(log.records)
		log.mu.Unlock()
		time.Sleep(2 * time.Second)
		values, _ = f.state()
		is.Equal(values, map[string]string{"config": "3"})
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that counts as up to date during an outage of the log, and one
// that stays out of date although a peer has newer records.
func TestPeerRecordsCarryTheirAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		shared, own := &fakeLog{}, &fakeLog{}
		shared.add("config", "1")
		own.add("config", "1")
		peer := newRecorder(shared, func(context.Context, string, port.Offset) []port.Batch { return nil })
		alone := newRecorder(own, nil)
		helped := newRecorder(own, func(ctx context.Context, stream string, from port.Offset) []port.Batch {
			b, err := peer.Records(ctx, stream, from, 0)
			if err != nil {
				return nil
			}
			return []port.Batch{b}
		})
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range []*recorder{peer, alone, helped} {
			go func() { _ = f.Run(ctx) }()
		}
		time.Sleep(time.Second)
		own.mu.Lock()
		own.down = true
		own.mu.Unlock()
		shared.add("config", "2")
		time.Sleep(10 * time.Second)
		values, age := helped.state()
		is.Equal(values["config"], "2")
		is.True(age < 4*time.Second)
		_, age = alone.state()
		is.True(age >= 10*time.Second)
		// The peer loses the log as well: no router can verify its records.
		shared.mu.Lock()
		shared.down = true
		shared.mu.Unlock()
		time.Sleep(10 * time.Second)
		_, age = helped.state()
		is.True(age >= 10*time.Second)
		cancel()
		synctest.Wait()
	})
}

// Guards against routers that miss a reader's new records, removed keys or their age, and
// against relayed records that are accepted although they are too old.
func TestRelayedRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log, own := &fakeLog{}, &fakeLog{}
		for _, k := range []*fakeLog{log, own} {
			k.add("a", "1")
			k.add("b", "1")
		}
		reader := newRecorder(log, func(context.Context, string, port.Offset) []port.Batch { return nil })
		reader.HasFollowers = func() bool { return true }
		relay := func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
			b, err := reader.Records(ctx, stream, from, 0)
			return b, true, err
		}
		// The follower's own log shows how often it is read.
		near := newRecorder(own, nil)
		near.Relay = relay
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = reader.Run(ctx) }()
		<-time.After(time.Second)
		go func() { _ = near.Run(ctx) }()
		<-time.After(time.Second)
		log.add("a", "2")
		log.add("b", "")
		log.add("c", "3")
		<-time.After(time.Second)
		values, age := near.state()
		is.Equal(values["a"], "2")
		is.Equal(values["b"], "")
		is.Equal(values["c"], "3")
		is.True(age <= 2*readerWait+relayInterval+relaySlack)
		is.Equal(own.newest, 1) // read once, at the start

		// The reader loses the log: its records keep their age, and the follower reads the
		// log itself.
		log.mu.Lock()
		log.down = true
		log.mu.Unlock()
		for range 4 {
			own.add("a", "9")
		}
		<-time.After(10 * time.Second)
		values, age = near.state()
		is.Equal(values["a"], "9")
		is.True(age < 2*operatorWait+relayInterval)
		cancel()
		synctest.Wait()
	})
}

// Guards against keys that were removed while neither the reader nor the router that reads
// from it read the log.
func TestRecordsOfALateReaderAreRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("gone", "1")
		log.add("stays", "1")
		near := newRecorder(log, nil)
		ctx, cancel := context.WithCancel(t.Context())
		is.NoErr(near.read(ctx))
		log.add("gone", "")
		reader := newRecorder(log, nil)
		reader.Relay = func(context.Context, string, port.Offset) (port.Batch, bool, error) { return port.Batch{}, false, nil }
		is.NoErr(reader.read(ctx))
		near.Relay = func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
			b, err := reader.Records(ctx, stream, from, 0)
			return b, true, err
		}
		go func() { _ = near.Run(ctx) }()
		<-time.After(time.Second)
		values, _ := near.state()
		is.Equal(values, map[string]string{"stays": "1"})
		cancel()
		synctest.Wait()
	})
}

// Guards against signs of life of targets that are applied or relayed as if they said
// something new, and against a change that is taken for one.
func TestUnchangedRecordsAreNotApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("a", "1 first")
		f := newRecorder(log, func(context.Context, string, port.Offset) []port.Batch { return nil })
		f.Unchanged = func(older, newer []byte) bool { return older[0] == newer[0] }
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		from := f.offset()
		log.add("a", "1 again")
		<-time.After(time.Second)
		values, _ := f.state()
		is.Equal(values["a"], "1 first")
		b, err := f.Records(ctx, f.Name, from, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 0)
		is.True(b.Next > from)
		log.add("a", "2")
		<-time.After(time.Second)
		values, _ = f.state()
		is.Equal(values["a"], "2")
		log.add("a", "")
		log.add("a", "2")
		<-time.After(time.Second)
		values, _ = f.state()
		is.Equal(values["a"], "2") // removed and back
		b, err = f.Records(ctx, f.Name, from, 0)
		is.NoErr(err)
		is.Equal(len(b.Records), 1)
		cancel()
		synctest.Wait()
	})
}

// Guards against a configuration whose last verification is often too old for what depends
// on it: cached prompt parts are transferred only within 2 s of it.
func TestVerificationStaysFresh(t *testing.T) {
	const maxAge = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("a", "1")
		f := newRecorder(log, nil)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		for range 1000 {
			<-time.After(20 * time.Millisecond)
			_, age := f.state()
			is.True(age < maxAge)
		}
		cancel()
		synctest.Wait()
	})
}
