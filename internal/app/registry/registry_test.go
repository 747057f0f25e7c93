package registry

import (
	"context"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// fakeLog is an in-memory keyed log that fails the first writes and reads.
type fakeLog struct {
	mu      sync.Mutex
	values  map[string][]byte
	history port.History
	fail    int
	// failReads is the number of reads that fail.
	failReads int
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
	if m.failReads > 0 {
		m.failReads--
		return port.KeyedBatch{}, &port.UnavailableError{Peer: "log"}
	}
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

// Guards against an odd entry of another writer that hides the routers from each other, or
// counts as one of them.
func TestOddEntriesAreNoRouters(t *testing.T) {
	router := `{"name":"r2","role":"router","address":"10.0.0.2:1","state":"live"}`
	for name, text := range map[string]string{
		"nested deeply":          strings.Repeat("[", 200_000),
		"invalid UTF-8":          "\xff\xfe",
		"wrong types":            strings.Replace(router, `"r2"`, "7", 1),
		"a large number":         strings.Replace(router, `"live"`, "1e999999", 1),
		"no address":             strings.Replace(router, "10.0.0.2:1", "", 1),
		"name of another router": strings.Replace(router, "r2", "r1", 1),
		"no name":                strings.Replace(router, "r2", "", 1),
		"another role":           strings.Replace(router, `"router"`, `"engine"`, 1),
		"null":                   "null",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			log := &fakeLog{values: map[string][]byte{"odd": []byte(text), "r2": []byte(router)}}
			list, err := New(log, port.VM{Name: "r1"}, slog.New(slog.DiscardHandler)).List(t.Context())
			is.NoErr(err)
			is.Equal(list.VMs, []port.VM{{Name: "r2", Address: "10.0.0.2:1", Role: port.RoleRouter, State: port.VMLive}})
		})
	}
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

// Guards against a router that others no longer find because the removal of its earlier start,
// or an entry with another address, was written late; it is not written after its own removal.
func TestEntryIsWrittenAgainAfterALateWrite(t *testing.T) {
	for name, late := range map[string][]byte{"removal": nil, "entry": []byte(`{"name":"r1","address":"10.0.0.9:1","role":"router"}`)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{values: map[string][]byte{}}
				r := New(log, port.VM{Name: "r1", Address: "10.0.0.1:1"}, slog.New(slog.DiscardHandler))
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = r.Run(ctx) }()
				list := func() []port.VM {
					_, err := r.List(t.Context())
					is.NoErr(err)
					<-time.After(5 * time.Second)
					list, err := r.List(t.Context())
					is.NoErr(err)
					return list.VMs
				}
				is.Equal(len(list()), 1)
				for range 2 {
					is.NoErr(log.Put(t.Context(), "", "r1", late))
					is.Equal(list(), []port.VM{{Name: "r1", Address: "10.0.0.1:1", Role: port.RoleRouter, State: port.VMLive}})
				}
				r.Remove(t.Context())
				is.Equal(len(list()), 0)
				is.NoErr(log.Put(t.Context(), "", "r1", nil))
				is.Equal(len(list()), 0)
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a stopping router that is listed again, for good, by a restore during its
// stop.
func TestRemovedEntryIsNotWrittenAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{values: map[string][]byte{}}
		r := New(log, port.VM{Name: "r1", Address: "10.0.0.1:1"}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		<-time.After(3 * time.Second)
		r.Remove(t.Context())
		log.mu.Lock()
		log.history++
		log.mu.Unlock()
		<-time.After(3 * time.Second)
		list, err := r.List(t.Context())
		is.NoErr(err)
		is.Equal(len(list.VMs), 0)
		cancel()
		synctest.Wait()
	})
}

// restoringLog is restored while the first write is answered.
type restoringLog struct{ *fakeLog }

func (l restoringLog) Put(ctx context.Context, stream, key string, value []byte) error {
	err := l.fakeLog.Put(ctx, stream, key, value)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.history == 0 {
		l.values, l.history = map[string][]byte{}, 1
	}
	return err
}

// Guards against an entry that is not written again because the history changed while it was
// written.
func TestRestoreDuringTheFirstWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := New(restoringLog{&fakeLog{values: map[string][]byte{}}}, port.VM{Name: "r1", Address: "10.0.0.1:1"}, slog.New(slog.DiscardHandler))
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = r.Run(ctx) }()
		<-time.After(5 * time.Second)
		list, err := r.List(t.Context())
		is.NoErr(err)
		is.Equal(len(list.VMs), 1)
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that takes a part of the limits before others count it: one whose
// entry is new, or whose entries could not be read, must not seem to have been known before.
func TestOnListed(t *testing.T) {
	entry := func(name string) []byte {
		return []byte(`{"name":"` + name + `","address":"10.0.0.9:1","role":"router","state":"live"}`)
	}
	type listed struct {
		existed bool
		routers int
	}
	for name, c := range map[string]struct {
		log  *fakeLog
		want listed
	}{
		"alone":      {&fakeLog{values: map[string][]byte{}}, listed{false, 1}},
		"new":        {&fakeLog{values: map[string][]byte{"r2": entry("r2")}, fail: 2}, listed{false, 2}},
		"restarted":  {&fakeLog{values: map[string][]byte{"r1": entry("r1"), "r2": entry("r2")}}, listed{true, 2}},
		"unreadable": {&fakeLog{values: map[string][]byte{"r1": entry("r1"), "r2": entry("r2")}, failReads: 2}, listed{false, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := New(c.log, port.VM{Name: "r1", Address: "10.0.0.1:1"}, slog.New(slog.DiscardHandler))
				var got []listed
				r.OnListed = func(existed bool, routers int) { got = append(got, listed{existed, routers}) }
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = r.Run(ctx) }()
				<-time.After(10 * time.Second) // fake clock
				synctest.Wait()
				is.Equal(got, []listed{c.want})
				cancel()
				synctest.Wait()
			})
		})
	}
}
