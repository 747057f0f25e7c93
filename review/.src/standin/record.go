package standin

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Record is the file that tells what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	begun time.Time
}

// NewRecord creates record.txt in the folder of the case.
func NewRecord(folder string) (*Record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), begun: time.Now()}, nil
}

// Add writes one line with the time since the begin, in seconds.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line and prints it too.
func (r *Record) Say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.Add(format, args...)
}

// Close writes what is buffered.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// Trouble reports whether the case is played with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Exit codes of a case.
const (
	Held     = 0
	Broken   = 1
	NotRun   = 2
	maxPlay  = 110 * time.Second
	overtime = "the case took too long"
)

// Main plays a case in the folder that is its first argument and ends the process with the
// case's exit code.
func Main(play func(r *Record) (code int, err error)) {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: PROGRAM FOLDER")
		os.Exit(NotRun)
	}
	record, err := NewRecord(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(NotRun)
	}
	type result struct {
		code int
		err  error
	}
	done := make(chan result, 1)
	go func() {
		code, err := play(record)
		done <- result{code, err}
	}()
	var out result
	select {
	case out = <-done:
	case <-time.After(maxPlay):
		out = result{NotRun, fmt.Errorf("%s", overtime)}
	}
	if out.err != nil {
		record.Say("not played: %v", out.err)
		out.code = NotRun
	}
	record.Close()
	os.Exit(out.code)
}
