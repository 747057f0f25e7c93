package allotments

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/allotment"
	"mimosaseam.example/mimosaseam/internal/panics"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxLoopPause bounds the pause between two looks at the due messages: the loop sleeps
	// by a clock that stops while the VM is suspended.
	maxLoopPause = time.Second
	// minLoopPause bounds the looks per second. It is short compared with the wait of a
	// request.
	minLoopPause = time.Millisecond
	// maxOwnDraws bounds the messages to this router itself that are handled one after the
	// other under the lock; more are left to the loop.
	maxOwnDraws = 16
)

// Run sends the regular messages until the context ends.
func (s *Service) Run(ctx context.Context) error {
	for {
		timer := time.NewTimer(s.step())
		select {
		case <-timer.C:
		case <-s.wake:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
		timer.Stop()
	}
}

// step sends the due messages and returns the time until the next ones.
func (s *Service) step() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.o.Clock.Now()
	s.applyRouters(now)
	s.deliver(s.client.Expire(now))
	if s.o.Enabled != nil && !s.o.Enabled() && len(s.waiting) == 0 {
		s.nextLook = now.Add(maxLoopPause)
		return maxLoopPause
	}
	s.dispatch()
	s.logChanges(now)
	pause := min(max(s.client.NextDraw(now).Sub(now), minLoopPause), maxLoopPause)
	s.nextLook = now.Add(pause)
	return pause
}

// wakeBefore wakes Run if a message is due before its next look. s.mu must be held.
func (s *Service) wakeBefore() {
	if s.client.NextDraw(s.o.Clock.Now()).Before(s.nextLook) {
		s.wakeLoop()
	}
}

// wakeLoop makes Run look at the due messages now.
func (s *Service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// dispatch sends the messages that are due. Those to this router itself are handled at once.
// s.mu must be held.
func (s *Service) dispatch() {
	for range maxOwnDraws {
		own := false
		for _, m := range s.client.Draws(s.o.Clock.Now()) {
			if m.To != s.o.Self {
				s.o.Metrics.Add(MetricAsked, 1)
				go s.send(m, s.routers.addresses[m.To])
				continue
			}
			own = true
			now := s.o.Clock.Now()
			s.deliver(s.client.Answered(now, m, s.allocators.Handle(now, m.Draw, s.o.Limits)))
		}
		if !own {
			return
		}
	}
	s.wakeLoop()
}

// send sends one message to another router and records its answer.
func (s *Service) send(m allotment.OutgoingDraw, address string) {
	var answer allotment.Answer
	err := error(&port.UnavailableError{Peer: "router " + m.To})
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		now := s.o.Clock.Now()
		if err != nil {
			s.deliver(s.client.Failed(now, m))
		} else {
			s.deliver(s.client.Answered(now, m, answer))
		}
		s.dispatch()
		s.wakeBefore()
	}()
	defer panics.Catch(s.o.Logger, "allotment message", "peer", m.To)
	if s.o.Peer == nil || address == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), allotment.MessageTimeout)
	defer cancel()
	if answer, err = s.o.Peer.Draw(ctx, address, m.Draw); err != nil {
		s.o.Logger.Debug("no tokens from the allocator", "peer", m.To, "group", m.Draw.Group, "why", err.Error())
	}
}

// deliver passes decisions to the requests that wait for them. s.mu must be held.
func (s *Service) deliver(decisions []allotment.Resolved) {
	for _, r := range decisions {
		if decided := s.waiting[r.Request]; decided != nil {
			delete(s.waiting, r.Request)
			decided <- r.Decision
		}
	}
}

// logChanges logs the groups whose allocator or majority changed. s.mu must be held.
func (s *Service) logChanges(now time.Time) {
	states := s.client.States(now)
	for _, state := range states {
		if !slices.Contains(s.logged, state) {
			s.o.Logger.Info("allotment allocator", slog.Int("group", state.Group), slog.String("allocator", state.Allocator),
				slog.Bool("attached", state.Bound), slog.Bool("majority", state.Majority), slog.Int("routers", len(s.routers.all)))
		}
	}
	s.logged = states
}
