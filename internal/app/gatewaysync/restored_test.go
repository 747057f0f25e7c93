package gatewaysync

import (
	"context"
	"encoding/json"
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/port"
)

// TestMain fixes the seed of the property test unless a flag sets another one.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	os.Exit(m.Run())
}

// restore returns to the first n records and begins a new history.
func (l *fakeLog) restore(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = l.records[:n:n]
	l.history++
}

func (l *fakeLog) setDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// numbered reads the number after a value's text as its revision, as in "on 3".
func numbered(_ string, value []byte) (port.Revision, bool) {
	_, number, _ := strings.Cut(string(value), " ")
	n, err := strconv.ParseInt(number, 10, 64)
	return port.Revision{Number: n}, err == nil
}

// newRevised returns a follower of the operator's stream, whose keys are never removed.
func newRevised(log port.KeyedLog, peers ...*recorder) *recorder {
	f := newRecorder(log, func(ctx context.Context, stream string, from port.Offset) (out []port.Batch) {
		for _, p := range peers {
			if b, err := p.Records(ctx, stream, from, 0); err == nil {
				out = append(out, b)
			}
		}
		return out
	})
	f.Reset, f.Revision = nil, numbered
	return f
}

// newConfirmed is newRevised with another router that answers and knows nothing.
func newConfirmed(log port.KeyedLog) *recorder {
	f := newRevised(log)
	f.Peers = func(context.Context, string, port.Offset) []port.Batch { return []port.Batch{{}} }
	return f
}

// Guards against a configuration that is missed because the follower reads on from a
// position at which a restored log has another record.
func TestFollowerReadsARestoredLogAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		f := newConfirmed(log)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.add("config", "v 2")
		log.add("weights", "w 7")
		<-time.After(time.Second)
		log.setDown(true)
		<-time.After(time.Second)
		log.restore(1)
		log.add("weights", "w 7")
		log.add("config", "v 3") // in the place of the last record read
		log.setDown(false)
		<-time.After(2 * time.Second)
		values, age := f.state()
		is.Equal(values, map[string]string{"config": "v 3", "weights": "w 7"})
		is.True(age < 2*time.Second)
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that stays unverified for a whole long poll after an outage.
func TestVerifiedAtOnceAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		f := newRevised(log)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.setDown(true)
		<-time.After(3 * time.Second)
		log.setDown(false)
		<-time.After(2 * failurePause)
		_, age := f.state()
		is.True(age <= 2*failurePause)
		cancel()
		synctest.Wait()
	})
}

// Guards against a configuration that counts as the newest while the restored log holds an
// older one, and against an older one that is applied or served.
func TestOlderConfigurationIsNotVerified(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		f := newRevised(log)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.add("config", "v 2")
		<-time.After(time.Second)
		log.restore(1)
		<-time.After(4 * time.Second)
		values, age := f.state()
		is.Equal(values["config"], "v 2")
		is.True(age >= 4*time.Second)
		b, err := f.Records(ctx, f.Name, 0, 0)
		is.NoErr(err)
		is.Equal(string(b.Records[0].Data), "v 2")
		is.True(b.Age >= 4*time.Second)
		log.add("config", "v 2") // written again
		<-time.After(time.Second)
		values, age = f.state()
		is.Equal(values["config"], "v 2")
		is.True(age < 2*time.Second)
		log.add("config", "v 3")
		<-time.After(time.Second)
		values, _ = f.state()
		is.Equal(values["config"], "v 3")
		cancel()
		synctest.Wait()
	})
}

// Guards against a newer value that a router lost to one of a router that lags behind.
func TestLaggingRouterDoesNotReplaceNewerValues(t *testing.T) {
	is := is.New(t)
	log := &fakeLog{}
	log.add("config", "v 1")
	log.restore(1)
	log.add("config", "v 2")
	lagging, follower := newConfirmed(log), newConfirmed(log)
	for _, f := range []*recorder{lagging, follower} {
		f.Wait = 0
		is.NoErr(f.read(t.Context()))
	}
	log.add("config", "v 3")
	started := newRevised(log, lagging)
	is.NoErr(started.read(t.Context()))
	follower.Relay = func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
		b, err := started.Records(ctx, stream, from, 0)
		return b, true, err
	}
	is.True(follower.readRelayed(t.Context()))
	values, _ := follower.state()
	is.Equal(values["config"], "v 3")
}

// Guards against an entry with a revision beyond all others that keeps a target's own ones
// out for good.
func TestTooLargeRevisionDoesNotOutlastARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("a", "ready 5")
		f := newRevised(log)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.add("a", "odd 9000000000000000000")
		<-time.After(time.Second)
		log.restore(1)
		log.add("a", "leaving 6")
		<-time.After(rewriteTimeout + time.Second)
		log.add("a", "leaving 7")
		<-time.After(time.Second)
		values, _ := f.state()
		is.Equal(values["a"], "leaving 7")
		cancel()
		synctest.Wait()
	})
}

// Guards against a starting router that takes the older configuration of a restored log for
// the newest before it has found the others, or waits for others that are not there.
func TestStartingRouterWaitsForOthersInARestoredLog(t *testing.T) {
	for name, found := range map[string]time.Duration{"found soon": time.Second, "found late": 5 * time.Second, "none": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				log := &fakeLog{}
				log.add("config", "v 1")
				other := newRevised(log)
				other.Wait = 0
				is.NoErr(other.read(t.Context()))
				log.add("config", "v 2")
				is.NoErr(other.read(t.Context()))
				log.restore(1)
				start := time.Now()
				f := newRevised(log)
				answer := newRevised(log, other).Peers
				f.Peers = func(ctx context.Context, stream string, from port.Offset) []port.Batch {
					if time.Since(start) < found {
						return nil
					}
					return answer(ctx, stream, from)
				}
				ctx, cancel := context.WithCancel(t.Context())
				go func() { _ = f.Run(ctx) }()
				<-time.After(min(found, confirmTimeout) - confirmInterval)
				_, age := f.state()
				is.True(age > time.Hour) // never verified
				<-time.After(confirmTimeout + confirmInterval)
				values, age := f.state()
				if found <= confirmTimeout {
					is.Equal(values["config"], "v 2")
				} else {
					is.True(age < confirmTimeout)
				}
				<-time.After(5 * time.Second)
				values, _ = f.state()
				if found < time.Hour {
					is.Equal(values["config"], "v 2")
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// Guards against a router that never serves keys again because a value that a restore lost
// is not written again.
func TestLostValueIsNotAwaitedForEver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		f := newRevised(log)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.add("config", "v 2")
		<-time.After(time.Second)
		log.restore(1)
		<-time.After(rewriteTimeout - 2*time.Second)
		_, age := f.state()
		is.True(age >= rewriteTimeout-2*time.Second)
		<-time.After(5 * time.Second)
		values, age := f.state()
		is.Equal(values["config"], "v 2")
		is.True(age < 2*time.Second)
		cancel()
		synctest.Wait()
	})
}

// Guards against a router that starts after the restore with an older configuration, though
// another router knows the newer one.
func TestStartingRouterLearnsOfLostRecordsFromAPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		first := newRevised(log)
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = first.Run(ctx) }()
		<-time.After(time.Second)
		log.add("config", "v 2")
		<-time.After(time.Second)
		log.restore(1)
		second := newRevised(log, first)
		go func() { _ = second.Run(ctx) }()
		<-time.After(time.Second)
		values, _ := second.state()
		is.Equal(values["config"], "v 2")
		is.True(second.verified.IsZero())
		log.add("config", "v 2")
		<-time.After(2 * time.Second)
		for _, f := range []*recorder{first, second} {
			values, age := f.state()
			is.Equal(values["config"], "v 2")
			is.True(age < 2*time.Second)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a router behind a reader that never counts as up to date again, and one
// that misses what the reader has read since the restore.
func TestRelayedRecordsOfARestoredLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("config", "v 1")
		log.add("weights", "w 1")
		reader := newRevised(log)
		reader.HasFollowers = func() bool { return true }
		near := newRevised(log)
		near.Relay = func(ctx context.Context, stream string, from port.Offset) (port.Batch, bool, error) {
			b, err := reader.Records(ctx, stream, from, 0)
			return b, true, err
		}
		ctx, cancel := context.WithCancel(t.Context())
		for _, f := range []*recorder{reader, near} {
			go func() { _ = f.Run(ctx) }()
		}
		<-time.After(time.Second)
		log.add("config", "v 2")
		<-time.After(2 * time.Second)
		log.restore(1)
		log.add("config", "v 2")
		log.add("weights", "w 1")
		<-time.After(3 * time.Second)
		values, age := near.state()
		is.Equal(values, map[string]string{"config": "v 2", "weights": "w 1"})
		is.True(age < 3*time.Second)
		log.add("config", "v 3")
		<-time.After(2 * time.Second)
		values, _ = near.state()
		is.Equal(values["config"], "v 3")
		cancel()
		synctest.Wait()
	})
}

// Guards against removed targets that a restored log brings back, and against ones that stay
// away although they have written again.
func TestRemovedTargetsStayRemovedAfterARestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{}
		log.add("leaving", "ready 1")
		log.add("gone", "ready 1")
		log.add("back", "ready 1")
		f := newRecorder(log, nil)
		f.Follower = Targets(f.Follower, 100*time.Millisecond, testHeartbeat)
		f.Revision = numbered
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = f.Run(ctx) }()
		<-time.After(time.Second)
		log.setDown(true)
		<-time.After(outageHeartbeats * testHeartbeat)
		log.setDown(false)
		log.add("leaving", "leaving 2")
		log.add("gone", "")
		log.add("back", "")
		log.add("new", "ready 1") // the copy lacks it
		<-time.After(time.Second)
		log.restore(3)
		<-time.After(time.Second)
		values, _ := f.state()
		is.Equal(values, map[string]string{"leaving": "leaving 2", "gone": "", "back": ""})
		log.add("back", "ready 2")
		log.add("new", "ready 1")
		<-time.After(time.Second)
		values, _ = f.state()
		is.Equal(values, map[string]string{"leaving": "leaving 2", "gone": "", "back": "ready 2", "new": "ready 1"})
		cancel()
		synctest.Wait()
	})
}

// Guards against a follower that goes back to an older value, or whose values differ from
// the log's once all writers have written again, for any series of restores.
func TestValuesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		log := &fakeLog{}
		newest := map[string]int{} // what each writer has written last
		write := func(key string, n int) {
			newest[key] = n
			log.add(key, "v "+strconv.Itoa(n))
		}
		write("a", 1)
		f := newConfirmed(log)
		f.Wait = 0
		seen := map[string]int{}
		check := func() {
			if err := f.read(ctx); err != nil {
				rt.Fatalf("read: %v", err)
			}
			values, _ := f.state()
			for key, value := range values {
				n, _ := strconv.Atoi(strings.TrimPrefix(value, "v "))
				if n < seen[key] {
					rt.Fatalf("%s went back from %d to %d", key, seen[key], n)
				}
				seen[key] = n
			}
		}
		for range rapid.IntRange(1, 30).Draw(rt, "steps") {
			switch rapid.IntRange(0, 3).Draw(rt, "step") {
			case 0:
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				write(key, newest[key]+1)
			case 1:
				log.restore(rapid.IntRange(0, len(log.records)).Draw(rt, "kept"))
			case 2: // a writer writes again
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				if newest[key] > 0 {
					write(key, newest[key])
				}
			default:
				check()
			}
		}
		for key, n := range newest {
			write(key, n)
		}
		before := f.verified
		check()
		if len(f.awaited()) > 0 || !f.verified.After(before) {
			rt.Fatalf("awaits %v", f.awaited())
		}
		for key, n := range newest {
			if seen[key] != n {
				text, _ := json.Marshal(seen)
				rt.Fatalf("%s is %s, not %d", key, text, n)
			}
		}
	})
}
