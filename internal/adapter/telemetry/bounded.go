package telemetry

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// maxQueuedLines and maxQueuedBytes bound the lines waiting to be written: lines quote what
	// clients have sent.
	maxQueuedLines = 4096
	maxQueuedBytes = 2 << 20
	// batchBytes is the batch size at which lines are written without further wait.
	batchBytes = 16 << 10
	// batchWait is how long a line waits for further lines, so that one write call
	// covers many lines.
	batchWait = 50 * time.Millisecond
)

// BoundedWriter writes lines in the background. Write never blocks: lines that
// exceed the queue are dropped, and their number is written as a log line.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	queued  atomic.Int64 // the bytes of lines
	dropped atomic.Int64
	stop    chan struct{}
	stopped chan struct{}
}

// NewBoundedWriter returns a writer that writes to out; Close flushes it.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	w := &BoundedWriter{out: out, lines: make(chan []byte, maxQueuedLines), stop: make(chan struct{}), stopped: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line.
func (w *BoundedWriter) Write(line []byte) (int, error) {
	size := int64(len(line))
	if w.queued.Add(size) > maxQueuedBytes {
		w.queued.Add(-size)
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.queued.Add(-size)
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes the queued lines. Lines written afterwards are dropped.
func (w *BoundedWriter) Close() {
	close(w.stop)
	<-w.stopped
}

func (w *BoundedWriter) run() {
	defer close(w.stopped)
	for {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			w.flush(line, batchWait)
		case <-w.stop:
			for len(w.lines) > 0 {
				w.flush(nil, 0)
			}
			w.flush(nil, 0) // writes the final count of dropped lines
			return
		}
	}
}

// flush writes the batch together with the lines that arrive within wait.
func (w *BoundedWriter) flush(batch []byte, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for len(batch) < batchBytes {
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
			batch = append(batch, line...)
			continue
		default:
		}
		if wait == 0 {
			break
		}
		select {
		case line := <-w.lines:
			w.queued.Add(-int64(len(line)))
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
	// A failure to write logs cannot be reported anywhere else.
	_, _ = w.out.Write(batch)
}
