package harness

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PeakMemoryMB returns the largest resident size of a process so far.
func PeakMemoryMB(pid int) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.TrimSpace(strings.SplitN(rest, "kB", 2)[0]))
	return kb >> 10, err
}

// DescriptorWatch records the most file descriptors that a process had open.
type DescriptorWatch struct {
	stop chan struct{}
	done sync.WaitGroup
	most int
}

// descriptorInterval is the time between two counts of open descriptors.
const descriptorInterval = 20 * time.Millisecond

// WatchDescriptors watches a process until Most.
func WatchDescriptors(pid int) *DescriptorWatch {
	w := &DescriptorWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		ticker := time.NewTicker(descriptorInterval)
		defer ticker.Stop()
		for {
			open, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)) // none when the process has ended
			w.most = max(w.most, len(open))
			select {
			case <-w.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return w
}

// Most ends the watch and returns the largest number seen.
func (w *DescriptorWatch) Most() int {
	close(w.stop)
	w.done.Wait()
	return w.most
}

// PID returns the process id.
func (p *Process) PID() int { return p.cmd.Process.Pid }
