package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.Write(p)
}

// Guards against a log writer that blocks the process, loses lines without counting
// them, or doesn't write all queued lines when it is closed.
func TestBoundedWriterDropsAndCounts(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	const lines = 3 * maxQueuedLines
	for i := range lines { // must not block although out does
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	close(out.release)
	w.Close()
	text := out.text.String()
	written := strings.Count(text, "line ")
	is.True(written >= maxQueuedLines && written < lines)
	var dropped, total int
	for _, line := range strings.Split(text, "\n") {
		if _, err := fmt.Sscanf(line, `{"level":"WARN","msg":"log lines dropped","count":%d}`, &dropped); err == nil {
			total += dropped
		}
	}
	is.Equal(written+total, lines)
}

// Guards against long lines that take more memory than short ones while nobody reads the log.
func TestBoundedWriterBoundsBytes(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	line := strings.Repeat("x", 64<<10)
	for range maxQueuedLines {
		_, err := fmt.Fprintln(w, line)
		is.NoErr(err)
	}
	is.True(w.queued.Load() <= maxQueuedBytes)
	close(out.release)
	w.Close()
	is.Equal(w.queued.Load(), int64(0))
	written := strings.Count(out.text.String(), line)
	is.True(written >= maxQueuedBytes/len(line)/2)
	is.True(written <= maxQueuedBytes/len(line)+1) // and the one that was being written
}
