package main

import (
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"strconv"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

// scratchConfig applies changes to an empty configuration, signed with generated
// keys, so that values can be validated without a log.
type scratchConfig struct {
	state     *config.State
	systemKey ed25519.PrivateKey
	teamKeys  map[string]ed25519.PrivateKey
}

func newScratchConfig(public ed25519.PublicKey, key ed25519.PrivateKey) *scratchConfig {
	return &scratchConfig{state: config.NewState(public), systemKey: key, teamKeys: map[string]ed25519.PrivateKey{}}
}

// put applies one entry and returns its validation problems.
func (c *scratchConfig) put(e bundleEntry) []config.Problem {
	path, err := config.ParsePath(e.path)
	if err != nil {
		return []config.Problem{{Path: e.path, Found: "an unknown path", Expected: "/system/teams/<team> or /<team>/pools|routes|accounts/<name>"}}
	}
	key := c.systemKey
	if path.Ref.Team != config.SystemTeam {
		key = c.teamKey(path.Ref.Team)
	}
	return problems(e.path, c.apply(path.Ref.Team, e, key))
}

// teamKey returns the generated key of a team and creates the team at first use.
func (c *scratchConfig) teamKey(team string) ed25519.PrivateKey {
	if key, ok := c.teamKeys[team]; ok {
		return key
	}
	public, key, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil // the change is then rejected for its signature
	}
	c.teamKeys[team] = key
	value, _ := json.Marshal(config.Team{PublicKey: base64.StdEncoding.EncodeToString(public)})
	c.apply(config.SystemTeam, bundleEntry{"/system/teams/" + team, value}, c.systemKey)
	return key
}

func (c *scratchConfig) apply(author string, e bundleEntry, key ed25519.PrivateKey) error {
	offset := c.state.Applied() + 1
	change := config.Change{
		ID: strconv.FormatUint(uint64(offset), 10), Author: author, Path: e.path, Value: e.value,
		BaseRevision: c.state.Compile().Revisions[e.path],
	}
	signed, err := config.Sign(change, key)
	if err != nil {
		return err
	}
	data, err := config.EncodeChange(signed)
	if err != nil {
		return err
	}
	return c.state.Apply(port.Record{Offset: offset, ID: change.ID, Data: data}).Err
}

func problems(path string, err error) []config.Problem {
	var invalid *config.InvalidError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return invalid.Problems
	}
	return []config.Problem{{Path: path, Found: err.Error(), Expected: "a valid value"}}
}
