package capacity

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/membership"
	"mimosaseam.example/mimosaseam/internal/core/placement"
	"mimosaseam.example/mimosaseam/internal/core/prompt"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	routers      = 540
	rankings     = 2000
	prompts      = 4000
	promptBlocks = 160
	promptBytes  = 40_960
	seed         = 1
)

// pool returns n targets in three regions.
func pool(n int) []placement.Target {
	out := make([]placement.Target, n)
	for i := range out {
		out[i] = placement.Target{
			Name: "runner-" + strconv.Itoa(i), Region: "r" + strconv.Itoa(i%3), AvailabilityZone: "z" + strconv.Itoa(i%9),
			Slots: 32, CacheBlocks: 33_000, PrefillTokensPerSecond: 20_000, DecodeMsPerToken: 25,
		}
	}
	return out
}

// request returns one of the prompts, half of whose blocks are shared with others.
func request(i int) placement.Request {
	blocks := make([]port.BlockHash, promptBlocks)
	for b := range blocks {
		family := i
		if b < promptBlocks/2 {
			family = i % 200
		}
		blocks[b] = port.BlockHash(uint64(family)<<32 | uint64(b) + 1)
	}
	return placement.Request{
		Scope: port.Scope{ClientAccount: "a" + strconv.Itoa(i%200)}, Blocks: blocks, BlockTokens: 64,
		PromptTokens: promptBlocks * 64, OutputTokens: 100, PromptBytes: promptBytes,
	}
}

func placementSlopes() ([]Slope, error) {
	now := time.Unix(1_800_000_000, 0)
	var all []Slope
	for _, n := range []int{12, 500, targets} {
		policy := placement.New(placement.Settings{Seed: seed, Region: "r0", AvailabilityZone: "z0"})
		pool := pool(n)
		all = append(all, measureCalls("rank at "+strconv.Itoa(n)+" targets", "request", rankings, func(i int) {
			policy.Rank(now.Add(time.Duration(i)*time.Millisecond), request(i), pool)
		}))
	}
	pool := pool(500)
	index := measureBuild("prefix index", "prompt of 160 blocks", prompts, func() any {
		policy := placement.New(placement.Settings{Seed: seed, Region: "r0", AvailabilityZone: "z0"})
		for i := range prompts {
			at, r := now.Add(time.Duration(i)*time.Millisecond), request(i)
			best := policy.Rank(at, r, pool)[0].Target
			policy.Started(at, r, best)
			policy.Finished(at, r, best, "1", 0)
		}
		return policy
	})
	return append(all, index), nil
}

// membershipSlopes measures the membership view of one router.
func membershipSlopes() ([]Slope, error) {
	now := time.Unix(1_800_000_000, 0)
	list := port.VMSnapshot{AsOf: now}
	for i := range routers {
		list.VMs = append(list.VMs, port.VM{
			Name: "entry-" + strconv.Itoa(i), Role: port.RoleRouter, Address: "10.0." + strconv.Itoa(i/250) + "." + strconv.Itoa(i%250) + ":8082",
			Region: "r" + strconv.Itoa(i%3), AvailabilityZone: "z" + strconv.Itoa(i%9), State: port.VMLive,
		})
	}
	var view *membership.View
	members := measureBuild("membership view", "router", routers, func() any {
		self := port.Member{Name: "entry-0", Address: "10.0.0.0:8082", Region: "r0", AvailabilityZone: "z0", Incarnation: 1}
		view = membership.New(now, self, nil, rand.New(rand.NewPCG(seed, seed)))
		view.ApplyVMList(now, list)
		return view
	})
	round := measureCalls("exchange round at 540 routers", "round", rankings, func(i int) {
		at := now.Add(time.Duration(i) * time.Second)
		view.Tick(at)
		if peer, ok := view.NextPeer(at); ok {
			gossip, _ := view.Gossip(at, peer.Name, nil, 900)
			view.Merge(at, gossip)
			view.RecordResponse(at, peer, port.Member{Name: peer.Name, Incarnation: 1})
		}
	})
	return []Slope{members, round}, nil
}

func promptSlopes() ([]Slope, error) {
	text := strings.Repeat("conduit ", promptBytes/8)
	s := measureCalls("block hashes", "prompt of 40 KiB", rankings, func(int) {
		prompt.BlockHashes(port.Scope{ClientAccount: "a"}, text, prompt.DefaultBlockBytes)
	})
	return []Slope{s}, nil
}
