package limits

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

func newRequest(account string, change ...func(*Request)) Request {
	a := Request{Account: account, Weight: 1, Pool: "p", Targets: []string{"e1"}, Slots: 2, PromptTokens: 9,
		Deadline: time.Now().Add(time.Minute)}
	for _, c := range change {
		c(&a)
	}
	return a
}

func reason(err error) Reason {
	var refused *RefusedError
	if errors.As(err, &refused) {
		return refused.Reason
	}
	return ""
}

// serveOrder queues the requests behind a full pool and returns the accounts in
// the order in which they were served.
func serveOrder(t *testing.T, requests []Request) []string {
	var served []string
	synctest.Test(t, func(t *testing.T) {
		c := NewController(port.SystemClock{}, SingleRouter{})
		first, err := c.Acquire(t.Context(), newRequest("first", func(a *Request) { a.Slots = 1 }))
		if err != nil {
			t.Fatal(err)
		}
		names := make(chan string, len(requests))
		for _, req := range requests {
			req.Slots, req.Deadline = 1, time.Now().Add(req.Deadline.Sub(time.Time{}))
			go func() {
				p, err := c.Acquire(t.Context(), req)
				if err != nil {
					names <- err.Error()
					return
				}
				names <- req.Account
				p.Release()
			}()
			synctest.Wait()
		}
		first.Release()
		for range requests {
			served = append(served, <-names)
		}
	})
	return served
}

// Guards against an order that is not by priority, then fair between accounts
// by weight, then by deadline; a large account must not starve a small one.
func TestQueueOrder(t *testing.T) {
	queued := func(account string, priority, weight int, within time.Duration) Request {
		return Request{Account: account, Weight: weight, Priority: priority, Pool: "p", Targets: []string{"e1"},
			PromptTokens: 99, Deadline: time.Time{}.Add(within)}
	}
	far := time.Hour
	cases := map[string]struct {
		requests []Request
		want     string
	}{
		"priority first": {[]Request{queued("a", 0, 1, far), queued("b", 5, 1, far)}, "[b a]"},
		"small among large": {[]Request{queued("large", 0, 1, far), queued("large", 0, 1, far), queued("large", 0, 1, far),
			queued("large", 0, 1, far), queued("small", 0, 1, far)}, "[large small large large large]"},
		"by weight": {[]Request{queued("one", 0, 1, far), queued("one", 0, 1, far), queued("three", 0, 3, far), queued("three", 0, 3, far),
			queued("three", 0, 3, far)}, "[three three one three one]"},
		"small first": {[]Request{queued("a", 0, 1, far), {Account: "b", Weight: 1, Pool: "p", Targets: []string{"e1"}, PromptTokens: 9,
			Deadline: time.Time{}.Add(far)}}, "[b a]"},
		"deadline last": {[]Request{queued("a", 0, 1, far), queued("b", 0, 1, time.Minute)}, "[b a]"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) { is.New(t).Equal(fmt.Sprint(serveOrder(t, c.requests)), c.want) })
	}
}

// Guards against a concurrency limit that is not enforced, or that blocks other accounts.
func TestConcurrencyLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctrl := NewController(port.SystemClock{}, SingleRouter{})
		limited := newRequest("a", func(a *Request) { a.Limits, a.Slots = config.Limits{Concurrency: 2}, 8 })
		for range 2 {
			_, err := ctrl.Acquire(t.Context(), limited)
			is.NoErr(err)
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/100)
		defer cancel()
		_, err := ctrl.Acquire(ctx, limited)
		is.Equal(reason(err), ReasonDeadline)
		_, err = ctrl.Acquire(t.Context(), newRequest("b", func(a *Request) { a.Slots = 8 }))
		is.NoErr(err) // another account is not blocked
	})
}

// Guards against requests that wait although they cannot meet their deadline,
// and against slots that leak when callers disconnect.
func TestEarlyRefusalAndDisconnectedCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := NewController(port.SystemClock{}, SingleRouter{})
		p, err := c.Acquire(t.Context(), newRequest("a"))
		is.NoErr(err)
		<-time.After(10 * time.Second) // fake clock: requests hold their slot for 10 s
		p.Release()
		one, _ := c.Acquire(t.Context(), newRequest("a"))
		_, _ = c.Acquire(t.Context(), newRequest("a"))
		before := time.Now()
		_, err = c.Acquire(t.Context(), newRequest("b", func(a *Request) { a.Deadline = time.Now().Add(3 * time.Second) }))
		is.Equal(reason(err), ReasonDeadline)
		is.Equal(time.Since(before), time.Duration(0)) // refused at once

		ctx, disconnect := context.WithCancel(t.Context())
		canceled := make(chan error)
		go func() {
			_, err := c.Acquire(ctx, newRequest("b"))
			canceled <- err
		}()
		synctest.Wait()
		disconnect()
		is.True(errors.Is(<-canceled, context.Canceled))
		one.Release()
		_, err = c.Acquire(t.Context(), newRequest("c"))
		is.NoErr(err) // the slot of the disconnected caller is free
		_, err = c.Acquire(t.Context(), newRequest("c", func(a *Request) { a.Targets = nil }))
		is.Equal(reason(err), ReasonNoTargets)
	})
}
