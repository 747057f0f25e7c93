package configsync

import (
	"context"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
	"mimosaseam.example/mimosaseam/internal/port/portfake"
)

const retention = 2 * time.Hour

// TestMain fixes the seed of property tests unless the command line sets one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

func key(team string) ed25519.PrivateKey {
	seed := make([]byte, ed25519.SeedSize)
	copy(seed, team)
	return ed25519.NewKeyFromSeed(seed)
}

func public(team string) ed25519.PublicKey { return key(team).Public().(ed25519.PublicKey) }

func change(id, author, path string, base port.Offset, value string) config.Change {
	c := config.Change{ID: id, Author: author, Path: path, BaseRevision: base, Delete: value == ""}
	if value != "" {
		c.Value = json.RawMessage(value)
	}
	c, err := config.Sign(c, key(author))
	if err != nil {
		panic(err)
	}
	return c
}

func addTeam(team string) config.Change {
	return change("team-"+team, "system", "/system/teams/"+team, 0,
		`{"public_key":"`+base64.StdEncoding.EncodeToString(public(team))+`"}`)
}

func pool(slots int) string {
	return fmt.Sprintf(`{"kind":"service","slots":%d,"targets":[{"name":"s","address":"127.0.0.1:1","region":"r","availability_zone":"z"}]}`, slots)
}

func slots(s *Sync) int { return s.Current().Pools[config.Ref{Team: "a", Name: "p"}].Slots }

// put appends a change and returns its offset.
func put(log port.Log, c config.Change) port.Offset {
	data, err := config.EncodeChange(c)
	if err != nil {
		panic(err)
	}
	offset, err := log.Append(context.Background(), port.StreamConfig, []port.Record{{ID: c.ID, Data: data}})
	if err != nil {
		panic(err)
	}
	return offset
}

func newSync(log port.Log, peer PeerReader, random float64) *Sync {
	return New(Options{Log: log, Peer: peer, SystemKey: public("system"), Retention: retention,
		Rand: func() float64 { return random }, Logger: slog.New(slog.DiscardHandler)})
}

// run starts the nodes inside the bubble; they stop when ctx ends.
func run(ctx context.Context, nodes ...*Sync) {
	for _, n := range nodes {
		go func() { _ = n.Run(ctx) }()
	}
}

// inBubble runs a test in a synctest bubble with a context that is cancelled when
// the test returns.
func inBubble(t *testing.T, test func(ctx context.Context, is *is.I)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer func() { // also when the test fails
			cancel()
			synctest.Wait()
		}()
		test(ctx, is.New(t))
	})
}

func within(ctx context.Context, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(ctx, d)
	context.AfterFunc(ctx, cancel)
	return ctx
}

// Guards against a change that is not in force on all nodes within 5 s, and
// against accepting both of two conflicting changes.
func TestPublishRace(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I) {
		log := portfake.NewLog(portfake.LogOptions{})
		put(log, addTeam("a"))
		one, two := newSync(log, nil, 0.1), newSync(log, nil, 0.9)
		run(ctx, one, two)
		<-one.Ready()
		decisions := make(chan config.Decision, 2)
		for i, node := range []*Sync{one, two} {
			go func() {
				d, err := node.Publish(ctx, change(fmt.Sprint("c", i), "a", "/a/pools/p", 0, pool(i+1)))
				is.NoErr(err)
				decisions <- d
			}()
		}
		a, b := <-decisions, <-decisions
		if !a.Accepted {
			a, b = b, a
		}
		is.True(a.Accepted && b.Reason == config.ReasonConflict)
		var conflict *config.ConflictError
		is.True(errors.As(b.Err, &conflict))
		is.Equal(conflict.OtherID, a.ID)
		is.NoErr(two.WaitApplied(within(ctx, 5*time.Second), 3))
		is.NoErr(one.WaitApplied(within(ctx, 5*time.Second), 3))
		is.Equal(slots(one), slots(two))
		is.Equal(len(one.History("/a/pools/p")), 2)
		is.Equal(one.History("/a/pools/p")[0].ID, a.ID)
	})
}

// Guards against a lost response that is reported as a refusal, or that causes
// the change to be applied twice.
func TestPublishWithFaults(t *testing.T) {
	cases := map[string]struct {
		faults portfake.Faults
		want   any // nil: accepted
	}{
		"lost after effect":  {portfake.Faults{LoseAfterEffect: 1}, nil},
		"lost before effect": {portfake.Faults{LoseBeforeEffect: 2}, nil},
		"outage":             {portfake.Faults{Outage: true}, new(*port.UnavailableError)},
		"never a response":   {portfake.Faults{LoseBeforeEffect: 1 << 30}, new(*UndecidedError)},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(ctx context.Context, is *is.I) {
				log := portfake.NewLog(portfake.LogOptions{})
				put(log, addTeam("a"))
				node := newSync(log, nil, 0.5)
				run(ctx, node)
				<-node.Ready()
				log.SetFaults(c.faults)
				d, err := node.Publish(within(ctx, time.Minute), change("x", "a", "/a/pools/p", 0, pool(7)))
				if c.want != nil {
					is.True(errors.As(err, c.want))
					return
				}
				is.NoErr(err)
				is.True(d.Accepted)
				is.Equal(slots(node), 7)
				is.Equal(d.Offset, port.Offset(2))
			})
		})
	}
}

// Guards against a slow log that is treated as unavailable.
func TestSlowLog(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I) {
		log := portfake.NewLog(portfake.LogOptions{})
		put(log, addTeam("a"))
		log.SetFaults(portfake.Faults{DelayMS: 4000})
		node := newSync(log, nil, 0.5)
		run(ctx, node)
		is.NoErr(node.WaitApplied(within(ctx, time.Minute), 1))
		d, err := node.Publish(within(ctx, time.Minute), change("x", "a", "/a/pools/p", 0, pool(3)))
		is.NoErr(err)
		is.True(d.Accepted)
	})
}

// Guards against a router that cannot start, or falls behind, while the log is
// unavailable although a peer has the configuration.
func TestPullFromPeer(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I) {
		log, down := portfake.NewLog(portfake.LogOptions{}), portfake.NewLog(portfake.LogOptions{})
		down.SetFaults(portfake.Faults{Outage: true})
		put(log, addTeam("a"))
		put(log, change("1", "a", "/a/pools/p", 0, pool(1)))
		source := newSync(log, nil, 0.5)
		run(ctx, source)
		<-source.Ready()
		fresh := newSync(down, source, 0.5)
		run(ctx, fresh)
		<-fresh.Ready()
		is.Equal(fresh.Current(), source.Current())
		put(log, change("2", "a", "/a/pools/p", 2, pool(2)))
		is.NoErr(fresh.WaitApplied(within(ctx, 5*time.Second), 3))
		is.Equal(slots(fresh), 2)
		// A peer that was started from a snapshot has no older records.
		source.retained.reset()
		third := newSync(down, fresh, 0.5)
		fourth := newSync(down, source, 0.5)
		run(ctx, third, fourth)
		<-third.Ready()
		<-fourth.Ready()
		is.Equal(third.Current(), source.Current())
		is.Equal(fourth.Current(), source.Current())
	})
}

// cutPeer answers like another router, one record at a time, until it fails.
type cutPeer struct {
	PeerReader
	answers int
}

func (p *cutPeer) PullRecords(ctx context.Context, stream string, from port.Offset, _ int) (port.Batch, error) {
	if p.answers--; p.answers < 0 {
		return port.Batch{}, &port.UnavailableError{Peer: "router"}
	}
	return p.PeerReader.PullRecords(ctx, stream, from, 1)
}

// Guards against a starting router that serves by an older configuration because it holds
// only a part of what another router knows.
func TestPartOfAPeersRecordsIsNotReady(t *testing.T) {
	for answers, ready := range map[int]bool{2: false, 4: true} {
		inBubble(t, func(ctx context.Context, is *is.I) {
			log := portfake.NewLog(portfake.LogOptions{})
			put(log, addTeam("a"))
			put(log, change("p1", "a", "/a/pools/p", 0, pool(1)))
			put(log, change("p2", "a", "/a/pools/p", 2, pool(2)))
			first := newSync(log, nil, 0.5)
			run(ctx, first)
			<-first.Ready()
			log.SetFaults(portfake.Faults{Outage: true})
			second := newSync(log, &cutPeer{first, answers}, 0.5)
			run(ctx, second)
			<-time.After(time.Second)
			select {
			case <-second.Ready():
				is.True(ready)
				is.Equal(slots(second), 2)
			default:
				is.True(!ready)
			}
		})
	}
}

// Guards against a configuration that is lost when its records expire, against
// half of the retention without a snapshot, and against a node whose state is
// reverted by an older snapshot or corrupted by an invalid one.
func TestSnapshotsOutliveRetention(t *testing.T) {
	inBubble(t, func(ctx context.Context, is *is.I) {
		log := portfake.NewLog(portfake.LogOptions{Retention: retention})
		put(log, addTeam("a"))
		put(log, change("1", "a", "/a/pools/p", 0, pool(1)))
		nodes := []*Sync{newSync(log, nil, 0), newSync(log, nil, 0.99)}
		run(ctx, nodes...)
		for range 3 * 24 {
			<-time.After(retention / 24)
			_, err := log.Append(ctx, port.StreamConfig, []port.Record{{ID: "junk", Data: []byte(`{"through":1,"entries":[]}`)}})
			is.NoErr(err)
			synctest.Wait()
			nodes[0].mu.Lock()
			last := nodes[0].snapshots.last
			nodes[0].mu.Unlock()
			is.True(time.Since(last) < retention/2)
		}
		is.NoErr(nodes[0].WaitApplied(ctx, nodes[1].Applied()))
		late := newSync(log, nil, 0.5)
		run(ctx, late)
		<-late.Ready()
		is.Equal(late.Current(), nodes[0].Current())
		is.Equal(slots(late), 1)
		repeat := put(log, change("1", "a", "/a/pools/p", 0, pool(9))) // repeats an id in the snapshot
		is.NoErr(late.WaitApplied(within(ctx, 5*time.Second), repeat))
		is.Equal(late.History("/a/pools/p")[0].Reason, config.ReasonDuplicate)
	})
}

// Guards against a state that depends on the source of the records, and against
// an applied offset or a revision that decreases, when log, peers and snapshots
// deliver the records in any split and order.
func TestAnySourceGivesTheSameState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		ctx := context.Background()
		log := portfake.NewLog(portfake.LogOptions{})
		nodes := make([]*Sync, 3)
		for i := range nodes {
			nodes[i] = newSync(log, nil, 0.5)
		}
		for i := range nodes {
			nodes[i].o.Peer = nodes[(i+1)%len(nodes)]
			nodes[i].behind = true
		}
		put(log, addTeam("a"))
		var snapshots []port.Record
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			node := nodes[rapid.IntRange(0, len(nodes)-1).Draw(t, "node")]
			before := node.Current()
			switch rapid.IntRange(0, 6).Draw(t, "action") {
			case 0, 1: // an operator edits the state of this node, which may be stale
				value := rapid.SampledFrom([]string{pool(step + 1), ""}).Draw(t, "value")
				put(log, change(fmt.Sprint("c", step), "a", "/a/pools/p", before.Revisions["/a/pools/p"], value))
			case 2:
				node.behind = true // do not wait for new records
				_ = node.readLog(ctx)
			case 3:
				node.pull(ctx)
			case 4:
				is.NoErr(node.writeSnapshot(ctx))
			case 5: // records expire up to the applied offset of a node
				is.NoErr(node.writeSnapshot(ctx))
				log.Expire(port.StreamConfig, node.Applied()+1)
			case 6: // a peer sends any snapshot, which may be old
				for _, rec := range snapshots {
					if rapid.Bool().Draw(t, "old snapshot") {
						node.adopt(rec, 0)
					}
				}
			}
			if data, err := node.state.EncodeSnapshot(); err == nil {
				snapshots = append(snapshots, port.Record{Data: data})
			}
			for path, revision := range before.Revisions {
				if now, ok := node.Current().Revisions[path]; ok {
					is.True(now >= revision)
				}
			}
			is.True(node.Current().Applied >= before.Applied)
		}
		for _, node := range nodes {
			for before := node.reads; node.endRead <= before; {
				node.behind = true
				is.NoErr(node.readLog(ctx))
			}
			is.Equal(node.Current(), nodes[0].Current())
			a, _ := node.state.EncodeSnapshot()
			b, _ := nodes[0].state.EncodeSnapshot()
			is.Equal(string(a), string(b))
		}
	})
}
