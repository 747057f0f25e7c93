// Command mimosaseam is a router for language-model traffic with long shared
// prompts. It holds the servers, `serve` for the project's own completions
// interface and `gateway` for requests passed on unchanged, and the operators'
// commands.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/strictjson"
)

// version is set by the linker in releases.
var version = "devel"

// The exit codes of all commands.
const (
	exitFailure  = 1
	exitUsage    = 2
	exitSettings = 3
)

// command is a subcommand with the function that runs it.
type command struct {
	*flaggy.Subcommand
	run func(out io.Writer) error
}

// UsageError means that the command line is wrong.
type UsageError struct{ Message string }

func (e *UsageError) Error() string { return e.Message }

func main() {
	err := execute(os.Args[1:], os.Stdout)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mimosaseam:", err)
	}
	os.Exit(exitCode(err))
}

func execute(args []string, out io.Writer) error {
	parser := flaggy.NewParser("mimosaseam")
	parser.Description = "Router for language-model traffic with long shared prompts."
	parser.Version = version
	commands := []command{
		serveCommand(), gatewayCommand(), checkCommand(), statusCommand(), explainCommand(), versionCommand(),
	}
	for _, c := range commands {
		parser.AttachSubcommand(c.Subcommand, 1)
	}
	configCommand, configCommands := newConfigCommand()
	parser.AttachSubcommand(configCommand, 1)
	if err := parser.ParseArgs(args); err != nil {
		return &UsageError{Message: err.Error()}
	}
	for _, c := range append(commands, configCommands...) {
		if c.Used {
			return c.run(out)
		}
	}
	return &UsageError{Message: "no command given; see mimosaseam --help"}
}

// exitCode distinguishes usage errors, invalid settings or values, and failures.
func exitCode(err error) int {
	var usage *UsageError
	var settings *strictjson.Error
	var invalid *config.InvalidError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &settings), errors.As(err, &invalid):
		return exitSettings
	}
	return exitFailure
}

func newCommand(name, description string, run func(out io.Writer) error) command {
	s := flaggy.NewSubcommand(name)
	s.Description = description
	return command{Subcommand: s, run: run}
}

func versionCommand() command {
	return newCommand("version", "Print the version.", func(out io.Writer) error {
		_, err := fmt.Fprintln(out, version)
		return err
	})
}
