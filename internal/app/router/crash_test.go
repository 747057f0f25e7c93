package router

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

// crashFleet is a set of engines that crash when they run the poison prompt,
// and come back at once as another incarnation.
type crashFleet struct {
	mu      sync.Mutex
	lives   map[string]int
	kill    map[string]context.CancelFunc
	crashes int
}

const poison = "poison"

// life returns the context that ends when the engine crashes.
func (f *crashFleet) life(address string) (context.Context, port.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx, kill := context.WithCancel(context.Background())
	if previous := f.kill[address]; previous != nil {
		next := kill
		kill = func() { previous(); next() }
	}
	f.kill[address] = kill
	return ctx, port.Incarnation(fmt.Sprint("life", f.lives[address]))
}

func (f *crashFleet) crash(address string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.crashes++
	f.lives[address]++
	f.kill[address]()
	delete(f.kill, address)
}

func (f *crashFleet) install(e *fakeEngine) {
	for _, address := range []string{"e1", "e2", "e3"} {
		e.scripts[address] = func(ctx context.Context, g port.Generation) (port.ChunkStream, error) {
			life, inc := f.life(address)
			s := newStream(ctx, g)
			s.inc, s.every = inc, 10*time.Millisecond
			if strings.HasPrefix(g.Prompt, poison) {
				time.AfterFunc(35*time.Millisecond, func() { f.crash(address) })
			}
			return &crashableStream{fakeStream: s, life: life}, nil
		}
		e.loads[address] = func() (port.LoadReport, error) {
			f.mu.Lock()
			defer f.mu.Unlock()
			return port.LoadReport{Incarnation: port.Incarnation(fmt.Sprint("life", f.lives[address])), WeightsVersion: "v1"}, nil
		}
	}
}

// crashableStream breaks when its engine crashes.
type crashableStream struct {
	*fakeStream
	life context.Context
}

func (s *crashableStream) Next() (port.Chunk, error) {
	c, err := s.fakeStream.Next()
	if s.life.Err() != nil && err == nil {
		return port.Chunk{}, &port.BrokenStreamError{Cause: s.life.Err()}
	}
	return c, err
}

// Guards against a request that crashes one target after the other, repeats
// included, and against harmless requests that are refused for having run beside
// it.
func TestCrashingRequestIsRefusedAndNeighboursSurvive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{lives: map[string]int{}, kill: map[string]context.CancelFunc{}}
		one, two := newBench(t, nil), newBench(t, nil)
		var told []string
		one.Fingerprints.SetReport(func(value string) { told = append(told, value) })
		fleet.install(one.engine)
		fleet.install(two.engine)

		honest := make(chan error)
		for i := range 4 {
			go func() {
				prompt := fmt.Sprint("honest", i)
				sink := &textSink{}
				_, err := one.complete(t.Context(), prompt, 20, sink)
				if err == nil && sink.text.String() != whole(prompt, 20) {
					err = &port.BrokenStreamError{Target: "wrong text"}
				}
				honest <- err
			}()
		}
		synctest.Wait()
		impatient := make(chan error)
		time.AfterFunc(70*time.Millisecond, func() { // the same request again, before the second crash
			_, err := one.complete(t.Context(), poison, 20, &textSink{})
			impatient <- err
		})
		_, err := one.complete(t.Context(), poison, 20, &textSink{})
		f := failure(t, err)
		is.Equal(f.Kind, KindCrashSuspect)
		is.Equal(f.Outcome, OutcomeMayHaveRun)
		f = failure(t, <-impatient)
		is.Equal(f.Kind, KindCrashSuspect)
		is.Equal(f.Outcome, OutcomeNotRun)
		for range 4 {
			is.NoErr(<-honest)
		}
		is.Equal(fleet.crashes, 2)
		is.Equal(len(told), 1) // neighbours that were cleared are not told

		// The caller repeats, here and on a router that heard of it from its peer.
		two.Fingerprints.Receive(time.Now(), told)
		for _, b := range []*bench{one, two} {
			_, err := b.complete(t.Context(), poison, 20, &textSink{})
			is.Equal(failure(t, err).Kind, KindCrashSuspect)
			is.Equal(failure(t, err).Outcome, OutcomeNotRun)
		}
		is.Equal(fleet.crashes, 2)
	})
}

// Guards against a caller that escapes by leaving after each crash and asking
// another router.
func TestSuspicionFollowsTheRequestToAnotherRouter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{lives: map[string]int{}, kill: map[string]context.CancelFunc{}}
		one, two := newBench(t, nil), newBench(t, nil)
		var told []string
		one.Fingerprints.SetReport(func(value string) { told = append(told, value) })
		fleet.install(one.engine)
		fleet.install(two.engine)
		ctx, leave := context.WithTimeout(t.Context(), 45*time.Millisecond)
		defer leave()
		_, err := one.complete(ctx, poison, 20, &textSink{})
		is.Equal(fleet.crashes, 1)
		is.True(err != nil)
		two.Fingerprints.Receive(time.Now(), told)
		_, err = two.complete(t.Context(), poison, 20, &textSink{})
		is.Equal(failure(t, err).Kind, KindCrashSuspect)
		is.Equal(fleet.crashes, 2)
	})
}

// Guards against a request that crashes one target after the other on a router that
// has not used them before: they are back at once, so only their incarnation tells.
func TestCrashBeforeTheFirstAnswerOfATarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fleet := &crashFleet{lives: map[string]int{}, kill: map[string]context.CancelFunc{}}
		b := newBench(t, nil)
		fleet.install(b.engine)
		for _, address := range []string{"e1", "e2", "e3"} {
			b.engine.scripts[address] = func(context.Context, port.Generation) (port.ChunkStream, error) {
				fleet.life(address)
				fleet.crash(address)
				return nil, &port.UnknownOutcomeError{Peer: address, Cause: io.ErrUnexpectedEOF}
			}
		}
		_, err := b.complete(t.Context(), poison, 20, &textSink{})
		is.Equal(failure(t, err).Kind, KindCrashSuspect)
		is.Equal(fleet.crashes, 2)
	})
}
