package retry

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// SetReport sets the function that sends encoded records to the peers, which pass
// each value to Receive. It must be called before the first request.
func (t *CrashTracker) SetReport(report func(value string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = report
}

// Publish reports a request that ended as a suspect to the peers, because its caller
// may retry it on another router. Suspects with retries in progress are not reported,
// because most of them are cleared soon.
func (t *CrashTracker) Publish(now time.Time, fp Fingerprint) {
	defer t.sendReports()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.activeRecord(now, fp); r != nil && !r.Quarantined {
		t.pendingReports = append(t.pendingReports, r.encode())
	}
}

// sendReports sends the pending reports without holding the lock.
func (t *CrashTracker) sendReports() {
	t.mu.Lock()
	pending, report := t.pendingReports, t.report
	t.pendingReports = nil
	t.mu.Unlock()
	if report == nil {
		return
	}
	for _, value := range pending {
		report(value)
	}
}

// States of encoded records.
const (
	stateSuspect     = "s"
	stateQuarantined = "q"
)

// encode returns the record as "<state>.<fingerprint>.<crash>,<crash>...", with all
// numbers in hexadecimal. It omits the expiry, which the receiver sets by its own
// clock.
func (r *CrashRecord) encode() string {
	state := stateSuspect
	if r.Quarantined {
		state = stateQuarantined
	}
	return state + "." + strconv.FormatUint(uint64(r.Fingerprint), 16) + "." + strings.Join(r.Crashes, ",")
}

// Receive merges values that a peer reported. It ignores values that it cannot
// decode, because they may come from a newer version.
func (t *CrashTracker) Receive(now time.Time, reports []port.Fingerprint) {
	records := make([]CrashRecord, 0, len(reports))
	for _, report := range reports {
		if r, ok := decode(now.Add(-report.Age), report.Value); ok {
			records = append(records, r)
		}
	}
	t.Merge(now, records)
}

func decode(reported time.Time, value string) (CrashRecord, bool) {
	parts := strings.Split(value, ".")
	if len(parts) != 3 || parts[0] != stateSuspect && parts[0] != stateQuarantined {
		return CrashRecord{}, false
	}
	fp, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return CrashRecord{}, false
	}
	r := CrashRecord{Fingerprint: Fingerprint(fp), Crashes: strings.Split(parts[2], ","), Expires: reported.Add(suspectTTL)}
	if parts[0] == stateQuarantined {
		r.Quarantined = true
		r.Expires = reported.Add(quarantineTTL)
	}
	return r, true
}

// Export returns at most limit records for peers, quarantined requests first.
func (t *CrashTracker) Export(now time.Time, limit int) []CrashRecord {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	out := make([]CrashRecord, 0, len(t.records))
	for _, r := range t.records {
		copied := *r
		copied.Crashes = slices.Clone(r.Crashes)
		out = append(out, copied)
	}
	slices.SortFunc(out, func(a, b CrashRecord) int {
		if a.Quarantined != b.Quarantined {
			if a.Quarantined {
				return -1
			}
			return 1
		}
		return b.Expires.Compare(a.Expires)
	})
	return out[:min(limit, len(out))]
}

// Merge adds the records of a peer. A quarantine applies on every router; a request
// becomes a suspect unless it has been cleared of the same crashes.
func (t *CrashTracker) Merge(now time.Time, records []CrashRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	pending := len(t.pendingReports)
	for _, in := range records {
		if !now.Before(in.Expires) || in.Expires.Sub(now) > quarantineTTL+clockSkew {
			continue
		}
		r := t.records[in.Fingerprint]
		if r == nil {
			if len(t.records) >= maxRecords {
				continue
			}
			r = &CrashRecord{Fingerprint: in.Fingerprint, Cleared: in.Cleared, Completed: in.Completed}
			t.records[in.Fingerprint] = r
		}
		r.merge(in)
		if in.Quarantined {
			t.quarantine(r)
		}
	}
	t.pendingReports = t.pendingReports[:pending] // received records are not reported again
}

func (r *CrashRecord) merge(in CrashRecord) {
	peerSubset, localSubset := containsAll(r.Crashes, in.Crashes), containsAll(in.Crashes, r.Crashes)
	switch {
	case peerSubset && localSubset:
		r.Cleared = r.Cleared || in.Cleared
	case localSubset: // the peer has recorded more crashes
		r.Cleared = in.Cleared
	case !peerSubset:
		r.Cleared = r.Cleared && in.Cleared
	}
	r.Completed = r.Cleared && (r.Completed || in.Completed)
	for _, id := range in.Crashes {
		if !slices.Contains(r.Crashes, id) && len(r.Crashes) < maxCrashIDs {
			r.Crashes = append(r.Crashes, id)
		}
	}
	if in.Expires.After(r.Expires) {
		r.Expires = in.Expires
	}
}

func containsAll(set, ids []string) bool {
	for _, id := range ids {
		if !slices.Contains(set, id) {
			return false
		}
	}
	return true
}

// clockSkew is the maximum difference between the clocks of two routers.
const clockSkew = time.Minute
