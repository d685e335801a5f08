package screener

import "time"

// recent is a set of the last keys that were added, each for some time.
type recent[K comparable] struct {
	limit    int
	duration time.Duration
	order    []K // ring
	next     int
	at       map[K]time.Time
}

func newRecent[K comparable](limit int, duration time.Duration) *recent[K] {
	return &recent[K]{limit: limit, duration: duration, at: make(map[K]time.Time)}
}

func (r *recent[K]) add(key K, now time.Time) {
	if _, known := r.at[key]; known {
		r.at[key] = now
		return
	}
	r.at[key] = now
	if len(r.order) < r.limit {
		r.order = append(r.order, key)
		return
	}
	delete(r.at, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % r.limit
}

func (r *recent[K]) has(key K, now time.Time) bool {
	at, known := r.at[key]
	return known && now.Sub(at) < r.duration
}
