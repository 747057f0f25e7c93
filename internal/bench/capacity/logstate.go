package capacity

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"encoding/json"
	"runtime"
	"strconv"
	"time"

	"github.com/google/uuid"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/core/ledger"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	accounts = 9500
	targets  = 5100
	keys     = 20_000
	// responseBytes is the size of the body in a retained outcome, that of a short JSON
	// response.
	responseBytes = 400
)

// publisher signs configuration changes as the system and as one team.
type publisher struct {
	systemKey, teamKey ed25519.PrivateKey
	offset             port.Offset
	records            []port.Record
	bytes              int
}

func (p *publisher) add(author string, key ed25519.PrivateKey, path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.offset++
	change := config.Change{ID: uuid.NewString(), Author: author, Path: path, Value: text}
	signed, err := config.Sign(change, key)
	if err != nil {
		return err
	}
	data, err := config.EncodeChange(signed)
	if err != nil {
		return err
	}
	p.bytes += len(data)
	p.records = append(p.records, port.Record{Offset: p.offset, ID: change.ID, Data: data})
	return nil
}

// configSlopes measures applying the changes of a configuration of the planned
// size and compiling it.
func configSlopes() ([]Slope, error) {
	systemPublic, systemKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	teamPublic, teamKey, err := ed25519.GenerateKey(nil)
	if err != nil {
		return nil, err
	}
	p := &publisher{systemKey: systemKey, teamKey: teamKey}
	if err := p.publish(teamPublic); err != nil {
		return nil, err
	}
	var state *config.State
	apply := measureBuild("configuration fold, whole", "change", len(p.records), func() any {
		state = config.NewState(systemPublic)
		for _, r := range p.records {
			state.Apply(r)
		}
		return state
	})
	apply.WireBytes = float64(p.bytes) / float64(len(p.records))
	compile := measureBuild("compiled snapshot", "client account", accounts, func() any { return state.Compile() })
	runtime.KeepAlive(p)
	runtime.KeepAlive(state)
	return []Slope{apply, compile}, nil
}

func (p *publisher) publish(teamPublic ed25519.PublicKey) error {
	team := config.Team{PublicKey: base64.StdEncoding.EncodeToString(teamPublic)}
	if err := p.add(config.SystemTeam, p.systemKey, "/system/teams/t", team); err != nil {
		return err
	}
	pool := config.Pool{Kind: config.PoolEngine, Model: "m"}
	for i := range targets {
		pool.Targets = append(pool.Targets, config.PoolTarget{
			Name: "runner-" + strconv.Itoa(i), Address: "10." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ".1:9000",
			Region: "nordhafen", AvailabilityZone: "nordhafen-a",
		})
	}
	if err := p.add("t", p.teamKey, "/t/pools/m", pool); err != nil {
		return err
	}
	if err := p.add("t", p.teamKey, "/t/routes/m", config.Route{Pool: "m", Model: "m"}); err != nil {
		return err
	}
	for i := range accounts {
		sum := sha256.Sum256([]byte(strconv.Itoa(i)))
		account := config.Account{KeySHA256: []string{hex.EncodeToString(sum[:])}, Routes: []string{"m"},
			Limits: config.Limits{RequestsPerSecond: 10, Concurrency: 40}}
		if err := p.add("t", p.teamKey, "/t/accounts/a"+strconv.Itoa(i), account); err != nil {
			return err
		}
	}
	return nil
}

// ledgerSlopes measures applying an intent and an outcome for each key.
func ledgerSlopes() ([]Slope, error) {
	now := time.Unix(1_800_000_000, 0).UTC()
	var records []port.Record
	bytes := 0
	add := func(r ledger.Record) error {
		data, err := ledger.Encode(r)
		bytes += len(data)
		records = append(records, port.Record{Offset: port.Offset(len(records) + 1), ID: uuid.NewString(), AppendedAt: now, Data: data})
		return err
	}
	for range keys {
		key := ledger.Key{Account: "t/a", Value: uuid.NewString()}
		attempt, hash := uuid.NewString(), hex.EncodeToString(make([]byte, sha256.Size))
		if err := add(ledger.Record{Intent: &ledger.Intent{Key: key, BodyHash: hash, Attempt: attempt, Router: "entry-1/1", Route: "t/swap",
			Deadline: now.Add(time.Minute), Expires: now.Add(24 * time.Hour)}}); err != nil {
			return nil, err
		}
		if err := add(ledger.Record{Outcome: &ledger.Outcome{Key: key, Attempt: attempt, BodyHash: hash, Status: 200,
			Body: make([]byte, responseBytes), Expires: now.Add(24 * time.Hour)}}); err != nil {
			return nil, err
		}
	}
	s := measureBuild("ledger fold", "key", keys, func() any {
		state := ledger.NewState(1)
		for _, r := range records {
			state.Apply(r)
		}
		return state
	})
	runtime.KeepAlive(records)
	s.WireBytes = float64(bytes) / keys
	return []Slope{s}, nil
}
