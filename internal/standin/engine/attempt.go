package engine

import (
	"container/heap"
	"sync/atomic"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Outcome is the state of an attempt or how it ended.
type Outcome string

// The outcomes of attempts.
const (
	OutcomeWaiting   Outcome = "waiting"
	OutcomeRunning   Outcome = "running"
	OutcomeCompleted Outcome = "completed"
	OutcomeCancelled Outcome = "cancelled"
	OutcomeCrashed   Outcome = "crashed"
	OutcomeBroken    Outcome = "broken"
	OutcomeExpired   Outcome = "expired"
)

// Run is the record of one attempt that the engine accepted.
type Run struct {
	AttemptID      string  `json:"attempt_id"`
	RequestID      string  `json:"request_id"`
	Scope          string  `json:"scope"`
	Incarnation    string  `json:"incarnation"`
	WeightsVersion string  `json:"weights_version"`
	PromptTokens   int     `json:"prompt_tokens"`
	CachedTokens   int     `json:"cached_tokens"`
	ResumeFrom     int     `json:"resume_from"`
	ResumeMismatch bool    `json:"resume_mismatch"`
	Tokens         int     `json:"tokens"`
	Outcome        Outcome `json:"outcome"`
}

// retainedRuns is the number of runs retained; the oldest are dropped first.
const retainedRuns = 20000

type runLog struct{ retained []*Run }

func (l *runLog) add(r *Run) {
	if len(l.retained) >= 2*retainedRuns {
		l.retained = append([]*Run(nil), l.retained[retainedRuns:]...)
	}
	l.retained = append(l.retained, r)
}

func (l *runLog) snapshot() []Run {
	out := make([]Run, len(l.retained))
	for i, r := range l.retained {
		out[i] = *r
	}
	return out
}

// attempt is one accepted completion. The scheduler advances emitted and sends
// on signal; the handler writes the chunks below emitted, whose text follows
// from their index. All other fields are guarded by the engine's mutex.
type attempt struct {
	run            *Run
	text           Text
	chain          []port.BlockHash
	from           int
	total          int
	stop           bool
	priority       int
	arrival        uint64
	deadline       time.Duration
	crashesOnStart bool
	faults         streamFaults

	next     time.Duration
	started  bool
	finished bool
	emitted  atomic.Int64
	silent   atomic.Bool
	signal   chan struct{}
	ended    chan struct{}
}

func (a *attempt) wake() {
	select {
	case a.signal <- struct{}{}:
	default:
	}
}

// finish sets the outcome once. Every outcome except completed ends the handler.
func (a *attempt) finish(outcome Outcome) {
	if a.finished {
		return
	}
	a.finished = true
	a.run.Outcome = outcome
	a.run.Tokens = max(0, int(a.emitted.Load())-a.from)
	if outcome != OutcomeCompleted {
		close(a.ended)
	}
}

// waitQueue orders attempts by priority, the highest number first, and then by
// arrival.
type waitQueue []*attempt

func (q waitQueue) Len() int { return len(q) }
func (q waitQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waitQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *waitQueue) Push(x any)   { *q = append(*q, x.(*attempt)) }
func (q *waitQueue) Pop() any     { return popLast((*[]*attempt)(q)) }

// decodeHeap orders running attempts by the time of their next token.
type decodeHeap []*attempt

func (h decodeHeap) Len() int           { return len(h) }
func (h decodeHeap) Less(i, j int) bool { return h[i].next < h[j].next }
func (h decodeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *decodeHeap) Push(x any)        { *h = append(*h, x.(*attempt)) }
func (h *decodeHeap) Pop() any          { return popLast((*[]*attempt)(h)) }

func popLast(list *[]*attempt) *attempt {
	last := len(*list) - 1
	a := (*list)[last]
	(*list)[last] = nil
	*list = (*list)[:last]
	return a
}

var (
	_ heap.Interface = (*waitQueue)(nil)
	_ heap.Interface = (*decodeHeap)(nil)
)
