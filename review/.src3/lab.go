// Command lab starts routers of the command gateway as processes, with stand-ins of the platform's
// log, of runners and of clients, and plays one case of the review.
package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"mimosaseam.example/mimosaseam/platform/platformtest"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
	readyLimit = 20 * time.Second
)

// lab is the surroundings of one case.
type lab struct {
	dir     string
	program string
	trouble bool
	begun   time.Time
	log     *platformtest.Log
	server  *httptest.Server
	routers []*router
	// logAddress is where the routers reach the log.
	logAddress string

	mu     sync.Mutex
	record *os.File
}

// router is one process of the project.
type router struct {
	cmd    *exec.Cmd
	front  string
	ready  string
	output *os.File
}

// note writes a line to the record.
func (l *lab) note(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, args...))
}

func newLab(program, record string) (*lab, error) {
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "lab-")
	if err != nil {
		return nil, err
	}
	l := &lab{dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), log: platformtest.NewLog(), record: file}
	l.server = httptest.NewServer(l.log)
	l.logAddress = strings.TrimPrefix(l.server.URL, "http://")
	l.note("trouble=%v", l.trouble)
	return l, nil
}

// close ends all processes that the lab has started.
func (l *lab) close() {
	for _, r := range l.routers {
		_ = r.cmd.Process.Kill()
		_ = r.cmd.Wait()
		_ = r.output.Close()
	}
	l.server.CloseClientConnections()
	_ = l.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.dir)
	}
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var out []string
	var open []net.Listener
	for range n {
		c, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		open = append(open, c)
		out = append(out, c.Addr().String())
	}
	for _, c := range open {
		_ = c.Close()
	}
	return out, nil
}

// settings are those that the template of the deploy file gives on the site kabelgang-routes.
const settings = `{
  "vm": {"name": %q, "region": "r", "availability_zone": "z"},
  "callers": {"address": %q}, "ready": {"address": %q}, "peers": {"address": %q}, "metrics": {"address": %q},
  "regions": {"z": "r"}, "log": {"address": %q},
  "limits": {"memory_mb": 134, "max_fds": 4100}, "targets": {"heartbeat_ms": 1200},
  "bounds": {"key_revoked_ms": 5000, "key_revoked_strict": true, "configuration_ms": 2500, "leaving_ms": 2500,
    "repeat_ratio": 0.2, "repeat_allowance": 54, "repeat_window_s": 10, "holder_turn_ms": 3000,
    "targets_check_fencing": true, "weights_ms": 8000, "stop_s": 8}
}
`

// startRouter starts a router and waits until it is ready.
func (l *lab) startRouter(name string) (*router, error) {
	a, err := freeAddresses(4)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(l.dir, name+".jsonc")
	text := fmt.Sprintf(settings, name, a[0], a[1], a[2], a[3], l.logAddress)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(l.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	r := &router{cmd: exec.Command(l.program, "gateway"), front: a[0], ready: a[1], output: output}
	r.cmd.Env = append(os.Environ(), "MIMOSASEAM_NODE_FILE="+file)
	r.cmd.Stdout, r.cmd.Stderr = output, output
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	l.routers = append(l.routers, r)
	for end := time.Now().Add(readyLimit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := http.Get("http://" + r.ready + platformtest.ReadyPath)
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			l.note("%s is ready", name)
			return r, nil
		}
	}
	return nil, fmt.Errorf("%s is not ready", name)
}

// send writes one request on a connection of its own and reads the answer.
func send(address, text string, limit time.Duration) (status int, head http.Header, body string, err error) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return 0, nil, "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, text); err != nil {
		return 0, nil, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, nil, "", err
	}
	defer response.Body.Close()
	all, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header, string(all), err
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: lab CASE PROGRAM RECORD")
		os.Exit(exitFailed)
	}
	play := map[string]func(*lab) (bool, error){"part": playPart, "wall": playWall}[os.Args[1]]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	l, err := newLab(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		l.close()
		os.Exit(exitFailed)
	}()
	broken, err := play(l)
	code := exitHeld
	switch {
	case err != nil:
		l.note("could not run: %v", err)
		code = exitFailed
	case broken:
		l.note("the rule is broken")
		code = exitBroken
	default:
		l.note("the rule holds")
	}
	l.close()
	os.Exit(code)
}
