package engine

import (
	"container/heap"
	"context"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/prompt"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// timerResolution is the resolution of the scheduler's timer: tokens due within
	// one step are emitted together, which bounds the wake-ups per second.
	timerResolution = time.Millisecond
	// maxCatchUp bounds how far an attempt may lag behind its schedule, as after
	// a freeze. Lost time beyond it is not caught up.
	maxCatchUp = 100 * time.Millisecond
)

// startWaitingLocked moves waiting attempts into free slots.
func (e *Engine) startWaitingLocked() {
	for e.running < e.config.Slots && len(e.waiting) > 0 {
		a := heap.Pop(&e.waiting).(*attempt)
		if a.finished {
			continue
		}
		if a.crashesOnStart {
			e.crashLocked(e.faults.markerDown)
			e.tracker.Drop(context.Background())
			return
		}
		e.startLocked(a)
	}
}

func (e *Engine) startLocked(a *attempt) {
	e.running++
	a.started = true
	a.run.Outcome = OutcomeRunning
	cached := e.cache.match(a.chain) * e.config.BlockBytes / prompt.BytesPerToken
	a.run.CachedTokens = min(cached, a.run.PromptTokens)
	now := e.elapsed()
	begin := max(now, e.prefillFree)
	a.next = begin + e.prefillTime(a.run.PromptTokens-a.run.CachedTokens)
	e.prefillFree = a.next
	heap.Push(&e.decoding, a)
}

func (e *Engine) prefillTime(uncachedTokens int) time.Duration {
	if e.config.PrefillTokensPerSecond <= 0 {
		return 0
	}
	seconds := float64(uncachedTokens) / e.config.PrefillTokensPerSecond
	return time.Duration(seconds * e.faults.slowFactor() * float64(time.Second))
}

// runLocked emits all tokens that are due, starts waiting attempts and sets the
// timer for the next token.
func (e *Engine) runLocked() {
	if e.closed || e.faults.frozen {
		return
	}
	e.startWaitingLocked()
	now := e.elapsed()
	for len(e.decoding) > 0 && e.decoding[0].next <= now {
		a := e.decoding[0]
		if a.finished {
			heap.Pop(&e.decoding)
			continue
		}
		if e.advanceLocked(a, now) {
			heap.Fix(&e.decoding, 0)
			continue
		}
		heap.Pop(&e.decoding)
		e.releaseLocked(a, OutcomeCompleted)
		e.startWaitingLocked()
	}
	e.setTimerLocked(now)
}

// advanceLocked emits the tokens of a that are due and reports whether more follow.
func (e *Engine) advanceLocked(a *attempt, now time.Duration) bool {
	emitted := int(a.emitted.Load())
	if emitted == a.from {
		e.storeLocked(a)
	}
	interval := time.Duration(float64(e.config.DecodeInterval) * e.faults.slowFactor())
	if interval <= 0 {
		emitted = a.total
	} else {
		emitted++
		a.next = max(a.next, now-maxCatchUp) + interval
	}
	a.emitted.Store(int64(emitted))
	a.wake()
	return emitted < a.total
}

// storeLocked caches the blocks of a prompt whose prefill is complete.
func (e *Engine) storeLocked(a *attempt) {
	stored, evicted := e.cache.insert(a.run.Scope, a.chain)
	e.emitEvent(port.CacheStore, a.run.Scope, stored)
	e.emitEvictions(evicted)
}

// releaseLocked ends an attempt and frees its slot.
func (e *Engine) releaseLocked(a *attempt, outcome Outcome) {
	if a.finished {
		return
	}
	a.finish(outcome)
	if e.attempts[a.run.AttemptID] == a {
		delete(e.attempts, a.run.AttemptID)
	}
	if a.started {
		e.running--
	}
	e.recordLoadLocked()
}

func (e *Engine) setTimerLocked(now time.Duration) {
	if len(e.decoding) == 0 {
		return
	}
	at := (e.decoding[0].next + timerResolution - 1) / timerResolution * timerResolution
	if e.timerAt > now && e.timerAt <= at {
		return
	}
	if e.timerStop != nil {
		e.timerStop()
	}
	e.timerAt = at
	e.timerStop = e.config.Clock.AfterFunc(at-now, e.tick)
}

func (e *Engine) tick() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.timerAt = 0
	e.runLocked()
}

// end releases an attempt and schedules the next ones.
func (e *Engine) end(a *attempt, outcome Outcome) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.releaseLocked(a, outcome)
	e.runLocked()
}
