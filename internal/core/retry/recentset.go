package retry

// recentSet remembers keys that were added lately: maxAnswered at least. The zero value is empty.
type recentSet[K comparable] struct {
	recent, older map[K]struct{}
}

func (r *recentSet[K]) add(key K) {
	if _, known := r.recent[key]; known {
		return
	}
	if r.recent == nil || len(r.recent) == maxAnswered {
		r.recent, r.older = make(map[K]struct{}), r.recent
	}
	r.recent[key] = struct{}{}
}

func (r *recentSet[K]) has(key K) bool {
	_, recent := r.recent[key]
	_, older := r.older[key]
	return recent || older
}
