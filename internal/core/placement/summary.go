package placement

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"mimosaseam.example/mimosaseam/internal/port"
)

// ErrMalformedSummary means that a summary is truncated or has an unsupported format.
var ErrMalformedSummary = eris.New("placement summary is malformed")

const (
	summaryFormat = 1
	// maxSummaryTargets bounds the target table of a summary.
	maxSummaryTargets = 256
	// maxSummaryHolders bounds the holders per segment in a summary.
	maxSummaryHolders = 3
)

// Summary encodes the most valuable segments, by rate times length, in at most
// maxBytes. The layout is a header (format, averages, table of target names and
// incarnations) and one entry per segment, each after its ancestors.
func (p *Policy) Summary(now time.Time, maxBytes int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := summaryWriter{p: p, now: now, max: maxBytes, segmentIndex: map[*segment]int{}, targetIndex: map[int32]int{}}
	w.header()
	if len(w.out) > maxBytes {
		return nil
	}
	for _, s := range w.byValue() {
		if !w.segment(s) {
			break
		}
	}
	return w.out
}

type summaryWriter struct {
	p            *Policy
	now          time.Time
	max          int
	out          []byte
	segmentIndex map[*segment]int
	targetIndex  map[int32]int
}

func (w *summaryWriter) header() {
	p := w.p
	w.out = append(w.out, summaryFormat)
	w.uint(int(p.retained.d.Milliseconds()))
	w.float(p.pendingPerRequest())
	w.float(p.decodeSeconds)
	listed := make([]*targetState, 0, len(p.byID))
	for _, t := range p.byID {
		if t.incarnation != "" && len(listed) < maxSummaryTargets {
			listed = append(listed, t)
		}
	}
	w.uint(len(listed))
	for i, t := range listed {
		w.targetIndex[t.id] = i
		w.text(t.name)
		w.text(string(t.incarnation))
	}
}

func (w *summaryWriter) byValue() []*segment {
	type valued struct {
		s     *segment
		value float64
	}
	t := w.p.segments
	all := make([]valued, 0, t.count)
	for s := t.lru.next; s != &t.lru; s = s.next {
		if s.uses > 1 || s.split {
			all = append(all, valued{s, s.rateAt(w.now, w.p.cfg.rateWindow()) * float64(s.length)})
		}
	}
	slices.SortStableFunc(all, func(a, b valued) int {
		switch {
		case a.value > b.value:
			return -1
		case a.value < b.value:
			return 1
		}
		return 0
	})
	sorted := make([]*segment, len(all))
	for i, v := range all {
		sorted[i] = v.s
	}
	return sorted
}

// segment writes s after its ancestors; it returns false if they don't fit.
func (w *summaryWriter) segment(s *segment) bool {
	if _, ok := w.segmentIndex[s]; ok {
		return true
	}
	parent := 0
	if s.parent != nil {
		if !w.segment(s.parent) {
			return false
		}
		parent = w.segmentIndex[s.parent] + 1
	}
	start := len(w.out)
	w.out = binary.BigEndian.AppendUint64(w.out, s.keys[0])
	w.uint(parent)
	w.uint(s.length)
	w.float(s.rateAt(w.now, w.p.cfg.rateWindow()))
	w.float(s.meanUncached)
	w.uint(s.spread<<1 | bit(s.split))
	w.uint(s.subtreeBlocks(w.now))
	w.uint(s.subtreeChildren(w.now))
	w.holders(s)
	if len(w.out) > w.max {
		w.out = w.out[:start]
		return false
	}
	w.segmentIndex[s] = len(w.segmentIndex)
	return true
}

func (w *summaryWriter) holders(s *segment) {
	newest := slices.Clone(s.holders)
	slices.SortFunc(newest, func(a, b holder) int { return int(min(1, max(-1, b.last-a.last))) })
	listed := newest[:0]
	for _, h := range newest {
		if _, ok := w.targetIndex[h.target]; ok && w.p.byID[h.target].valid(&h) && len(listed) < maxSummaryHolders {
			listed = append(listed, h)
		}
	}
	w.uint(len(listed))
	for _, h := range listed {
		w.uint(w.targetIndex[h.target])
		w.uint(int(h.blocks))
		w.uint(int(max(0, h.age(w.now).Milliseconds())))
	}
}

func (w *summaryWriter) uint(n int) { w.out = binary.AppendUvarint(w.out, uint64(n)) }

func (w *summaryWriter) float(f float64) {
	w.out = binary.BigEndian.AppendUint32(w.out, math.Float32bits(float32(f)))
}

func (w *summaryWriter) text(s string) {
	w.uint(len(s))
	w.out = append(w.out, s...)
}

func bit(set bool) int {
	if set {
		return 1
	}
	return 0
}

// Restore merges a summary. A malformed one has no effect.
func (p *Policy) Restore(now time.Time, summary []byte) error {
	if len(summary) == 0 {
		return nil
	}
	r := summaryReader{in: summary}
	s := r.read()
	if r.malformed {
		return eris.Wrapf(ErrMalformedSummary, "at byte %d of %d", len(summary)-len(r.in), len(summary))
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.merge(now, s)
	return nil
}

type summaryData struct {
	retention                        time.Duration
	pendingPerRequest, decodeSeconds float64
	targets                          []summaryTarget
	segments                         []summarySegment
}

type summaryTarget struct {
	name        string
	incarnation port.Incarnation
}

type summarySegment struct {
	key                       uint64
	parent, length            int
	rate, meanUncached        float64
	spread, subtree, children int
	split                     bool
	holders                   []summaryHolder
}

type summaryHolder struct {
	target, blocks int
	age            time.Duration
}

type summaryReader struct {
	in        []byte
	malformed bool
}

func (r *summaryReader) read() summaryData {
	var s summaryData
	if string(r.take(1)) != string([]byte{summaryFormat}) {
		r.malformed = true
		return s
	}
	s.retention = time.Duration(r.uint()) * time.Millisecond
	s.pendingPerRequest, s.decodeSeconds = r.float(), r.float()
	for n := r.uint(); n > 0 && !r.malformed; n-- {
		s.targets = append(s.targets, summaryTarget{r.text(), port.Incarnation(r.text())})
	}
	for len(r.in) > 0 && !r.malformed {
		s.segments = append(s.segments, r.segment(len(s.segments), len(s.targets)))
	}
	return s
}

func (r *summaryReader) segment(before, targets int) summarySegment {
	var s summarySegment
	if raw := r.take(8); len(raw) == 8 {
		s.key = binary.BigEndian.Uint64(raw)
	}
	s.parent, s.length = r.uint(), r.uint()
	s.rate, s.meanUncached = r.float(), r.float()
	flags := r.uint()
	s.spread, s.split = flags>>1, flags&1 == 1
	s.subtree, s.children = r.uint(), r.uint()
	for n := r.uint(); n > 0 && !r.malformed; n-- {
		h := summaryHolder{target: r.uint(), blocks: r.uint(), age: time.Duration(r.uint()) * time.Millisecond}
		r.malformed = r.malformed || h.target >= targets || h.blocks > s.length
		s.holders = append(s.holders, h)
	}
	r.malformed = r.malformed || s.parent > before || s.length == 0
	return s
}

func (r *summaryReader) take(n int) []byte {
	if n < 0 || n > len(r.in) {
		r.malformed = true
		return nil
	}
	head := r.in[:n]
	r.in = r.in[n:]
	return head
}

func (r *summaryReader) uint() int {
	n, size := binary.Uvarint(r.in)
	if size <= 0 || n > math.MaxInt32 {
		r.malformed = true
		return 0
	}
	r.in = r.in[size:]
	return int(n)
}

func (r *summaryReader) float() float64 {
	raw := r.take(4)
	if len(raw) < 4 {
		return 0
	}
	f := float64(math.Float32frombits(binary.BigEndian.Uint32(raw)))
	r.malformed = r.malformed || math.IsNaN(f) || math.IsInf(f, 0) || f < 0
	return f
}

func (r *summaryReader) text() string { return string(r.take(r.uint())) }
