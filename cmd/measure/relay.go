package main

import (
	"encoding/json"
	"io"
	"runtime"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/bench/relay"
)

// relayCommand measures the latency, CPU time and memory that a router adds to
// streams.
type relayCommand struct {
	*flaggy.Subcommand
	options relay.Options
	cores   int
	asJSON  bool
}

// registerRelay attaches the relay subcommand to the parser.
func registerRelay() *relayCommand {
	c := &relayCommand{Subcommand: flaggy.NewSubcommand("relay"), cores: 2}
	c.options.Seed = 1
	c.options.Proxies = map[string]relay.ProxyFactory{"pass-through": relay.PassThrough, "router": relay.Router}
	c.Description = "compare calling a simulated engine directly and through a router, over loopback"
	c.IntSlice(&c.options.Streams, "n", "streams", "numbers of concurrent streams (default 1, 100 and 2000)")
	c.Int(&c.options.Requests, "r", "requests", "requests per stream and round (default: enough for a p99)")
	c.Int(&c.options.Rounds, "o", "rounds", "rounds per path (default 3)")
	c.Int(&c.options.Tokens, "t", "tokens", "tokens per response (default 64)")
	c.Int(&c.options.PromptBytes, "p", "prompt-bytes", "bytes per prompt (default 4096)")
	c.Duration(&c.options.TokenInterval, "i", "token-interval", "time between two tokens of a stream (default 30ms)")
	c.UInt64(&c.options.Seed, "s", "seed", "seed of prompts and start times")
	c.Int(&c.cores, "c", "cores", "cores used by callers, router and engine together")
	c.String(&c.options.ProfileDir, "d", "profile-dir", "directory for CPU and heap profiles; they slow the run down")
	c.Bool(&c.asJSON, "j", "json", "print JSON instead of a table")
	flaggy.AttachSubcommand(c.Subcommand, 1)
	return c
}

// run executes the command and writes its result to out.
func (c *relayCommand) run(out io.Writer) error {
	runtime.GOMAXPROCS(c.cores)
	figures, err := relay.Run(c.options)
	if err != nil {
		return err
	}
	if !c.asJSON {
		return eris.Wrap(relay.WriteTable(out, figures), "write table")
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(struct {
		Cores   int            `json:"cores"`
		Targets relay.Targets  `json:"targets"`
		Figures []relay.Result `json:"figures"`
	}{c.cores, relay.DesignTargets(), figures}), "write result")
}
