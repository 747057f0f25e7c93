package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/bench/capacity"
)

type capacityCommand struct {
	*flaggy.Subcommand
	json bool
}

func registerCapacity() *capacityCommand {
	c := &capacityCommand{Subcommand: flaggy.NewSubcommand("capacity")}
	c.Description = "measure how a router's memory and the wall-clock time of its operations grow with the size of the fleet"
	c.Bool(&c.json, "j", "json", "print JSON instead of a table")
	flaggy.AttachSubcommand(c.Subcommand, 1)
	return c
}

func (c *capacityCommand) run(out io.Writer) error {
	slopes, err := capacity.Run()
	if err != nil {
		return err
	}
	if c.json {
		return printJSON(out, slopes)
	}
	w := tabwriter.NewWriter(out, 0, 4, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "what\tper\tcount\tbytes\tns\twire bytes\t")
	for _, s := range slopes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.0f\t%.0f\t%.0f\t\n", s.Name, s.Unit, s.Count, s.Bytes, s.Nanoseconds, s.WireBytes)
	}
	return eris.Wrap(w.Flush(), "print slopes")
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print results")
}
