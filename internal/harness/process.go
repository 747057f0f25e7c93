// Package harness runs the real binaries and the stand-ins as processes on
// loopback, for the demonstration and the fault matrix. Routers, engines, the
// application and the log are reached through proxies that inject faults.
package harness

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	pollInterval = 20 * time.Millisecond
	logTailBytes = 2000
)

// StartError reports that a component did not start or that a command failed.
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

// TimeoutError reports that a condition was not met in time.
type TimeoutError struct{ After time.Duration }

func (e *TimeoutError) Error() string { return "condition not met within " + e.After.String() }

// Poll evaluates done periodically until it returns true. It returns a TimeoutError
// after limit or when the context ends.
func Poll(ctx context.Context, limit time.Duration, done func() bool) error {
	deadline := time.Now().Add(limit)
	for !done() {
		if time.Now().After(deadline) || ctx.Err() != nil {
			return &TimeoutError{After: limit}
		}
		time.Sleep(pollInterval)
	}
	return nil
}

// Process is a child process of the harness.
type Process struct {
	Name    string
	LogFile string
	cmd     *exec.Cmd
	exited  chan struct{}
	// ended is set once the harness has asked the process to end.
	ended atomic.Bool
}

// StartProcess starts a binary and appends its output to NAME.log in dir.
func StartProcess(dir, name, binary string, args ...string) (*Process, error) {
	p := &Process{Name: name, LogFile: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	file, err := os.OpenFile(p.LogFile, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, &StartError{Component: name, Cause: err}
	}
	defer file.Close()
	p.cmd = exec.Command(binary, args...)
	p.cmd.Stdout, p.cmd.Stderr = file, file
	// The kernel kills the process when the harness itself is killed.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, &StartError{Component: name, Cause: err}
	}
	go func() { _ = p.cmd.Wait(); close(p.exited) }()
	return p, nil
}

// Running reports whether the process has not exited.
func (p *Process) Running() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// Kill sends SIGKILL and waits until the process has exited.
func (p *Process) Kill() {
	p.ended.Store(true)
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Freeze suspends the process with SIGSTOP until Resume.
func (p *Process) Freeze() { _ = p.cmd.Process.Signal(syscall.SIGSTOP) }

// Resume continues a frozen process with SIGCONT.
func (p *Process) Resume() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }

// Terminate sends SIGTERM.
func (p *Process) Terminate() {
	p.ended.Store(true)
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
}

// UnexpectedExit describes how the process ended if the harness did not end it, and is
// empty otherwise.
func (p *Process) UnexpectedExit() string {
	if p.Running() || p.ended.Load() {
		return ""
	}
	return p.Name + " ended by itself, " + p.cmd.ProcessState.String() + ": " + p.Tail()
}

// Exited returns a channel that is closed when the process has exited.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// Succeeded reports whether an exited process returned exit code 0.
func (p *Process) Succeeded() bool { return p.cmd.ProcessState.Success() }

// Stop sends SIGTERM and reports whether the process exited with code 0 within the
// timeout; after the timeout it kills the process.
func (p *Process) Stop(timeout time.Duration) bool {
	p.Terminate()
	select {
	case <-p.exited:
		return p.Succeeded()
	case <-time.After(timeout):
		p.Kill()
		return false
	}
}

// Tail returns the last part of the process's output.
func (p *Process) Tail() string {
	text, _ := os.ReadFile(p.LogFile)
	return strings.TrimSpace(string(text[max(0, len(text)-logTailBytes):]))
}
