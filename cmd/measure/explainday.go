package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/bench/day"
)

// explainDayCommand reports the outcomes of a day's requests from log lines.
type explainDayCommand struct {
	*flaggy.Subcommand
	log    string
	asJSON bool
	plot   string
}

func registerExplainDay() *explainDayCommand {
	c := &explainDayCommand{Subcommand: flaggy.NewSubcommand("explain-day"), log: "-"}
	c.Description = "report outcomes, time to first token and prompt tokens from the gateway's log lines"
	c.String(&c.log, "l", "log", "file with log lines of all routers; - reads standard input")
	c.Bool(&c.asJSON, "j", "json", "print JSON instead of tables")
	c.String(&c.plot, "p", "plot", "write the outcomes per second to an SVG file")
	flaggy.AttachSubcommand(c.Subcommand, 1)
	return c
}

func (c *explainDayCommand) run(out io.Writer) error {
	in := io.Reader(os.Stdin)
	if c.log != "-" {
		file, err := os.Open(c.log)
		if err != nil {
			return eris.Wrap(err, "open log")
		}
		defer func() { _ = file.Close() }()
		in = file
	}
	report, err := day.Read(in)
	if err != nil {
		return err
	}
	if c.plot != "" {
		if err := report.WritePlot(c.plot); err != nil {
			return err
		}
	}
	if c.asJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		return eris.Wrap(encoder.Encode(report), "write report")
	}
	return report.WriteTable(out)
}
