package retry

import (
	"strconv"
	"strings"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

// Kinds of encoded segment evidence, distinct from the states of encoded CrashRecords.
const (
	kindCrash     = "c"
	kindClearance = "e"
	kindAnswer    = "f"
	kindTrial     = "t"
	kindKnown     = "k"
)

// SetReport sets the function that sends encoded evidence to the peers, which pass each
// value to Receive. It must be called before the first request.
func (t *SegmentTracker) SetReport(report func(value string)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report = report
}

// OnChange sets the function that is called after each change of the quarantine and
// at each trial. It must be called before the first request.
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

// encodeCrash returns "c.<crash>.<request>.<segment>,<segment>..." and, if it is not 0,
// ".<ms between the failure of the request and the report>", with all numbers in hexadecimal.
func encodeCrash(crash uint64, request Fingerprint, segments []SegmentHash, lag time.Duration) string {
	parts := []string{kindCrash, hex(crash), hex(uint64(request)), hexList(segments)}
	if ms := lag.Milliseconds(); ms > 0 {
		parts = append(parts, hex(uint64(ms)))
	}
	return strings.Join(parts, ".")
}

// encodeAnswer returns "f.<request>.<crash>,<crash>..." with the crashes of which the request is
// cleared, none if it was answered before.
func encodeAnswer(request Fingerprint, crashes []uint64) string {
	return strings.Join([]string{kindAnswer, hex(uint64(request)), hexList(crashes)}, ".")
}

// encodeClearance returns "e.<segment>.<crash>,<crash>...".
func encodeClearance(s SegmentHash, crashes []uint64) string {
	return strings.Join([]string{kindClearance, hex(uint64(s)), hexList(crashes)}, ".")
}

// encodeTrial returns "t.<group>.<ms>". The time makes the value differ from earlier trials of the
// group.
func encodeTrial(group groupID, at time.Time) string {
	return strings.Join([]string{kindTrial, hex(uint64(group)), hex(uint64(at.UnixMilli()))}, ".")
}

// encodeKnown returns "k.<segment>".
func encodeKnown(s SegmentHash) string { return kindKnown + "." + hex(uint64(s)) }

// Receive merges evidence that a peer reported. It ignores values that it cannot decode,
// because they may be CrashRecords or come from a newer version.
func (t *SegmentTracker) Receive(now time.Time, reports []port.Fingerprint) {
	defer t.notify()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range reports {
		parts := strings.Split(r.Value, ".")
		switch {
		case parts[0] == kindCrash && (len(parts) == 4 || len(parts) == 5):
			t.receiveCrash(now, r.Age, parts[1:])
		case parts[0] == kindClearance && len(parts) == 3:
			t.receiveClearance(now, r.Age, parts[1], parts[2])
		case parts[0] == kindAnswer && len(parts) == 3:
			t.receiveAnswer(now, r.Age, parts[1], parts[2])
		case parts[0] == kindTrial && len(parts) == 3:
			t.receiveTrial(now, r.Age, parts[1])
		case parts[0] == kindKnown && len(parts) == 2:
			if s, valid := parseHex(parts[1]); valid {
				t.known.add(SegmentHash(s))
			}
		}
	}
}

func (t *SegmentTracker) receiveCrash(now time.Time, age time.Duration, parts []string) {
	id, valid := parseHex(parts[0])
	request, validRequest := parseHex(parts[1])
	segments, validList := parseHexList[SegmentHash](parts[2], maxRequestSegments)
	lag, validLag := uint64(0), true
	if len(parts) == 4 {
		lag, validLag = parseHex(parts[3])
	}
	if valid && validRequest && validList && validLag && lag <= uint64(suspectTTL.Milliseconds()) {
		at := now.Add(-age - time.Duration(lag)*time.Millisecond)
		c := t.crash(now, at, id)
		// What has settled on other routers counts at once, as in a snapshot at the start.
		if seen := now.Add(-age); seen.Before(c.seen) {
			c.seen, t.dirty = seen, true
		}
		t.add(c, Fingerprint(request), segments)
	}
}

func (t *SegmentTracker) receiveClearance(now time.Time, age time.Duration, segment, list string) {
	s, valid := parseHex(segment)
	crashes, validList := parseHexList[uint64](list, maxSegmentCrashes)
	if !valid || !validList {
		return
	}
	for _, id := range crashes {
		c := t.crash(now, now.Add(-age), id)
		if len(c.cleared) < maxCrashRequests*maxRequestSegments {
			c.clear(SegmentHash(s))
			delete(c.unreported, SegmentHash(s))
			t.dirty = true
		}
	}
}

func (t *SegmentTracker) receiveAnswer(now time.Time, age time.Duration, request, list string) {
	fp, valid := parseHex(request)
	crashes, validList := parseHexList[uint64](list, maxSegmentCrashes)
	if !valid || !validList {
		return
	}
	t.answered.add(Fingerprint(fp))
	t.dirty = true
	for _, id := range crashes {
		c := t.crash(now, now.Add(-age), id)
		if len(c.answered) < maxCrashRequests {
			c.answered[Fingerprint(fp)] = true
			delete(c.unreportedAnswers, Fingerprint(fp))
			t.dirty = true
		}
	}
}

func (t *SegmentTracker) receiveTrial(now time.Time, age time.Duration, group string) {
	id, valid := parseHex(group)
	if _, known := t.trials[groupID(id)]; valid && age < quarantineTTL && (known || len(t.trials) < maxTrials) {
		t.recordTrial(groupID(id), now.Add(-age))
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
	if text == "" {
		return nil, true
	}
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
