package main

import (
	"crypto/ed25519"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/settings"
)

func checkCommand() command {
	var settingsFile, gatewayFile, bundleFile string
	c := newCommand("check", "Check a settings file, and a configuration bundle, without starting anything.",
		func(out io.Writer) error {
			if settingsFile == "" && bundleFile == "" && gatewayFile == "" {
				return &UsageError{Message: "check needs --settings FILE, --gateway FILE or --bundle FILE"}
			}
			if gatewayFile != "" {
				if _, err := settings.LoadGateway(gatewayFile); err != nil {
					return err
				}
				fmt.Fprintln(out, gatewayFile+": valid")
			}
			if settingsFile == "" && bundleFile == "" {
				return nil
			}
			return check(out, settingsFile, bundleFile)
		})
	c.String(&settingsFile, "s", "settings", "Settings file, JSON with comments.")
	c.String(&gatewayFile, "g", "gateway", "Settings file of the command gateway, JSON with comments.")
	c.String(&bundleFile, "b", "bundle", "Configuration bundle: an object of values by path.")
	return c
}

func check(out io.Writer, settingsFile, bundleFile string) error {
	if settingsFile != "" {
		if _, err := settings.Load(settingsFile); err != nil {
			return err
		}
		fmt.Fprintln(out, settingsFile+": valid")
	}
	if bundleFile == "" {
		return nil
	}
	entries, err := readBundle(bundleFile)
	if err != nil {
		return err
	}
	if err := checkBundle(entries); err != nil {
		return err
	}
	fmt.Fprintln(out, bundleFile+": valid")
	return nil
}

// bundleEntry is one path with its value.
type bundleEntry struct {
	path  string
	value json.RawMessage
}

// readBundle reads an object of configuration values by path, in order of
// dependency: teams, then pools, then routes, then accounts.
func readBundle(file string) ([]bundleEntry, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read bundle")
	}
	standard, err := hujson.Standardize(text)
	if err != nil {
		return nil, eris.Wrap(err, file)
	}
	values := map[string]json.RawMessage{}
	if err := json.Unmarshal(standard, &values); err != nil {
		return nil, eris.Wrap(err, file)
	}
	var entries []bundleEntry
	for _, kind := range []string{"/teams/", "/pools/", "/routes/", "/accounts/", ""} {
		for path, value := range values {
			if strings.Contains(path, kind) {
				entries = append(entries, bundleEntry{path, value})
				delete(values, path)
			}
		}
	}
	return entries, nil
}

// checkBundle applies the entries to an empty configuration and reports every
// value that would be rejected.
func checkBundle(entries []bundleEntry) error {
	systemPublic, systemKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	scratch := newScratchConfig(systemPublic, systemKey)
	var problems []config.Problem
	for _, e := range entries {
		problems = append(problems, scratch.put(e)...)
	}
	if len(problems) > 0 {
		return &config.InvalidError{Problems: problems}
	}
	return nil
}
