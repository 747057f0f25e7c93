// Command standin runs a stand-in for one external system, by default on
// loopback. It logs the listening address as JSON on standard error.
package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/integrii/flaggy"
	"github.com/oklog/run"
	"github.com/rotisserie/eris"
)

const (
	defaultAddress = "127.0.0.1:0"
	// stopTimeout bounds the wait for open requests on shutdown.
	stopTimeout = 10 * time.Second
)

// ErrNoSubcommand is returned if the command line names no stand-in.
var ErrNoSubcommand = eris.New("no subcommand given: engine, app, log, vms, kv or weights")

// standin is one kind of stand-in. Its function server returns the HTTP server and
// a function that releases the handler's resources.
type standin struct {
	command *flaggy.Subcommand
	server  func() (*http.Server, func())
}

func main() {
	log := slog.New(slog.NewJSONHandler(os.Stderr, nil))
	if err := serve(log, os.Args[1:]); err != nil {
		log.Error("standin failed", "error", err)
		os.Exit(1)
	}
}

func serve(log *slog.Logger, args []string) error {
	address := defaultAddress
	parser := flaggy.NewParser("standin")
	parser.Description = "Run a stand-in for one external system of mimosaseam."
	parser.DisableShowVersionWithVersion()
	parser.String(&address, "a", "address", "Address to listen on; port 0 selects a free port.")
	standins := []standin{
		engineCommand(), appCommand(), logCommand(), vmsCommand(), kvCommand(), weightsCommand(),
	}
	for _, s := range standins {
		parser.AttachSubcommand(s.command, 1)
	}
	if err := parser.ParseArgs(args); err != nil {
		return eris.Wrap(err, "parsing the command line")
	}
	for _, s := range standins {
		if s.command.Used {
			return runStandin(log, address, s)
		}
	}
	return ErrNoSubcommand
}

func runStandin(log *slog.Logger, address string, s standin) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return eris.Wrap(err, "listening")
	}
	server, release := s.server()
	log.Info("listening", "address", listener.Addr().String(), "standin", s.command.Name)

	var group run.Group
	group.Add(run.SignalHandler(context.Background(), syscall.SIGTERM, syscall.SIGINT))
	group.Add(func() error { return server.Serve(listener) }, func(error) { stop(server) })
	err = group.Run()
	release()
	if errors.Is(err, run.ErrSignal) {
		log.Info("stopped", "standin", s.command.Name)
		return nil
	}
	return eris.Wrap(err, "serving")
}

// stop shuts the server down after open requests finish or stopTimeout expires.
func stop(server *http.Server) {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if server.Shutdown(ctx) != nil {
		_ = server.Close()
	}
}
