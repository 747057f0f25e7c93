package main

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

func printPaths(out io.Writer, s *config.Snapshot) error {
	paths := make([]string, 0, len(s.Revisions))
	for path := range s.Revisions {
		paths = append(paths, path)
	}
	slices.Sort(paths)
	for _, path := range paths {
		fmt.Fprintf(out, "%8d  %s\n", s.Revisions[path], path)
	}
	return nil
}

func printValue(out io.Writer, s *config.Snapshot, path string) error {
	parsed, err := config.ParsePath(path)
	if err != nil {
		return err
	}
	value, ok := valueAt(s, parsed)
	if !ok {
		return &port.NotFoundError{Peer: "the configuration", Name: path}
	}
	fmt.Fprintf(out, "// revision %d\n", s.Revisions[path])
	return printJSON(out, value)
}

func printJSON(out io.Writer, value any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return eris.Wrap(encoder.Encode(value), "print")
}

func printDecision(out io.Writer, d config.Decision) {
	result := "accepted"
	if !d.Accepted {
		result = "refused: " + string(d.Reason)
		if d.Err != nil {
			result += ": " + d.Err.Error()
		}
	} else if d.Deleted {
		result = "accepted, deleted"
	}
	fmt.Fprintf(out, "%8d  %s  %s  %s  %s\n", d.Offset, d.At.UTC().Format(time.RFC3339), d.Author, d.ID, result)
}
