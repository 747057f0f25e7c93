package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queuedLines bounds the lines that wait to be written.
	queuedLines = 4096
	// batchBytes is the size from which on waiting lines are written at once.
	batchBytes = 16 << 10
	// batchWait is how long lines wait for others, which saves a call for each.
	batchWait = 50 * time.Millisecond
)

// BoundedWriter writes lines in the background. It never blocks: lines beyond
// its bound are dropped and counted, and the count is written as a line.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// NewBoundedWriter returns a writer in front of out; Close flushes it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, queuedLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits. Lines written later are dropped.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.stopped
}

func (w *BoundedWriter) run() {
	defer close(w.stopped)
	for {
		select {
		case line := <-w.lines:
			w.flush(line, batchWait)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.flush(nil, 0)
			}
			w.flush(nil, 0) // what was dropped last
			return
		}
	}
}

// flush writes the line with those that come within the wait.
func (w *BoundedWriter) flush(batch []byte, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		default:
		}
		if wait == 0 {
			break
		}
		select {
		case line := <-w.lines:
			batch = append(batch, line...)
			continue
		case <-w.stop:
			wait = 0
			continue
		case <-timer.C:
		}
		break
	}
	if n := w.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, `{"level":"WARN","msg":"log lines dropped","count":%d}`+"\n", n)
	}
	// Standard output is the last resort for failures; its own cannot be told.
	_, _ = w.out.Write(batch)
}
