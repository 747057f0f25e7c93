// Command measure runs the load and experiment tools of mimosaseam.
package main

import (
	"fmt"
	"os"

	"github.com/integrii/flaggy"
)

func main() {
	flaggy.SetName("measure")
	flaggy.SetDescription("load and experiment tools of mimosaseam")
	placement := registerPlacement()
	flaggy.Parse()
	if !placement.Used {
		flaggy.ShowHelpAndExit("name a subcommand")
	}
	if err := placement.run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
