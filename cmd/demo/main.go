// Command demo runs the whole system on loopback as separate processes. It starts the
// stand-ins and three routers, publishes a configuration and sends real requests while
// it kills one router and one engine. It exits non-zero when a check fails, and ends
// all processes before it exits.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// demoTimeout bounds the whole demonstration.
const demoTimeout = 55 * time.Second

func main() {
	if len(os.Args) != 2 {
		fmt.Fprintln(os.Stderr, "usage: demo DIRECTORY-OF-BINARIES")
		os.Exit(2)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	err := runDemo(ctx, os.Args[1])
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo failed:", err)
		os.Exit(1)
	}
}

func runDemo(ctx context.Context, binaries string) error {
	s, err := startSystem(ctx, binaries)
	if s != nil {
		defer s.stopAll()
	}
	if err != nil {
		return err
	}
	r := &report{out: os.Stdout}
	scenario(ctx, s, r)
	r.print()
	return r.err()
}
