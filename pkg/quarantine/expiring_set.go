package quarantine

import "github.com/bronzelever/bronzelever/pkg/clock"

// expiringSet is a bounded set whose members expire, or are evicted by newer ones.
type expiringSet struct {
	expires map[uint64]clock.Instant
	// order holds the members in a ring buffer; once it is full, next is the oldest.
	order []uint64
	next  int
}

func newExpiringSet(limit int) *expiringSet {
	return &expiringSet{expires: make(map[uint64]clock.Instant, limit), order: make([]uint64, 0, limit)}
}

func (s *expiringSet) add(id uint64, until clock.Instant) {
	_, known := s.expires[id]
	s.expires[id] = until
	if known {
		return
	}
	if len(s.order) < cap(s.order) {
		s.order = append(s.order, id)
		return
	}
	delete(s.expires, s.order[s.next])
	s.order[s.next] = id
	s.next = (s.next + 1) % len(s.order)
}

func (s *expiringSet) has(id uint64, now clock.Instant) bool {
	until, ok := s.expires[id]
	return ok && now < until
}
