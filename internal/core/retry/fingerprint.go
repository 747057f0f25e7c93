package retry

import (
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request across attempts, retries by its caller, and
// routers.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex(uint64(f)) }

// FingerprintOf hashes the client account and the parts of the request that
// the target processes.
func FingerprintOf(account string, parts ...string) Fingerprint {
	d := xxhash.New()
	var size [8]byte
	for _, s := range append([]string{account}, parts...) {
		binary.BigEndian.PutUint64(size[:], uint64(len(s)))
		_, _ = d.Write(size[:])
		_, _ = d.WriteString(s)
	}
	return Fingerprint(d.Sum64())
}

// Retention times and maximum number of crash records.
const (
	suspectTTL    = 10 * time.Minute
	quarantineTTL = time.Hour
	maxRecords    = 4096
	// crashDedupWindow is the time within which reports of crashes of one target with
	// an unknown incarnation count as one crash; the streams broken by a crash end
	// within it.
	crashDedupWindow = 5 * time.Second
)

// CrashRecord holds the crashes in which one fingerprint was involved. Routers
// exchange these records.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes identifies the crashes of targets on which the request was running, as
	// hashes of target and incarnation.
	Crashes []string `json:"crashes"`
	// Cleared reports that the request later ran past the point at which these
	// crashes occurred.
	Cleared bool `json:"cleared,omitempty"`
	// Completed reports that the request later ran to its end.
	Completed bool `json:"whole,omitempty"`
	// Quarantined requests are refused.
	Quarantined bool      `json:"quarantined,omitempty"`
	Expires     time.Time `json:"expires"`
}

// CrashTracker tracks which requests run on which target and detects those that
// crash targets. All requests that are running on a target when it crashes become
// suspects, unless exactly one of them already was a suspect: then only that one is
// quarantined. A suspect runs once at a time, on a target without other suspects, so
// that a second crash identifies it. A suspect that runs past the point of the crash
// is cleared, so that harmless requests are not isolated for long. It is quarantined
// after all if a third target crashes on which it is the only request with two earlier
// crashes and no suspect is running. It is safe for concurrent use.
type CrashTracker struct {
	mu      sync.Mutex
	records map[Fingerprint]*CrashRecord
	running map[string]map[string]Fingerprint // target -> attempt -> request
	crashes map[string]time.Time              // crashes already counted
	// answered holds requests that ran to their end. Crashes of targets that fell silent
	// are seen late, with requests that were sent since: those are left to SegmentTracker.
	answered recentSet[Fingerprint]
	// arbiter isolates the suspects of different routers from each other; nil if
	// there is none. reserved holds the attempts whose reservations must be released.
	arbiter  Arbiter
	reserved map[string]bool
	// quarantined is closed and replaced when a request is quarantined.
	quarantined chan struct{}
	// report sends a record to the peers. pendingReports are sent after the lock is
	// released.
	report         func(value string)
	pendingReports []string
}

// NewCrashTracker returns a CrashTracker without records.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		records: map[Fingerprint]*CrashRecord{},
		running: map[string]map[string]Fingerprint{},
		crashes: map[string]time.Time{},

		reserved:    map[string]bool{},
		quarantined: make(chan struct{}),
	}
}

// SetArbiter sets the Arbiter for suspects of different routers. It must be called
// before the first request.
func (t *CrashTracker) SetArbiter(a Arbiter) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.arbiter = a
}

// NextQuarantine returns a channel that is closed at the next quarantine, for
// requests that run on several targets at once.
func (t *CrashTracker) NextQuarantine() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.quarantined
}

func (t *CrashTracker) quarantine(r *CrashRecord) {
	if r.Quarantined {
		return
	}
	r.Quarantined = true
	t.pendingReports = append(t.pendingReports, r.encode())
	close(t.quarantined)
	t.quarantined = make(chan struct{})
}

// Quarantined reports whether the request must be refused.
func (t *CrashTracker) Quarantined(now time.Time, fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.activeRecord(now, fp)
	return r != nil && r.Quarantined
}

// Suspect reports whether the request is a suspect or quarantined.
func (t *CrashTracker) Suspect(now time.Time, fp Fingerprint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.activeRecord(now, fp) != nil
}

// MayRun reports whether the request may run on the target now. A suspect must not
// share a target with another suspect or have two attempts running.
func (t *CrashTracker) MayRun(now time.Time, fp Fingerprint, target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.mayRun(now, fp, target)
}

func (t *CrashTracker) mayRun(now time.Time, fp Fingerprint, target string) bool {
	if t.activeRecord(now, fp) == nil {
		return true
	}
	for on, set := range t.running {
		for _, other := range set {
			if other == fp || on == target && t.activeRecord(now, other) != nil {
				return false
			}
		}
	}
	return true
}

// Start records that an attempt of the request is about to run on the target. It
// returns false if the attempt must not run there. For a suspect it reserves the
// target with the Arbiter, which may take one round trip.
func (t *CrashTracker) Start(now time.Time, fp Fingerprint, target, attempt string) bool {
	arbiter, ok := t.register(now, fp, target, attempt)
	if !ok || arbiter == nil {
		return ok
	}
	if !arbiter.Reserve(target, fp) {
		t.unregister(target, attempt)
		return false
	}
	t.mu.Lock()
	t.reserved[attempt] = true
	t.mu.Unlock()
	return true
}

// register records the attempt. For a suspect it returns the Arbiter that must reserve
// the target.
func (t *CrashTracker) register(now time.Time, fp Fingerprint, target, attempt string) (Arbiter, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.mayRun(now, fp, target) {
		return nil, false
	}
	set := t.running[target]
	if set == nil {
		set = map[string]Fingerprint{}
		t.running[target] = set
	}
	set[attempt] = fp
	if t.activeRecord(now, fp) == nil {
		return nil, true
	}
	return t.arbiter, true
}

// Ended records that the attempt no longer runs.
func (t *CrashTracker) Ended(target, attempt string) {
	if fp, reserved := t.unregister(target, attempt); reserved {
		t.arbiter.Release(target, fp)
	}
}

func (t *CrashTracker) unregister(target, attempt string) (fp Fingerprint, reserved bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	fp, reserved = t.running[target][attempt], t.reserved[attempt]
	delete(t.reserved, attempt)
	delete(t.running[target], attempt)
	if len(t.running[target]) == 0 {
		delete(t.running, target)
	}
	return fp, reserved
}

// Clear clears a suspect that ran past the point of the crash. If it completed, its
// earlier crashes no longer count against it.
func (t *CrashTracker) Clear(fp Fingerprint, completed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if completed {
		t.answered.add(fp)
	}
	if r := t.records[fp]; r != nil && !r.Quarantined {
		r.Cleared = true
		r.Completed = r.Completed || completed
	}
}

// Crashed records a crash of the target's incarnation. Repeated reports of one crash
// count once. It returns true for the first report.
func (t *CrashTracker) Crashed(now time.Time, target, incarnation string) bool {
	defer t.sendReports()
	t.mu.Lock()
	defer t.mu.Unlock()
	id, window := target+"@"+incarnation, suspectTTL
	if incarnation == "" {
		window = crashDedupWindow
	}
	if at, counted := t.crashes[id]; counted && now.Sub(at) < window {
		return false
	}
	t.prune(now)
	t.crashes[id] = now
	if incarnation == "" {
		id += now.UTC().Format(time.RFC3339)
	}
	t.attribute(now, target, strconv.FormatUint(xxhash.Sum64String(id), 16))
	return true
}

// attribute determines which of the running requests may have crashed the target.
func (t *CrashTracker) attribute(now time.Time, target, crash string) {
	var suspects, repeated, fresh []Fingerprint
	for _, fp := range t.running[target] {
		switch r := t.records[fp]; {
		case t.activeRecord(now, fp) == nil && r != nil && !r.Completed && len(r.Crashes) >= 2:
			repeated = append(repeated, fp)
		case t.activeRecord(now, fp) == nil:
			fresh = append(fresh, fp)
		case !slices.Contains(suspects, fp):
			suspects = append(suspects, fp)
		}
	}
	if len(suspects) == 0 && len(repeated) == 1 {
		suspects = repeated
	}
	if len(suspects) == 1 && t.answered.has(suspects[0]) {
		fresh, suspects = append(fresh, suspects...), nil
	}
	if len(suspects) == 0 {
		t.markSuspects(now, append(fresh, repeated...), crash)
	} else if r := t.records[suspects[0]]; len(suspects) == 1 && !slices.Contains(r.Crashes, crash) {
		r.Crashes = append(r.Crashes, crash)
		r.Expires = now.Add(quarantineTTL)
		t.quarantine(r)
	}
}

// markSuspects makes the running requests suspects of the crash.
func (t *CrashTracker) markSuspects(now time.Time, running []Fingerprint, crash string) {
	for _, fp := range running {
		r := t.records[fp]
		if r == nil {
			if len(t.records) >= maxRecords {
				return
			}
			r = &CrashRecord{Fingerprint: fp}
			t.records[fp] = r
		}
		if r.Completed {
			r.Crashes = nil
		}
		r.Cleared, r.Completed = false, false
		if len(r.Crashes) < maxCrashIDs {
			r.Crashes = append(r.Crashes, crash)
		}
		r.Expires = now.Add(suspectTTL)
	}
}

// QuarantinedCount returns the number of quarantined requests.
func (t *CrashTracker) QuarantinedCount(now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for fp := range t.records {
		if r := t.activeRecord(now, fp); r != nil && r.Quarantined {
			n++
		}
	}
	return n
}

// maxCrashIDs limits the crashes stored for one fingerprint; two are enough for a
// quarantine.
const maxCrashIDs = 8

// activeRecord returns the record of a suspect or quarantined request, nil for others.
func (t *CrashTracker) activeRecord(now time.Time, fp Fingerprint) *CrashRecord {
	r := t.records[fp]
	if r == nil || !now.Before(r.Expires) || r.Cleared && !r.Quarantined {
		return nil
	}
	return r
}

func (t *CrashTracker) prune(now time.Time) {
	for fp, r := range t.records {
		if !now.Before(r.Expires) {
			delete(t.records, fp)
		}
	}
	for id, at := range t.crashes {
		if now.Sub(at) >= suspectTTL {
			delete(t.crashes, id)
		}
	}
}
