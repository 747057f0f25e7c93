package main

import (
	"bytes"
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/integrii/flaggy"
	"github.com/rotisserie/eris"
	"github.com/tailscale/hujson"

	"mimosaseam.example/mimosaseam/internal/app/configsync"
	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/settings"
)

// configTimeout bounds one configuration command, except watch.
const configTimeout = 30 * time.Second

// ErrNotInForce means that some routers did not apply a change in time.
var ErrNotInForce = eris.New("the change is not in force on all routers")

// RefusedError means that a change was written to the log but not accepted.
type RefusedError struct {
	Path   string
	Reason config.Reason
	Cause  error
}

func (e *RefusedError) Error() string {
	text := "change of " + e.Path + " refused: " + string(e.Reason)
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

func (e *RefusedError) Unwrap() error { return e.Cause }

func newConfigCommand() (*flaggy.Subcommand, []command) {
	parent := flaggy.NewSubcommand("config")
	parent.Description = "Publish and read the configuration on the platform log."
	commands := []command{keygenCommand(), putCommand(), getCommand(), historyCommand(), watchCommand()}
	for _, c := range commands {
		parent.AttachSubcommand(c.Subcommand, 1)
	}
	return parent, commands
}

func keygenCommand() command {
	var file string
	c := newCommand("keygen", "Create a team's key pair; the private key goes to a file, the public key is printed.",
		func(out io.Writer) error {
			if file == "" {
				return &UsageError{Message: "config keygen needs --key FILE"}
			}
			return keygen(out, file)
		})
	c.String(&file, "k", "key", "File for the private key; it must not exist.")
	return c
}

func keygen(out io.Writer, file string) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return eris.Wrap(err, "generate key")
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return eris.Wrap(err, "create key file")
	}
	_, err = f.WriteString(base64.StdEncoding.EncodeToString(private.Seed()) + "\n")
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return eris.Wrap(err, "write key file")
	}
	_, err = fmt.Fprintln(out, base64.StdEncoding.EncodeToString(public))
	return err
}

// KeyFileError means that a file holds no private key.
type KeyFileError struct{ File string }

func (e *KeyFileError) Error() string {
	return e.File + " holds no private key as config keygen writes it"
}

func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "read key")
	}
	seed, err := base64.StdEncoding.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(seed) != ed25519.SeedSize {
		return nil, &KeyFileError{File: file}
	}
	return ed25519.NewKeyFromSeed(seed), nil
}

// putOptions are the flags of config put.
type putOptions struct {
	settings, author, key, path, file, bundle string
	remove, wait                              bool
	base                                      int64
	router, ca                                string
	timeout                                   time.Duration
}

func putCommand() command {
	o := putOptions{base: -1, timeout: 10 * time.Second}
	c := newCommand("put", "Publish a value, or all changed values of a bundle.", func(out io.Writer) error {
		single := o.path != "" && (o.file != "") != o.remove
		if o.settings == "" || o.author == "" || o.key == "" || single == (o.bundle != "") {
			return &UsageError{Message: "config put needs --settings, --author, --key, and either --bundle or --path with --file or --delete"}
		}
		return put(out, o)
	})
	c.String(&o.settings, "s", "settings", "Settings file of a router; gives the log and the system key.")
	c.String(&o.author, "a", "author", "Team that makes the change.")
	c.String(&o.key, "k", "key", "File with the team's private key.")
	c.String(&o.path, "p", "path", "Path to change.")
	c.String(&o.file, "f", "file", "File with the value, JSON with comments.")
	c.String(&o.bundle, "b", "bundle", "File with an object of values by path.")
	c.Bool(&o.remove, "d", "delete", "Delete the path.")
	c.Int64(&o.base, "r", "base-revision", "Revision that the change builds on; by default the current one.")
	c.Bool(&o.wait, "w", "wait", "Wait until the change is in force on all routers; name those that lag.")
	c.String(&o.router, "", "router", "Admin URL polled with --wait; by default that of the settings.")
	c.addCA(&o.ca)
	c.Duration(&o.timeout, "t", "timeout", "How long to wait with --wait.")
	return c
}

func put(out io.Writer, o putOptions) error {
	key, err := readKey(o.key)
	if err != nil {
		return err
	}
	entries, err := o.entries()
	if err != nil {
		return err
	}
	return withConfig(o.settings, configTimeout, func(ctx context.Context, s settings.Settings, sync *configsync.Sync) error {
		last := port.Offset(0)
		for _, e := range entries {
			decision, changed, err := publish(ctx, sync, o, key, e)
			if err != nil {
				return err
			}
			if !changed {
				fmt.Fprintf(out, "%s: unchanged\n", e.path)
				continue
			}
			fmt.Fprintf(out, "%s: revision %d\n", e.path, decision.Offset)
			last = max(last, decision.Offset)
		}
		if !o.wait {
			return nil
		}
		return waitInForce(out, o.ca, adminURL(o.router, s), max(last, sync.Applied()), o.timeout)
	})
}

func (o putOptions) entries() ([]bundleEntry, error) {
	switch {
	case o.bundle != "":
		return readBundle(o.bundle)
	case o.remove:
		return []bundleEntry{{path: o.path}}, nil
	}
	text, err := os.ReadFile(o.file)
	if err != nil {
		return nil, eris.Wrap(err, "read value")
	}
	value, err := hujson.Standardize(text)
	return []bundleEntry{{o.path, value}}, eris.Wrap(err, o.file)
}

// publish appends one change and waits for the decision. A value that is already in
// force is skipped, so that publishing a bundle is idempotent.
func publish(ctx context.Context, sync *configsync.Sync, o putOptions, key ed25519.PrivateKey, e bundleEntry) (config.Decision, bool, error) {
	current := sync.Current()
	base := current.Revisions[e.path]
	if o.base >= 0 {
		base = port.Offset(o.base)
	}
	change := config.Change{ID: uuid.NewString(), Author: o.author, Path: e.path, BaseRevision: base,
		Value: e.value, Delete: o.remove}
	if o.base < 0 && !o.remove && inForce(current, e) {
		return config.Decision{}, false, nil
	}
	signed, err := config.Sign(change, key)
	if err != nil {
		return config.Decision{}, false, err
	}
	decision, err := sync.Publish(ctx, signed)
	if err != nil {
		return decision, false, err
	}
	if !decision.Accepted {
		return decision, false, &RefusedError{Path: e.path, Reason: decision.Reason, Cause: decision.Err}
	}
	return decision, true, nil
}

// inForce reports whether the path already has this value after defaults are filled in.
func inForce(s *config.Snapshot, e bundleEntry) bool {
	path, err := config.ParsePath(e.path)
	if err != nil {
		return false
	}
	now, ok := valueAt(s, path)
	if !ok {
		return false
	}
	desired, err := decodeValue(path, e.value)
	if err != nil {
		return false
	}
	a, errA := json.Marshal(now)
	b, errB := json.Marshal(desired)
	return errA == nil && errB == nil && bytes.Equal(a, b)
}

func decodeValue(p config.Path, data []byte) (any, error) {
	switch p.Kind {
	case config.KindTeam:
		return config.DecodeTeam(p, data)
	case config.KindPool:
		return config.DecodePool(p, data)
	case config.KindRoute:
		return config.DecodeRoute(p, data)
	}
	return config.DecodeAccount(p, data)
}

// valueAt returns the value in force at a path.
func valueAt(s *config.Snapshot, p config.Path) (any, bool) {
	var value any
	var ok bool
	switch p.Kind {
	case config.KindTeam:
		value, ok = s.Teams[p.Ref.Name]
	case config.KindPool:
		value, ok = s.Pools[p.Ref]
	case config.KindRoute:
		value, ok = s.Routes[p.Ref]
	case config.KindAccount:
		value, ok = s.Accounts[p.Ref]
	}
	return value, ok
}

func getCommand() command {
	var file, path string
	c := newCommand("get", "Print the value in force at a path, or all paths with their revisions.", func(out io.Writer) error {
		if file == "" {
			return &UsageError{Message: "config get needs --settings FILE"}
		}
		return withConfig(file, configTimeout, func(_ context.Context, _ settings.Settings, sync *configsync.Sync) error {
			if path == "" {
				return printPaths(out, sync.Current())
			}
			return printValue(out, sync.Current(), path)
		})
	})
	c.String(&file, "s", "settings", "Settings file of a router.")
	c.String(&path, "p", "path", "Path; without it all paths are listed.")
	return c
}

func historyCommand() command {
	var file, path string
	c := newCommand("history", "Print the decisions on changes of a path that the log still retains.", func(out io.Writer) error {
		if file == "" || path == "" {
			return &UsageError{Message: "config history needs --settings FILE and --path PATH"}
		}
		return withConfig(file, configTimeout, func(_ context.Context, _ settings.Settings, sync *configsync.Sync) error {
			for _, d := range sync.History(path) {
				printDecision(out, d)
			}
			return nil
		})
	})
	c.String(&file, "s", "settings", "Settings file of a router.")
	c.String(&path, "p", "path", "Path.")
	return c
}

func watchCommand() command {
	var file, path string
	c := newCommand("watch", "Print the decisions on changes of a path as they are made.", func(out io.Writer) error {
		if file == "" || path == "" {
			return &UsageError{Message: "config watch needs --settings FILE and --path PATH"}
		}
		return withConfig(file, 0, func(ctx context.Context, _ settings.Settings, sync *configsync.Sync) error {
			return watch(ctx, out, sync, path)
		})
	})
	c.String(&file, "s", "settings", "Settings file of a router.")
	c.String(&path, "p", "path", "Path.")
	return c
}

func watch(ctx context.Context, out io.Writer, sync *configsync.Sync, path string) error {
	printed := port.Offset(0)
	for {
		applied := sync.Applied()
		for _, d := range sync.History(path) {
			if d.Offset > printed {
				printDecision(out, d)
				printed = d.Offset
			}
		}
		if err := sync.WaitApplied(ctx, applied+1); err != nil {
			return err
		}
	}
}

// withConfig follows the log until the configuration is read, then calls use.
// A timeout of 0 means no timeout.
func withConfig(file string, timeout time.Duration, use func(context.Context, settings.Settings, *configsync.Sync) error) error {
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	if timeout > 0 {
		ctx, cancel = context.WithTimeout(context.Background(), timeout)
	}
	defer cancel()
	p, err := newPlatform(s, nil)
	if err != nil {
		return err
	}
	sync := configsync.New(configsync.Options{
		Log: p.log, SystemKey: systemKey(s), Retention: s.Platform.Retention(), Logger: slog.New(slog.DiscardHandler),
	})
	done := make(chan struct{})
	go func() { defer close(done); _ = sync.Run(ctx) }()
	defer func() { cancel(); <-done }()
	select {
	case <-sync.Ready():
		return use(ctx, s, sync)
	case <-ctx.Done():
		return eris.Wrap(&port.UnavailableError{Peer: "platform log", Cause: ctx.Err()}, "read configuration")
	}
}
