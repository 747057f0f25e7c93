package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/bench/placement"
)

// placementCommand compares placement policies on a workload file.
type placementCommand struct {
	*flaggy.Subcommand
	workload string
	seed     uint64
	asJSON   bool
	extra    bool
	plot     string
}

// registerPlacement attaches the placement subcommand to the parser.
func registerPlacement() *placementCommand {
	c := &placementCommand{Subcommand: flaggy.NewSubcommand("placement"), seed: 1}
	c.Description = "compare placement policies on a workload with a virtual clock"
	c.String(&c.workload, "w", "workload", "workload file (JSON with comments)")
	c.UInt64(&c.seed, "s", "seed", "seed of arrivals and policies")
	c.Bool(&c.asJSON, "j", "json", "print a JSON array instead of a table")
	c.Bool(&c.extra, "x", "extra", "also run with a single router for all requests, and with a restart of all routers")
	c.String(&c.plot, "p", "plot", "write the comparison to an SVG file")
	flaggy.AttachSubcommand(c.Subcommand, 1)
	return c
}

// run executes the command and writes its result to out.
func (c *placementCommand) run(out io.Writer) error {
	w := placement.DefaultWorkload()
	if c.workload != "" {
		var err error
		if w, err = placement.Load(c.workload); err != nil {
			return err
		}
	}
	results := placement.Run(w, c.seed, c.extra)
	if c.plot != "" {
		if err := placement.Plot(c.plot, results); err != nil {
			return err
		}
	}
	if c.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(results), "write result")
	}
	return writeTable(out, results)
}

func writeTable(out io.Writer, results []placement.Result) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "policy\tcompleted\trefused\tfailed\thit rate\tp50 ms\tp95 ms\tp99 ms\twasted ktok\tcompulsory ktok\tcross MiB\tcontrol B/s\t")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%.3f\t%.0f\t%.0f\t%.0f\t%d\t%d\t%d\t%.0f\t\n", r.Policy, r.Completed, r.Refused, r.Failed,
			r.PrefixHitRate, r.TTFTp50Ms, r.TTFTp95Ms, r.TTFTp99Ms, r.WastedTokens/1000, r.CompulsoryTokens/1000,
			r.CrossRegionBytes>>20, r.ControlBytesPerRouterPerS)
	}
	for _, r := range results {
		if r.HitRateBefore > 0 {
			fmt.Fprintf(t, "restart of all routers: hit rate %.3f before, %.3f over the next 200 requests, %.3f over the same 200 without a restart\n",
				r.HitRateBefore, r.HitRateAfter, r.HitRateWithoutRestart)
		}
	}
	return eris.Wrap(t.Flush(), "write table")
}
