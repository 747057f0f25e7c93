package retry

import (
	"strconv"
	"strings"
	"time"
)

// Kinds of encoded segment evidence, distinct from the states of encoded CrashRecords.
const (
	kindCrash     = "c"
	kindClearance = "e"
)

// SetReport sets the function that sends encoded evidence to the peers, which pass each
// value to Receive. It must be called before the first request.
func (t *SegmentTracker) SetReport(report func(value string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = report
}

// OnChange sets the function that is called after each change of the quarantined
// segments. It must be called before the first request.
func (t *SegmentTracker) OnChange(on func(SegmentChange)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onChange = on
}

// notify sends the pending reports and changes without holding the lock.
func (t *SegmentTracker) notify() {
	t.mu.Lock()
	reports, changes, report, on := t.pendingReports, t.pendingChanges, t.report, t.onChange
	t.pendingReports, t.pendingChanges = nil, nil
	t.mu.Unlock()
	if report != nil {
		for _, value := range reports {
			report(value)
		}
	}
	if on != nil {
		for _, c := range changes {
			on(c)
		}
	}
}

// encodeCrash returns "c.<crash>.<request>.<segment>,<segment>...", with all numbers in
// hexadecimal.
func encodeCrash(crash uint64, request Fingerprint, segments []SegmentHash) string {
	return strings.Join([]string{kindCrash, hex(crash), hex(uint64(request)), hexList(segments)}, ".")
}

// encodeClearance returns "e.<segment>.<crash>,<crash>...".
func encodeClearance(s SegmentHash, crashes []uint64) string {
	return strings.Join([]string{kindClearance, hex(uint64(s)), hexList(crashes)}, ".")
}

// Receive merges evidence that a peer reported. It ignores values that it cannot decode,
// because they may be CrashRecords or come from a newer version.
func (t *SegmentTracker) Receive(now time.Time, values []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, value := range values {
		parts := strings.Split(value, ".")
		switch {
		case parts[0] == kindCrash && len(parts) == 4:
			t.receiveCrash(now, parts[1], parts[2], parts[3])
		case parts[0] == kindClearance && len(parts) == 3:
			t.receiveClearance(now, parts[1], parts[2])
		}
	}
}

func (t *SegmentTracker) receiveCrash(now time.Time, crash, request, list string) {
	id, valid := parseHex(crash)
	fp, validRequest := parseHex(request)
	segments, validList := parseHexList[SegmentHash](list, maxRequestSegments)
	if valid && validRequest && validList {
		t.add(t.crash(now, id), Fingerprint(fp), segments)
	}
}

func (t *SegmentTracker) receiveClearance(now time.Time, segment, list string) {
	s, valid := parseHex(segment)
	crashes, validList := parseHexList[uint64](list, maxSegmentCrashes)
	if !valid || !validList {
		return
	}
	for _, id := range crashes {
		c := t.crash(now, id)
		if len(c.cleared) < maxCrashRequests*maxRequestSegments {
			c.clear(SegmentHash(s))
			delete(c.unreported, SegmentHash(s))
			t.dirty = true
		}
	}
}

func hex(n uint64) string { return strconv.FormatUint(n, 16) }

func hexList[T ~uint64](list []T) string {
	out := make([]string, len(list))
	for i, n := range list {
		out[i] = hex(uint64(n))
	}
	return strings.Join(out, ",")
}

func parseHex(text string) (uint64, bool) {
	n, err := strconv.ParseUint(text, 16, 64)
	return n, err == nil
}

func parseHexList[T ~uint64](text string, limit int) ([]T, bool) {
	parts := strings.Split(text, ",")
	if len(parts) > limit {
		return nil, false
	}
	out := make([]T, len(parts))
	for i, part := range parts {
		n, valid := parseHex(part)
		if !valid {
			return nil, false
		}
		out[i] = T(n)
	}
	return out, true
}
