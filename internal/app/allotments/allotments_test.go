package allotments

import (
	"context"
	"errors"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/port"
)

var (
	testLimit = allotment.Limit{Rate: 50, Burst: 20}
	// settled is the time after which all routers of a test are attached.
	settled = 5 * time.Second
)

// shift is the time within which demand that moves gets its allotment.
const shift = 2 * time.Second

// window is the sliding window of the bound, and bound what may be spent in it.
const window = 8 * time.Second

var bound = int((testLimit.Rate*window.Seconds() + testLimit.Burst) * 1.1)

// Guards against routers that spend more than the limit together, or refuse what is within it,
// wherever the demand is and when it moves.
func TestRoutersShareTheLimit(t *testing.T) {
	for name, rates := range map[string][]float64{
		"one router": {200}, "two routers": {100, 100}, "uneven": {5, 5, 190}, "one of three": {0, 200, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := start(t, len(rates), testLimit)
				defer w.close()
				<-time.After(settled)
				needed := 0.95 * testLimit.Rate * window.Seconds()
				for range 3 {
					served := w.load(window, rates...)
					t.Logf("%d of %.0f to %d", served, needed, bound)
					is.True(served <= bound)
					is.True(float64(served) >= needed)
					rates = append(rates[1:], rates[0])
					needed = 0.95 * testLimit.Rate * (window - shift).Seconds()
				}
			})
		})
	}
}

// Guards against requests within the limit that are refused.
func TestRequestsWithinTheLimitAreServed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := start(t, 3, testLimit)
		defer w.close()
		<-time.After(settled)
		is.New(t).Equal(w.load(10*time.Second, 10, 10, 10), 300)
	})
}

// Guards against routers that stop serving, or overspend, when the allocator is gone, and
// against a message for each failed one while requests wait.
func TestAllocatorGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 3, testLimit)
		defer w.close()
		<-time.After(settled)
		rates := []float64{100, 100, 100}
		is.True(w.load(window, rates...) <= bound)
		allocator := w.services[0].client.States(time.Now())[0].Allocator
		for i := range w.services {
			if name(i) == allocator {
				w.kill(i)
				rates[i] = 0
			}
		}
		before := w.sent()
		during := w.load(window, rates...)
		t.Logf("after the loss: %d of %d with %d messages", during, bound, w.sent()-before)
		is.True(during <= bound)
		is.True(w.sent()-before < 500) // two routers, at most a few ten each second
		again := w.load(window, rates...)
		t.Logf("then: %d", again)
		is.True(again <= bound)
		is.True(float64(again) >= 0.85*testLimit.Rate*window.Seconds())
	})
}

// Guards against charges of requests that did not run and are lost to the account.
func TestReturnedChargesAreSpentAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 1, allotment.Limit{Rate: 1, Burst: 10})
		defer w.close()
		<-time.After(20 * time.Second)
		s := w.services[0]
		charge, err := s.Acquire(t.Context(), testKey, w.limit, 8, 0)
		is.NoErr(err)
		_, err = s.Acquire(t.Context(), testKey, w.limit, 8, 0)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, allotment.ReasonOver)
		is.Equal(refused.Allocator, "r0")
		is.True(refused.Attached)
		is.True(refused.RetryAfter > 4*time.Second) // 6 tokens are missing
		s.Return(charge)
		_, err = s.Acquire(t.Context(), testKey, w.limit, 8, 0)
		is.NoErr(err)
	})
}

// Guards against a request that is told to come back before its tokens are there, is refused
// late, or waits for tokens that cannot come.
func TestRefusalIsPromptAndTellsWhen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 1, allotment.Limit{Rate: 10, Burst: 10})
		defer w.close()
		<-time.After(settled)
		s := w.services[0]
		_, err := s.Acquire(t.Context(), testKey, w.limit, 10, 0)
		is.NoErr(err)
		begin := time.Now()
		_, err = s.Acquire(t.Context(), testKey, w.limit, 10, 0)
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.True(time.Since(begin) <= allotment.MaxWait+2*time.Millisecond)
		<-time.After(refused.RetryAfter)
		_, err = s.Acquire(t.Context(), testKey, w.limit, 10, 0)
		is.NoErr(err)
		_, err = s.Acquire(t.Context(), testKey, w.limit, 11, 0)
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, allotment.ReasonTooLarge)
	})
}

// Guards against clients that disconnect while their requests wait, and leave something behind
// or take tokens along.
func TestDisconnectedClients(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 2, allotment.Limit{Rate: 0.1, Burst: 10})
		defer w.close()
		<-time.After(settled)
		for _, s := range w.services {
			ctx, disconnect := context.WithCancel(t.Context())
			failed := make(chan error)
			go func() {
				_, err := s.Acquire(ctx, testKey, w.limit, 9, 0)
				failed <- err
			}()
			<-time.After(time.Millisecond)
			disconnect()
			if err := <-failed; !errors.Is(err, context.Canceled) {
				var refused *RefusedError
				is.True(errors.As(err, &refused)) // decided before
			}
			is.Equal(len(s.waiting), 0)
		}
	})
}

// Guards against a router that spends a part of the limit before the others count it, or while
// it knows fewer of them than there are.
func TestNewRouterSpendsNothingOfItsOwn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{Self: "r0", Incarnation: 1, Limits: func(allotment.Key) (allotment.Limit, bool) { return testLimit, true }})
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go func() { _ = s.Run(ctx) }()
		admitted := func(d time.Duration) bool {
			for end := time.Now().Add(d); time.Now().Before(end); <-time.After(100 * time.Millisecond) {
				if _, err := s.Acquire(t.Context(), testKey, testLimit, 1, 0); err == nil {
					return true
				}
			}
			return false
		}
		is.True(!admitted(30 * time.Second)) // not listed
		s.RouterListed(false, 2)
		is.True(!admitted(30 * time.Second)) // knows nobody
		s.SetRouters([]membership.Router{{Member: port.Member{Name: "r1", Address: "r1", State: port.MemberDead}, Listed: true}})
		is.True(admitted(30 * time.Second)) // its own part
	})
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := New(Options{Self: "r0", Incarnation: 1, Limits: func(allotment.Key) (allotment.Limit, bool) { return testLimit, true }})
		s.RouterListed(false, 1)
		now := time.Now()
		is.True(!s.routers.mayAttach(now.Add(allotment.AttachDelay - time.Millisecond)))
		is.True(s.routers.mayAttach(now.Add(allotment.AttachDelay)))
	})
}

// Guards against accounts without a limit that are counted, kept or refused.
func TestNoLimit(t *testing.T) {
	is := is.New(t)
	s := New(Options{Self: "r0"})
	for range 1000 {
		charge, err := s.Acquire(t.Context(), testKey, allotment.Limit{Burst: 1}, 1, 0)
		is.NoErr(err)
		s.Return(charge)
	}
	s.Charge(testKey, allotment.Limit{}, 5)
	is.Equal(testing.AllocsPerRun(100, func() { _, _ = s.Acquire(t.Context(), testKey, allotment.Limit{}, 1, 0) }), 0.0)
}

// Guards against messages between routers of a deployment that limits no account, and against
// a limit that does not act once there is one.
func TestNoMessagesWithoutLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := start(t, 3, testLimit)
		defer w.close()
		<-time.After(settled)
		w.setEnabled(false)
		<-time.After(2 * time.Second)
		before := w.sent()
		<-time.After(time.Minute)
		is.Equal(w.sent(), before)
		w.setEnabled(true)
		<-time.After(settled)
		is.True(w.sent() > before)
		served := w.load(window, 100, 100, 100)
		is.True(served <= bound)
		is.True(float64(served) >= 0.95*testLimit.Rate*window.Seconds())
	})
}

// Guards against a peer that fills the memory with accounts that do not exist, and against an
// account that is refused because it was unknown for a time.
func TestUnknownKeysAreBounded(t *testing.T) {
	is := is.New(t)
	known := map[allotment.Key]bool{testKey: true}
	s := New(Options{Self: "r0", Limits: func(key allotment.Key) (allotment.Limit, bool) { return testLimit, known[key] }})
	kept := 0
	for i := range 3 * maxUnknownKeys {
		kept += len(s.admitKeys([]allotment.Want{{Key: allotment.Key(strconv.Itoa(i)), Tokens: 1}, {Key: testKey, Tokens: 1}}))
	}
	is.Equal(kept, 3*maxUnknownKeys+maxUnknownKeys)
	is.Equal(len(s.unknown), maxUnknownKeys)
	is.Equal(len(s.admitKeys([]allotment.Want{{Key: "0"}, {Key: "new"}})), 1)
	known["0"] = true
	is.Equal(len(s.admitKeys([]allotment.Want{{Key: "0"}, {Key: "new"}})), 2)
}
