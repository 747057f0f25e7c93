package main

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/bench/detection"
)

type detectionCommand struct {
	*flaggy.Subcommand
	json   bool
	probes int
}

func registerDetection() *detectionCommand {
	c := &detectionCommand{Subcommand: flaggy.NewSubcommand("detection"), probes: detection.DefaultOptions().Probes}
	c.Description = "compare failure detection by fixed timeouts and by multiples of the measured round trip"
	c.Bool(&c.json, "j", "json", "print JSON instead of a table")
	c.Int(&c.probes, "p", "probes", "probes per load")
	flaggy.AttachSubcommand(c.Subcommand, 1)
	return c
}

func (c *detectionCommand) run(out io.Writer) error {
	options := detection.DefaultOptions()
	options.Probes = c.probes
	results, err := detection.Run(context.Background(), options)
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(out, results)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "detector\tstreams\tbusy\tlink ms\tprobes\tfalse suspicions\tfalse failovers\tdetection ms\tround trip p50\tmax\t")
	for _, r := range results {
		fmt.Fprintf(w, "%s\t%d\t%t\t%g\t%d\t%d\t%d\t%.1f\t%.3f\t%.3f\t\n", r.Detector, r.Streams, r.Busy, r.LinkMs, r.Probes,
			r.FalseSuspicions, r.FalseFailovers, r.DetectionMs, r.RoundTripP50Ms, r.RoundTripMaxMs)
	}
	return eris.Wrap(w.Flush(), "print results")
}
