package limits

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// gatedRequest returns a request of an account whose gate is closed for the delay.
func gatedRequest(account string, delay func() time.Duration, within time.Duration) Request {
	return Request{Account: account, Weight: 1, Pool: "p", Kind: "k", Deadline: time.Now().Add(within),
		Gate: &Gate{Delay: delay, ServiceTime: 100 * time.Millisecond, Servers: 4}}
}

// Guards against clients that get ahead of others by repeating refused requests at once, and
// against a later and later time for them.
func TestEarlyReturnsGainNoPlace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewController(port.SystemClock{}, SingleRouter{})
		closed := 10 * time.Second
		start := time.Now()
		gate := func() time.Duration { return max(0, closed-time.Since(start)) }
		repeated := func(within time.Duration) Request {
			r := gatedRequest("repeating", gate, within)
			r.Fingerprint = 7
			return r
		}
		_, err := c.Acquire(t.Context(), repeated(time.Second))
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.Equal(refused.RetryAfter, closed)
		<-time.After(time.Second)
		_, err = c.Acquire(t.Context(), repeated(time.Second))
		is.True(errors.As(err, &refused))
		is.True(refused.Early)
		is.Equal(refused.RetryAfter, closed-time.Second) // the time it was told before

		// It returns early again and waits; another account asks after it and is served first.
		served := make(chan string, 2)
		wait := func(r Request) {
			p, err := c.Acquire(t.Context(), r)
			if err != nil {
				served <- err.Error()
				return
			}
			served <- r.Account
			p.MarkStarted()
			p.Release()
		}
		go wait(repeated(time.Minute))
		synctest.Wait()
		go wait(gatedRequest("other", gate, time.Minute))
		is.Equal(<-served, "other")
		is.Equal(<-served, "repeating")
	})
}

// Guards against requests that wait until their deadline when most of the targets are lost, and
// against a queue that refuses those that can still be served.
func TestLostTargetsShortenTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewController(port.SystemClock{}, SingleRouter{})
		const queued, within = 40, 1500 * time.Millisecond // 1 s of work of four targets
		start := time.Now()
		closed := func() time.Duration { return max(0, 400*time.Millisecond-time.Since(start)) }
		refusals := make(chan *RefusedError, queued)
		for range queued {
			go func() {
				p, err := c.Acquire(t.Context(), gatedRequest("a", closed, within))
				var refused *RefusedError
				if errors.As(err, &refused) {
					refusals <- refused
					return
				}
				if err == nil {
					p.MarkStarted()
					p.Release()
				}
			}()
			synctest.Wait()
		}
		<-time.After(200 * time.Millisecond)
		is.Equal(len(refusals), 0)
		// The next request knows of one target only.
		last := gatedRequest("a", closed, within)
		last.Gate.Servers = 1
		_, err := c.Acquire(t.Context(), last)
		is.Equal(reason(err), ReasonDeadline)
		<-time.After(shedInterval)
		synctest.Wait()
		is.True(len(refusals) >= queued/2)
		for range len(refusals) {
			r := <-refusals
			is.True(r.Waited < within/2)
			is.Equal(r.Cause(), "deadline_waited")
		}
	})
}

// BenchmarkAdmit measures a request for which there is room: most requests, on small machines.
func BenchmarkAdmit(b *testing.B) {
	c := NewController(port.SystemClock{}, SingleRouter{})
	open := func() time.Duration { return 0 }
	accounts := []string{"a", "b", "c", "d"}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		p, err := c.Acquire(b.Context(), gatedRequest(accounts[i%len(accounts)], open, time.Second))
		if err != nil {
			b.Fatal(err)
		}
		p.MarkStarted()
		p.Release()
	}
}
