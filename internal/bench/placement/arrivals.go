package placement

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"mimosaseam.example/mimosaseam/internal/core/placement/baseline"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// largeAccountFactor is the request rate of a large account relative to others.
	largeAccountFactor = 4
	// hotShare is the share of the ranks that a hot shift changes.
	hotShare = 0.1
	// Prompts end with a unique tail of a length in this range, in tokens.
	minTailTokens, maxTailTokens = 16, 128
)

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// arrival is one request of the workload. It holds only the ids of its prefixes;
// the block hashes are derived when it runs.
type arrival struct {
	id      int
	at      time.Duration
	router  int
	account int
	// nodes are the prefix ids, one per level.
	nodes  []int
	prompt int
	output int
}

// siblings is a group of prefixes with one parent and their popularity.
type siblings struct {
	nodes []int
	// ranked lists indexes into nodes, the most popular first.
	ranked []int
	// cumulative holds the cumulative weights by rank.
	cumulative []float64
	// factor multiplies the weight of a node's rank; nil means 1.
	factor []float64
}

func newSiblings(rng *rand.Rand, nodes []int, factor []float64) *siblings {
	return &siblings{nodes: nodes, ranked: rng.Perm(len(nodes)), factor: factor}
}

func (s *siblings) computeWeights(zipf float64) {
	s.cumulative = s.cumulative[:0]
	sum := 0.0
	for rank, at := range s.ranked {
		w := math.Pow(float64(rank+1), -zipf)
		if s.factor != nil {
			w *= s.factor[at]
		}
		sum += w
		s.cumulative = append(s.cumulative, sum)
	}
}

func (s *siblings) draw(rng *rand.Rand) int {
	x := rng.Float64() * s.cumulative[len(s.cumulative)-1]
	i := sort.SearchFloat64s(s.cumulative, x)
	return s.nodes[s.ranked[min(i, len(s.ranked)-1)]]
}

// shift swaps the most popular ranks with random ones.
func (s *siblings) shift(rng *rand.Rand) {
	n := len(s.ranked)
	for i := range int(math.Ceil(hotShare * float64(n))) {
		j := rng.IntN(n)
		s.ranked[i], s.ranked[j] = s.ranked[j], s.ranked[i]
	}
}

// catalog is the tree of prefixes of a workload.
type catalog struct {
	w     Workload
	rng   *rand.Rand
	roots *siblings
	// children maps a prefix id to its children.
	children map[int]*siblings
	groups   []*siblings
}

// newCatalog numbers prefixes consecutively across all levels. Prefix i of a
// level belongs to parent i modulo the number of parents, and on the first level
// to account i modulo the number of accounts.
func newCatalog(w Workload, rng *rand.Rand) *catalog {
	c := &catalog{w: w, rng: rng, children: map[int]*siblings{}}
	first := 0
	for depth, level := range w.Levels {
		if depth == 0 {
			c.roots = c.group(w.firstLevel())
		} else {
			parents := w.Levels[depth-1].Count
			children := make([][]int, parents)
			for i := range level.Count {
				children[i%parents] = append(children[i%parents], first+i)
			}
			for i, nodes := range children {
				if len(nodes) > 0 {
					c.children[first-parents+i] = c.group(nodes, nil)
				}
			}
		}
		first += level.Count
	}
	return c
}

func (w Workload) firstLevel() (nodes []int, factor []float64) {
	for i := range w.Levels[0].Count {
		nodes = append(nodes, i)
		if i%w.Accounts < w.LargeAccounts {
			factor = append(factor, largeAccountFactor)
		} else {
			factor = append(factor, 1)
		}
	}
	return nodes, factor
}

func (c *catalog) group(nodes []int, factor []float64) *siblings {
	s := newSiblings(c.rng, nodes, factor)
	s.computeWeights(c.w.Zipf)
	c.groups = append(c.groups, s)
	return s
}

func (c *catalog) shift() {
	for _, s := range c.groups {
		s.shift(c.rng)
		s.computeWeights(c.w.Zipf)
	}
}

// arrivals generates all requests of the workload.
func arrivals(w Workload, seed uint64) []arrival {
	rng := rand.New(rand.NewPCG(seed, 1))
	c := newCatalog(w, rng)
	all := make([]arrival, w.Requests)
	at, shiftAt := 0.0, w.HotShiftEveryS
	for i := range all {
		at += rng.ExpFloat64() / w.RequestsPerSecond
		for w.HotShiftEveryS > 0 && at >= shiftAt {
			c.shift()
			shiftAt += w.HotShiftEveryS
		}
		a := arrival{id: i, at: seconds(at), router: rng.IntN(w.Routers)}
		group := c.roots
		for depth := 0; group != nil; depth++ {
			node := group.draw(rng)
			a.nodes = append(a.nodes, node)
			a.prompt += w.Levels[depth].Tokens
			group = c.children[node]
		}
		if len(a.nodes) > 0 {
			a.account = a.nodes[0] % w.Accounts
		} else {
			a.account = rng.IntN(w.Accounts)
		}
		a.prompt += minTailTokens + rng.IntN(maxTailTokens-minTailTokens+1)
		a.output = w.OutputTokens[0] + rng.IntN(w.OutputTokens[1]-w.OutputTokens[0]+1)
		all[i] = a
	}
	return all
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// blocks derives the block hashes from the index of a block and the prefix that
// its last token belongs to, so equal hashes mean equal prefixes.
func (w Workload) blocks(a *arrival) []port.BlockHash {
	n := a.prompt / w.BlockTokens
	hashes := make([]port.BlockHash, n)
	level, end := 0, 0
	if len(a.nodes) > 0 {
		end = w.Levels[0].Tokens
	}
	for i := range hashes {
		for level < len(a.nodes) && (i+1)*w.BlockTokens > end {
			if level++; level < len(a.nodes) {
				end += w.Levels[level].Tokens
			}
		}
		owner := uint64(a.id) | 1<<63
		if level < len(a.nodes) {
			owner = uint64(a.nodes[level])
		}
		hashes[i] = port.BlockHash(baseline.Mix64(baseline.Mix64(owner+1) + uint64(i)))
	}
	return hashes
}
