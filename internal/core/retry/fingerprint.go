package retry

import (
	"encoding/binary"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint identifies a request across its attempts, its caller's repeats
// and other routers.
type Fingerprint uint64

// FingerprintOf hashes the client account and the parts of the request that
// the target runs.
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

// Times for which crash evidence is kept, and the size of the set.
const (
	suspectFor    = 10 * time.Minute
	quarantineFor = time.Hour
	maxRecords    = 4096
	// sameCrash is the time within which reports of a crash of an unknown
	// incarnation are one crash; broken streams of a crash end within it.
	sameCrash = 5 * time.Second
)

// CrashRecord is what routers tell each other of one fingerprint.
type CrashRecord struct {
	Fingerprint Fingerprint `json:"fingerprint"`
	// Crashes lists the crashes that the request was running in, as hashes of
	// target and incarnation.
	Crashes []string `json:"crashes"`
	// Cleared says that the request ran past these crashes.
	Cleared bool `json:"cleared,omitempty"`
	// Completed says that it even ran to its end after these crashes.
	Completed bool `json:"whole,omitempty"`
	// Quarantined requests are refused.
	Quarantined bool      `json:"quarantined,omitempty"`
	Expires     time.Time `json:"expires"`
}

// CrashTracker follows which requests run on which target and which of them
// crash targets. Every request that runs on a target when it crashes becomes a
// suspect, unless a single earlier suspect was among them: then that one is
// quarantined and the others are not suspected. A suspect runs once at a time, on a
// target without other suspects, so the second crash quarantines it. A suspect that
// gets past the place of the crash is cleared, so that harmless requests are not
// kept apart for long; if it is the only one to crash a third target, it is
// quarantined after all. It is safe for concurrent use.
type CrashTracker struct {
	mu      sync.Mutex
	records map[Fingerprint]*CrashRecord
	running map[string]map[string]Fingerprint // target -> attempt -> request
	crashes map[string]time.Time              // crashes already counted
	// arbiter keeps suspects of other routers away; nil: none is asked. reserved holds
	// the attempts that it has to be told the end of.
	arbiter  Arbiter
	reserved map[string]bool
	// quarantines is closed and replaced when a request is quarantined.
	quarantines chan struct{}
	// report tells peers; news waits to be told without the lock held.
	report func(value string)
	news   []string
}

// NewCrashTracker returns an empty set.
func NewCrashTracker() *CrashTracker {
	return &CrashTracker{
		records: map[Fingerprint]*CrashRecord{},
		running: map[string]map[string]Fingerprint{},
		crashes: map[string]time.Time{},

		reserved:    map[string]bool{},
		quarantines: make(chan struct{}),
	}
}

// SetArbiter sets who keeps suspects of different routers apart. It must be called
// before the first request.
func (f *CrashTracker) SetArbiter(a Arbiter) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.arbiter = a
}

// Quarantines returns a channel that is closed at the next quarantine, for
// requests that run on several targets at once.
func (f *CrashTracker) Quarantines() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.quarantines
}

func (f *CrashTracker) quarantine(r *CrashRecord) {
	if r.Quarantined {
		return
	}
	r.Quarantined = true
	f.news = append(f.news, r.encode())
	close(f.quarantines)
	f.quarantines = make(chan struct{})
}

// Quarantined reports whether the request must be refused.
func (f *CrashTracker) Quarantined(now time.Time, fp Fingerprint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.live(now, fp)
	return r != nil && r.Quarantined
}

// Suspect reports whether the request was running in a crash.
func (f *CrashTracker) Suspect(now time.Time, fp Fingerprint) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.live(now, fp) != nil
}

// MayRun reports whether the request may run on the target now: a suspect may
// not join another suspect, nor run twice at a time.
func (f *CrashTracker) MayRun(now time.Time, fp Fingerprint, target string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mayRun(now, fp, target)
}

func (f *CrashTracker) mayRun(now time.Time, fp Fingerprint, target string) bool {
	if f.live(now, fp) == nil {
		return true
	}
	for on, set := range f.running {
		for _, other := range set {
			if other == fp || on == target && f.live(now, other) != nil {
				return false
			}
		}
	}
	return true
}

// Start records that an attempt of the request is about to run on the target,
// unless it may not run there. For a suspect it asks the arbiter, which may take the
// time of one message.
func (f *CrashTracker) Start(now time.Time, fp Fingerprint, target, attempt string) bool {
	arbiter, ok := f.register(now, fp, target, attempt)
	if !ok || arbiter == nil {
		return ok
	}
	if !arbiter.Reserve(target, fp) {
		f.unregister(target, attempt)
		return false
	}
	f.mu.Lock()
	f.reserved[attempt] = true
	f.mu.Unlock()
	return true
}

// register records the attempt and returns who has to be asked for a suspect.
func (f *CrashTracker) register(now time.Time, fp Fingerprint, target, attempt string) (Arbiter, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.mayRun(now, fp, target) {
		return nil, false
	}
	set := f.running[target]
	if set == nil {
		set = map[string]Fingerprint{}
		f.running[target] = set
	}
	set[attempt] = fp
	if f.live(now, fp) == nil {
		return nil, true
	}
	return f.arbiter, true
}

// Ended records that the attempt no longer runs.
func (f *CrashTracker) Ended(target, attempt string) {
	if fp, reserved := f.unregister(target, attempt); reserved {
		f.arbiter.Release(target, fp)
	}
}

func (f *CrashTracker) unregister(target, attempt string) (fp Fingerprint, reserved bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fp, reserved = f.running[target][attempt], f.reserved[attempt]
	delete(f.reserved, attempt)
	delete(f.running[target], attempt)
	if len(f.running[target]) == 0 {
		delete(f.running, target)
	}
	return fp, reserved
}

// Clear ends the suspicion of a request that ran past the place of the crash.
// whole says that it ran to its end, which acquits it of all earlier crashes.
func (f *CrashTracker) Clear(fp Fingerprint, whole bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.records[fp]; r != nil && !r.Quarantined {
		r.Cleared = true
		r.Completed = r.Completed || whole
	}
}

// Crashed records that the target crashed in the given incarnation. Repeated
// reports of one crash count once; it reports whether this was the first.
func (f *CrashTracker) Crashed(now time.Time, target, incarnation string) bool {
	defer f.tell()
	f.mu.Lock()
	defer f.mu.Unlock()
	id, same := target+"@"+incarnation, suspectFor
	if incarnation == "" {
		same = sameCrash
	}
	if at, counted := f.crashes[id]; counted && now.Sub(at) < same {
		return false
	}
	f.prune(now)
	f.crashes[id] = now
	if incarnation == "" {
		id += now.UTC().Format(time.RFC3339)
	}
	f.attribute(now, target, strconv.FormatUint(xxhash.Sum64String(id), 16))
	return true
}

// attribute decides which of the running requests crashed the target.
func (f *CrashTracker) attribute(now time.Time, target, crash string) {
	var suspects, repeated, fresh []Fingerprint
	for _, fp := range f.running[target] {
		switch r := f.records[fp]; {
		case f.live(now, fp) == nil && r != nil && !r.Completed && len(r.Crashes) >= 2:
			repeated = append(repeated, fp)
		case f.live(now, fp) == nil:
			fresh = append(fresh, fp)
		case !slices.Contains(suspects, fp):
			suspects = append(suspects, fp)
		}
	}
	if len(suspects) == 0 && len(repeated) == 1 {
		suspects = repeated
	}
	if len(suspects) == 0 {
		f.suspect(now, append(fresh, repeated...), crash)
	} else if r := f.records[suspects[0]]; len(suspects) == 1 && !slices.Contains(r.Crashes, crash) {
		r.Crashes = append(r.Crashes, crash)
		r.Expires = now.Add(quarantineFor)
		f.quarantine(r)
	}
}

func (f *CrashTracker) suspect(now time.Time, running []Fingerprint, crash string) {
	for _, fp := range running {
		r := f.records[fp]
		if r == nil {
			if len(f.records) >= maxRecords {
				return
			}
			r = &CrashRecord{Fingerprint: fp}
			f.records[fp] = r
		}
		if r.Completed {
			r.Crashes = nil
		}
		r.Cleared, r.Completed = false, false
		if len(r.Crashes) < maxCrashIDs {
			r.Crashes = append(r.Crashes, crash)
		}
		r.Expires = now.Add(suspectFor)
	}
}

// QuarantinedCount returns the number of requests that are refused.
func (f *CrashTracker) QuarantinedCount(now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for fp := range f.records {
		if r := f.live(now, fp); r != nil && r.Quarantined {
			n++
		}
	}
	return n
}

// maxCrashIDs bounds the crashes kept for one fingerprint; two are enough
// for a quarantine.
const maxCrashIDs = 8

// live returns the record of a suspect or quarantined request.
func (f *CrashTracker) live(now time.Time, fp Fingerprint) *CrashRecord {
	r := f.records[fp]
	if r == nil || !now.Before(r.Expires) || r.Cleared && !r.Quarantined {
		return nil
	}
	return r
}

func (f *CrashTracker) prune(now time.Time) {
	for fp, r := range f.records {
		if !now.Before(r.Expires) {
			delete(f.records, fp)
		}
	}
	for id, at := range f.crashes {
		if now.Sub(at) >= suspectFor {
			delete(f.crashes, id)
		}
	}
}
