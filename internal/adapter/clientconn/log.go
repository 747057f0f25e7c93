package clientconn

import (
	"log/slog"
	"sync"
	"time"
)

// Metrics counts events.
type Metrics interface {
	Add(name string, delta int64)
}

// Names of metrics.
const (
	// MetricNotAccepted counts new connections that were closed because there was no room.
	MetricNotAccepted = "connections_not_accepted"
	// MetricClosed counts connections that were closed because memory was short.
	MetricClosed = "connections_closed_for_memory"
	// MetricHeadsRefused counts heads over the limit, MetricBodiesRefused bodies over it, that
	// made no progress, or for which there was no memory.
	MetricHeadsRefused  = "heads_refused"
	MetricBodiesRefused = "bodies_refused"
)

// logInterval is the time between two log lines about the same decision: a crowd causes
// thousands of them.
const logInterval = time.Second

// decisionLog counts decisions and logs them, at most one of each kind in logInterval.
type decisionLog struct {
	logger  *slog.Logger
	metrics Metrics

	mu    sync.Mutex
	kinds map[string]*loggedKind
}

type loggedKind struct {
	at      time.Time
	omitted int
}

func newDecisionLog(logger *slog.Logger, metrics Metrics) *decisionLog {
	if logger == nil {
		logger = slog.New(slog.DiscardHandler)
	}
	return &decisionLog{logger: logger, metrics: metrics, kinds: map[string]*loggedKind{}}
}

func (l *decisionLog) decide(metric, text, client string) {
	if l.metrics != nil {
		l.metrics.Add(metric, 1)
	}
	l.mu.Lock()
	k := l.kinds[text]
	if k == nil {
		k = &loggedKind{}
		l.kinds[text] = k
	}
	now := time.Now()
	if now.Sub(k.at) < logInterval {
		k.omitted++
		l.mu.Unlock()
		return
	}
	omitted := k.omitted
	k.at, k.omitted = now, 0
	l.mu.Unlock()
	l.logger.Info(text, "client", client, "omitted", omitted)
}
