package completions

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"mimosaseam.example/mimosaseam/internal/port"
)

// crashFleet is a set of engines that crash when they run the poison prompt and
// restart immediately with another incarnation.
type crashFleet struct {
	mu           sync.Mutex
	incarnations map[string]int
	cancels      map[string]context.CancelFunc
	crashes      int
}

const poison = "poison"

// attemptContext returns a context that ends when the engine crashes, and the
// current incarnation of the engine.
func (f *crashFleet) attemptContext(address string) (context.Context, port.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	if previous := f.cancels[address]; previous != nil {
		next := cancel
		cancel = func() { previous(); next() }
	}
	f.cancels[address] = cancel
	return ctx, port.Incarnation(fmt.Sprint("life", f.incarnations[address]))
}

func (f *crashFleet) crash(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.incarnations[address]++
	f.cancels[address]()
	delete(f.cancels, address)
}

func (f *crashFleet) install(e *fakeEngine) {
	for _, address := range []string{"e1", "e2", "e3"} {
		e.scripts[address] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			crashCtx, inc := f.attemptContext(address)
			s := newStream(ctx, g)
			s.inc, s.interval = inc, 10*time.Millisecond
			if strings.Contains(g.Prompt, poison) {
				time.AfterFunc(35*time.Millisecond, func() { f.crash(address) })
			}
			return &crashableStream{fakeStream: s, crashCtx: crashCtx}, nil
		}
		e.loads[address] = func() (port.LoadReport, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return port.LoadReport{Incarnation: port.Incarnation(fmt.Sprint("life", f.incarnations[address])), WeightsVersion: "v1"}, nil
		}
	}
}

// crashableStream fails when its engine crashes.
type crashableStream struct {
	*fakeStream
	crashCtx context.Context
}

func (s *crashableStream) Next() (port.Chunk, error) {
	c, err := s.fakeStream.Next()
	if s.crashCtx.Err() != nil && err == nil {
		return port.Chunk{}, &port.BrokenStreamError{Cause: s.crashCtx.Err()}
	}
	return c, err
}

// Guards against a request that crashes target after target, also when the caller
// repeats it, and against the rejection of harmless requests that ran on a target at
// the same time.
func TestCrashingRequestIsQuarantinedAndOthersSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{incarnations: map[string]int{}, cancels: map[string]context.CancelFunc{}}
		first, second := newTestRouter(t, nil), newTestRouter(t, nil)
		var reports []port.Fingerprint
		first.CrashTracker.SetReport(func(value string) { reports = append(reports, port.Fingerprint{Value: value}) })
		fleet.install(first.engine)
		fleet.install(second.engine)

		harmless := make(chan error)
		for i := range 4 {
			go func() {
				prompt := fmt.Sprint("honest", i)
				sink := &textSink{}
				_, err := first.complete(t.Context(), prompt, 20, sink)
				if err == nil && sink.text.String() != fullText(prompt, 20) {
					err = &port.BrokenStreamError{Target: "unexpected text"}
				}
				harmless <- err
			}()
		}
		synctest.Wait()
		duplicate := make(chan error)
		time.AfterFunc(70*time.Millisecond, func() { // the same request again before the second crash
			_, err := first.complete(t.Context(), poison, 20, &textSink{})
			duplicate <- err
		})
		_, err := first.complete(t.Context(), poison, 20, &textSink{})
		f := failure(t, err)
		is.Equal(f.Kind, KindCrashSuspect)
		is.Equal(f.Outcome, OutcomeMayHaveRun)
		f = failure(t, <-duplicate)
		is.Equal(f.Kind, KindCrashSuspect)
		is.Equal(f.Outcome, OutcomeNotRun)
		for range 4 {
			is.NoErr(<-harmless)
		}
		is.Equal(fleet.crashes, 2)
		is.Equal(len(reports), 1) // requests that are no longer suspects are not reported

		// The caller retries the request on this router and on one that received the
		// report from its peer.
		second.CrashTracker.Receive(time.Now(), reports)
		for _, b := range []*testRouter{first, second} {
			_, err := b.complete(t.Context(), poison, 20, &textSink{})
			is.Equal(failure(t, err).Kind, KindCrashSuspect)
			is.Equal(failure(t, err).Outcome, OutcomeNotRun)
		}
		is.Equal(fleet.crashes, 2)
	})
}

// Guards against a caller that avoids quarantine by disconnecting after each crash
// and sending the request to another router.
func TestCrashSuspicionReachesOtherRouters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{incarnations: map[string]int{}, cancels: map[string]context.CancelFunc{}}
		first, second := newTestRouter(t, nil), newTestRouter(t, nil)
		var reports []port.Fingerprint
		first.CrashTracker.SetReport(func(value string) { reports = append(reports, port.Fingerprint{Value: value}) })
		fleet.install(first.engine)
		fleet.install(second.engine)
		ctx, cancel := context.WithTimeout(t.Context(), 45*time.Millisecond)
		defer cancel()
		_, err := first.complete(ctx, poison, 20, &textSink{})
		is.Equal(fleet.crashes, 1)
		is.True(err != nil)
		second.CrashTracker.Receive(time.Now(), reports)
		_, err = second.complete(t.Context(), poison, 20, &textSink{})
		is.Equal(failure(t, err).Kind, KindCrashSuspect)
		is.Equal(fleet.crashes, 2)
	})
}

// Guards against a request that crashes target after target on a router that has not
// used them before. They restart at once, so only the incarnation shows the crash.
func TestCrashBeforeTheFirstResponseOfATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{incarnations: map[string]int{}, cancels: map[string]context.CancelFunc{}}
		b := newTestRouter(t, nil)
		fleet.install(b.engine)
		for _, address := range []string{"e1", "e2", "e3"} {
			b.engine.scripts[address] = func(context.Context, port.Generation) (port.ChunkStream, error) {
				fleet.attemptContext(address)
				fleet.crash(address)
				return nil, &port.UnknownOutcomeError{Peer: address, Cause: io.ErrUnexpectedEOF}
			}
		}
		_, err := b.complete(t.Context(), poison, 20, &textSink{})
		is.Equal(failure(t, err).Kind, KindCrashSuspect)
		is.Equal(fleet.crashes, 2)
	})
}

// Guards against different prompts that crash engine after engine because they share a
// section, and against refusing prompts that share only the beginning.
func TestPromptsWithACrashingSectionAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{incarnations: map[string]int{}, cancels: map[string]context.CancelFunc{}}
		b := newTestRouter(t, nil)
		fleet.install(b.engine)
		intro, bad := strings.Repeat("intro ", 400), strings.Repeat(poison+" ", 300)
		served := 0
		for i := range 40 {
			_, err := b.complete(t.Context(), fmt.Sprint(intro, bad, "question ", i), 20, &textSink{})
			if i > 10 {
				is.Equal(failure(t, err).Kind, KindCrashSuspect)
				is.Equal(failure(t, err).Outcome, OutcomeNotRun)
			}
			time.Sleep(time.Second)
			if _, err := b.complete(t.Context(), fmt.Sprint(intro, "dossier ", i), 20, &textSink{}); err == nil {
				served++
			}
			time.Sleep(time.Second)
		}
		is.True(fleet.crashes <= 6) // three prompts, each on two engines
		is.Equal(served, 40)
	})
}

// Guards against a quarantine of the beginning that sound prompts share with those that crash engines,
// if none of them begins between the crashes.
func TestSoundPromptsWithTheSameBeginningAreServed(t *testing.T) {
	intro := strings.Repeat("intro ", 400)
	for name, bad := range map[string]string{
		"long section": intro + strings.Repeat(poison+" ", 300), "short section": intro + poison,
		"first": strings.Repeat(poison+" ", 300) + intro} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				fleet := &crashFleet{incarnations: map[string]int{}, cancels: map[string]context.CancelFunc{}}
				b := newTestRouter(t, nil)
				fleet.install(b.engine)
				ask := func(prompt string) bool {
					_, err := b.complete(t.Context(), prompt, 20, &textSink{})
					return err == nil
				}
				for i := range 6 {
					is.True(ask(fmt.Sprint(intro, "dossier ", i)))
					time.Sleep(6 * time.Second)
				}
				for i := range 8 { // fast, so that no sound prompt is between them
					ask(fmt.Sprint(bad, "question ", i))
					time.Sleep(300 * time.Millisecond)
				}
				time.Sleep(8 * time.Second)
				served := 0
				const asked = 20
				for i := range asked {
					if ask(fmt.Sprint(intro, "report ", i)) {
						served++
					}
					ask(fmt.Sprint(bad, "another ", i))
					time.Sleep(6 * time.Second)
				}
				is.True(served >= asked/2)
			})
		})
	}
}
