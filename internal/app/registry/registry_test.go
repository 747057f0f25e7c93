package registry

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// fakeLog is an in-memory keyed log that fails the first writes.
type fakeLog struct {
	mu      sync.Mutex
	values  map[string][]byte
	history port.History
	fail    int
}

func (m *fakeLog) History() port.History {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.history
}

func (m *fakeLog) Put(_ context.Context, _, key string, value []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.fail > 0 {
		m.fail--
		return &port.UnknownOutcomeError{Peer: "log"}
	}
	if value == nil {
		delete(m.values, key)
	} else {
		m.values[key] = value
	}
	return nil
}

func (m *fakeLog) Newest(context.Context, string) (port.KeyedBatch, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out port.KeyedBatch
	for key, value := range m.values {
		out.Records = append(out.Records, port.KeyedRecord{Key: key, Value: value})
	}
	return out, nil
}

func (m *fakeLog) Changes(context.Context, string, port.Offset, time.Duration) (port.KeyedBatch, error) {
	return port.KeyedBatch{}, nil
}

// Guards against a router that others do not find because the log was down when it
// started, one that stays listed after a planned shutdown, and malformed entries that make
// List fail.
func TestRoutersFindEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{values: map[string][]byte{"junk": []byte("{")}, fail: 3}
		r := New(log, port.VM{Name: "r1", Address: "10.0.0.1:1"}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		time.Sleep(5 * time.Second)
		list, err := r.List(t.Context())
		is.NoErr(err)
		is.Equal(list.VMs, []port.VM{{Name: "r1", Address: "10.0.0.1:1", Role: port.RoleRouter, State: port.VMLive}})
		r.Remove(t.Context())
		list, err = r.List(t.Context())
		is.NoErr(err)
		is.Equal(len(list.VMs), 0)
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that others no longer find because the log returned from a copy
// without its entry.
func TestEntryIsWrittenAgainAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{values: map[string][]byte{}}
		r := New(log, port.VM{Name: "r1", Address: "10.0.0.1:1"}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		for range 2 {
			<-time.After(5 * time.Second)
			list, err := r.List(t.Context())
			is.NoErr(err)
			is.Equal(len(list.VMs), 1)
			log.mu.Lock()
			log.values, log.history, log.fail = map[string][]byte{}, log.history+1, 2
			log.mu.Unlock()
		}
		cancel()
		synctest.Wait()
	})
}
