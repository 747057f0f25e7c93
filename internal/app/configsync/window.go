package configsync

import (
	"context"

	"mimosaseam.example/mimosaseam/internal/core/config"
	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// maxRetainedRecords and maxRetainedBytes bound the records retained for peers.
	// A peer that is further behind gets a snapshot.
	maxRetainedRecords = 2048
	maxRetainedBytes   = 4 << 20
	// historyLength is the number of decisions retained for all paths together,
	// about one day at 11,000 changes a day.
	historyLength = 10_000
)

// recordWindow holds the most recent records in offset order.
type recordWindow struct {
	records []port.Record
	bytes   int
}

func (w *recordWindow) reset() { *w = recordWindow{} }

func (w *recordWindow) add(rec port.Record) {
	w.records = append(w.records, rec)
	w.bytes += len(rec.Data)
	for len(w.records) > maxRetainedRecords || (w.bytes > maxRetainedBytes && len(w.records) > 1) {
		w.bytes -= len(w.records[0].Data)
		w.records[0] = port.Record{}
		w.records = w.records[1:]
	}
}

// from returns at most limit records starting at the offset, or false if the
// window starts later.
func (w *recordWindow) from(offset port.Offset, limit int) ([]port.Record, bool) {
	if len(w.records) == 0 || offset < w.records[0].Offset {
		return nil, false
	}
	i := int(offset - w.records[0].Offset)
	if i >= len(w.records) {
		return nil, true
	}
	return append([]port.Record(nil), w.records[i:min(len(w.records), i+max(limit, 0))]...), true
}

// PullRecords implements PeerReader for other routers. If the records are no longer
// retained, the batch consists of one snapshot record at offset 0.
func (s *Sync) PullRecords(_ context.Context, stream string, from port.Offset, limit int) (port.Batch, error) {
	if stream != port.StreamConfig {
		return port.Batch{}, &port.NotFoundError{Peer: "configuration sync", Name: stream}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	applied := s.state.Applied()
	if from > applied {
		return port.Batch{Next: from}, nil
	}
	if records, ok := s.retained.from(from, limit); ok {
		return port.Batch{Records: records, Next: from + port.Offset(len(records)), Oldest: s.retained.records[0].Offset}, nil
	}
	data, err := s.state.EncodeSnapshot()
	if err != nil {
		return port.Batch{}, err
	}
	rec := port.Record{ID: "snapshot", AppendedAt: s.snapshots.last, Data: data}
	return port.Batch{Records: []port.Record{rec}, Next: applied + 1, Oldest: applied + 1}, nil
}

// history holds the most recent decisions in offset order.
type history struct{ decisions []config.Decision }

func (h *history) add(d config.Decision) {
	h.decisions = append(h.decisions, d)
	if len(h.decisions) > historyLength {
		h.decisions = h.decisions[1:]
	}
}

func (h *history) of(path string) []config.Decision {
	var out []config.Decision
	for _, d := range h.decisions {
		if d.Path == path {
			out = append(out, d)
		}
	}
	return out
}
