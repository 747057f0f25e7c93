// Command review2 plays the cases of the second review against the project's own program on
// loopback: cases 6 and up of the folder review.
package main

import (
	"context"
	"fmt"
	"os"
	"time"
)

const (
	exitHeld, exitBroken, exitCannotRun = 0, 1, 2
	// maxRun is below the 120 s that a script may take.
	maxRun = 100 * time.Second
)

// play runs one case and reports whether the rule was broken. trouble is false for the run
// without the disruption.
type play func(ctx context.Context, s *system, trouble bool) (broken bool, err error)

var plays = map[string]play{}

func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE RECORD")
		os.Exit(exitCannotRun)
	}
	os.Exit(runCase(plays[os.Args[1]], os.Args[2]))
}

func runCase(p play, record string) int {
	ctx, cancel := context.WithTimeout(context.Background(), maxRun)
	defer cancel()
	file, err := os.Create(record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer file.Close()
	s, err := newSystem(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer s.close()
	trouble := os.Getenv("TROUBLE") != "0"
	s.note("trouble: %t", trouble)
	broken, err := p(ctx, s, trouble)
	s.noteRuns()
	switch {
	case err != nil:
		s.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	case broken:
		s.note("result: the rule is broken")
		return exitBroken
	}
	s.note("result: the rule held")
	return exitHeld
}
