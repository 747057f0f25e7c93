// Package harness runs the real binaries and the stand-ins as processes on
// loopback, for the demonstration and the fault matrix. Routers, engines, the
// application and the log are reached through proxies that can fail.
package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	pollEvery = 20 * time.Millisecond
	tailBytes = 2000
)

// StartError means that a part of the system did not start or that a command
// failed.
type StartError struct {
	Component string
	Cause     error
	Log       string
}

func (e *StartError) Error() string {
	text := "start " + e.Component
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Log != "" {
		text += "\n" + e.Log
	}
	return text
}

func (e *StartError) Unwrap() error { return e.Cause }

// TimeoutError means that something did not happen in time.
type TimeoutError struct{ After time.Duration }

func (e *TimeoutError) Error() string { return "did not happen within " + e.After.String() }

// Poll waits until done reports true.
func Poll(ctx context.Context, limit time.Duration, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return &TimeoutError{After: limit}
		}
		time.Sleep(pollEvery)
	}
	return nil
}

// Process is a process that the harness started.
type Process struct {
	Name    string
	LogFile string
	cmd     *exec.Cmd
	ended   chan struct{}
}

// StartProcess runs a binary whose output goes to a file in dir.
func StartProcess(dir, name, binary string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), ended: make(chan struct{})}
	file, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, &StartError{Component: name, Cause: err}
	}
	defer file.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	// The kernel ends the process when the harness itself is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, &StartError{Component: name, Cause: err}
	}
	go func() { _ = p.cmd.Wait(); close(p.ended) }()
	return p, nil
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Freeze stops the process until Resume.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume lets a frozen process go on.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate asks the process to end.
func (p *Process) Terminate() { _ = p.cmd.Process.Signal(syscall.SIGTERM) }

// Exited is closed when the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.ended }

// Succeeded reports whether an ended process ended by itself without failure.
func (p *Process) Succeeded() bool { return p.cmd.ProcessState.Success() }

// Stop asks the process to end and reports whether it did so with success.
func (p *Process) Stop(wait time.Duration) bool {
	p.Terminate()
	select {
	case <-p.ended:
		return p.Succeeded()
	case <-time.After(wait):
		p.Kill()
		return false
	}
}

// Tail returns the end of the process's output.
func (p *Process) Tail() string {
	text, _ := os.ReadFile(p.LogFile)
	return strings.TrimSpace(string(text[max(0, len(text)-tailBytes):]))
}
