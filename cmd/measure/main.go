// Command measure runs the load tests and simulations of mimosaseam, and reports on the
// log lines of its gateway.
package main

import (
	"fmt"
	"io"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	flaggy.SetName("measure")
	flaggy.SetDescription("load tests, simulations and log reports of mimosaseam")
	placement, relay := registerPlacement(), registerRelay()
	detection, capacity := registerDetection(), registerCapacity()
	explainDay := registerExplainDay()
	flaggy.Parse()
	var run func(io.Writer) error
	switch {
	case placement.Used:
		run = placement.run
	case relay.Used:
		run = relay.run
	case detection.Used:
		run = detection.run
	case capacity.Used:
		run = capacity.run
	case explainDay.Used:
		run = explainDay.run
	default:
		flaggy.ShowHelpAndExit("no subcommand given")
	}
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
