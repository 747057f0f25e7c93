package telemetry

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedWriter blocks until it is released.
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

// Guards against a log that blocks the process, loses lines silently, or leaves
// lines behind at the end.
func TestBoundedWriterDropsAndCounts(t *testing.T) {
	is := is.New(t)
	out := &blockedWriter{release: make(chan struct{})}
	w := NewBoundedWriter(out)
	const lines = 3 * queuedLines
	for i := range lines { // returns although nothing can be written
		_, err := fmt.Fprintf(w, "line %d\n", i)
		is.NoErr(err)
	}
	close(out.release)
	w.Close()
	text := out.text.String()
	written := strings.Count(text, "line ")
	is.True(written >= queuedLines && written < lines)
	var dropped, total int
	for _, line := range strings.Split(text, "\n") {
		if _, err := fmt.Sscanf(line, `{"level":"WARN","msg":"log lines dropped","count":%d}`, &dropped); err == nil {
			total += dropped
		}
	}
	is.Equal(written+total, lines)
}
