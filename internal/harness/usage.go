package harness

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// PeakMemoryMB returns the largest resident size of a process so far.
func PeakMemoryMB(pid int) (int, error) {
	kb, err := statusKB(pid, "VmHWM:")
	return kb >> 10, err
}

// statusKB returns a field of a process's status.
func statusKB(pid int, field string) (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), field)
	return strconv.Atoi(strings.TrimSpace(strings.SplitN(rest, "kB", 2)[0]))
}

// MemoryWatch records the most memory that a process took together with what the kernel held
// for its connections, those that wait to be accepted included.
type MemoryWatch struct {
	stop chan struct{}
	done sync.WaitGroup
	most int
}

// memoryInterval is the time between two looks at the memory of a process.
const memoryInterval = 50 * time.Millisecond

// WatchMemory watches a process that listens on the addresses until MostMB.
func WatchMemory(pid int, addresses ...string) *MemoryWatch {
	var listeners []string
	for _, address := range addresses {
		listeners = append(listeners, kernelAddress(address))
	}
	w := &MemoryWatch{stop: make(chan struct{})}
	w.done.Go(func() {
		ticker := time.NewTicker(memoryInterval)
		defer ticker.Stop()
		for {
			if kb, err := statusKB(pid, "VmRSS:"); err == nil { // it may have ended
				w.most = max(w.most, kb<<10+queuedBytes(pid, listeners))
			}
			select {
			case <-w.stop:
				return
			case <-ticker.C:
			}
		}
	})
	return w
}

// MostMB ends the watch and returns the largest sum seen.
func (w *MemoryWatch) MostMB() int {
	close(w.stop)
	w.done.Wait()
	return w.most >> 20
}

// kernelAddress returns an IPv4 address with its port as /proc/net/tcp names it.
func kernelAddress(address string) string {
	a, err := netip.ParseAddrPort(address)
	if err != nil || !a.Addr().Is4() {
		return ""
	}
	ip := a.Addr().As4()
	return fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], a.Port())
}

// queuedBytes returns what the kernel holds of the connections of a process, and of those to the
// addresses that it listens on: bytes that were received and not read, and bytes that were written and
// not acknowledged.
func queuedBytes(pid int, listeners []string) (sum int) {
	own := socketsOf(pid)
	text, _ := os.ReadFile("/proc/net/tcp") // there is one on Linux
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < 10 || fields[3] == listening || !own[fields[9]] && !slices.Contains(listeners, fields[1]) {
			continue
		}
		sent, received, _ := strings.Cut(fields[4], ":")
		for _, queue := range []string{sent, received} {
			n, _ := strconv.ParseInt(queue, 16, 64) // the kernel writes numbers
			sum += int(n)
		}
	}
	return sum
}

// socketsOf returns the inodes of the sockets of a process.
func socketsOf(pid int) map[string]bool {
	out := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	open, _ := os.ReadDir(dir) // none when the process has ended
	for _, entry := range open {
		target, _ := os.Readlink(filepath.Join(dir, entry.Name())) // it may be closed
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			out[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return out
}

// listening is the state of a listener in /proc/net/tcp, whose queues count connections.
const listening = "0A"

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
