package retry

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

// SetReport sets the function that tells peers of crash evidence; each value is
// given to their Receive. It must be called before the first request.
func (f *CrashTracker) SetReport(report func(value string)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.report = report
}

// Publish tells peers of a request that ended as a suspect, because its caller
// may repeat it on another router. Suspects that are still being retried are
// not told, since most of them are cleared soon.
func (f *CrashTracker) Publish(now time.Time, fp Fingerprint) {
	defer f.tell()
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.live(now, fp); r != nil && !r.Quarantined {
		f.news = append(f.news, r.encode())
	}
}

// tell reports what is new without holding the lock.
func (f *CrashTracker) tell() {
	f.mu.Lock()
	news, report := f.news, f.report
	f.news = nil
	f.mu.Unlock()
	if report == nil {
		return
	}
	for _, value := range news {
		report(value)
	}
}

// Marks of encoded records.
const (
	markSuspect     = "s"
	markQuarantined = "q"
)

// encode renders the record as "<mark>.<fingerprint>.<crash>,<crash>...", all
// numbers in hexadecimal. Times are left out: the receiver's clock starts them.
func (r *CrashRecord) encode() string {
	mark := markSuspect
	if r.Quarantined {
		mark = markQuarantined
	}
	return mark + "." + strconv.FormatUint(uint64(r.Fingerprint), 16) + "." + strings.Join(r.Crashes, ",")
}

// Receive takes values that a peer reported. Values that are not understood are
// ignored, because they may come from a newer version.
func (f *CrashTracker) Receive(now time.Time, values []string) {
	records := make([]CrashRecord, 0, len(values))
	for _, value := range values {
		if r, ok := decode(now, value); ok {
			records = append(records, r)
		}
	}
	f.Merge(now, records)
}

func decode(now time.Time, value string) (CrashRecord, bool) {
	parts := strings.Split(value, ".")
	if len(parts) != 3 || parts[0] != markSuspect && parts[0] != markQuarantined {
		return CrashRecord{}, false
	}
	fp, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return CrashRecord{}, false
	}
	r := CrashRecord{Fingerprint: Fingerprint(fp), Crashes: strings.Split(parts[2], ","), Expires: now.Add(suspectFor)}
	if parts[0] == markQuarantined {
		r.Quarantined = true
		r.Expires = now.Add(quarantineFor)
	}
	return r, true
}

// Export returns at most limit records for peers, quarantines first.
func (f *CrashTracker) Export(now time.Time, limit int) []CrashRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prune(now)
	out := make([]CrashRecord, 0, len(f.records))
	for _, r := range f.records {
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

// Merge takes records of a peer. A quarantine stands on every router; a
// suspicion stands unless the request was cleared of the same crashes.
func (f *CrashTracker) Merge(now time.Time, records []CrashRecord) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.prune(now)
	pending := len(f.news)
	for _, in := range records {
		if !now.Before(in.Expires) || in.Expires.Sub(now) > quarantineFor+clockSkew {
			continue
		}
		r := f.records[in.Fingerprint]
		if r == nil {
			if len(f.records) >= maxRecords {
				continue
			}
			r = &CrashRecord{Fingerprint: in.Fingerprint, Cleared: in.Cleared, Completed: in.Completed}
			f.records[in.Fingerprint] = r
		}
		r.merge(in)
		if in.Quarantined {
			f.quarantine(r)
		}
	}
	f.news = f.news[:pending] // peers tell each other what they received
}

func (r *CrashRecord) merge(in CrashRecord) {
	theirs, ours := containsAll(r.Crashes, in.Crashes), containsAll(in.Crashes, r.Crashes)
	switch {
	case theirs && ours:
		r.Cleared = r.Cleared || in.Cleared
	case ours: // the peer knows more crashes
		r.Cleared = in.Cleared
	case !theirs:
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

// clockSkew is the most by which the clocks of two routers may differ.
const clockSkew = time.Minute
