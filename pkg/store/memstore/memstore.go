// Package memstore is an in-memory store with injectable faults, for tests.
package memstore

import (
	"context"
	"sync"

	"github.com/bronzelever/bronzelever/pkg/store"
)

// Store implements store.Store in memory.
type Store struct {
	mu      sync.Mutex
	rows    map[string]store.Row
	objects map[string][]byte
	down    bool
	// loseReplies is the number of coming writes whose replies are lost after the effect.
	loseReplies int
	// delayed are writes that have timed out and take effect when ReleaseDelayed is called.
	delayed    []delayedPut
	delayCount int
	writes     int
	reads      int
	// history holds every row that took effect, by key in the order of revisions.
	history map[string][]store.Row
}

type delayedPut struct {
	key      string
	value    []byte
	expected store.Revision
	token    string
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]store.Row{}, objects: map[string][]byte{}, history: map[string][]store.Row{}}
}

// SetDown makes every operation fail without effect.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// LoseReplies makes the next n writes take effect and report store.ErrAmbiguous.
func (s *Store) LoseReplies(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loseReplies = n
}

// DelayWrites makes the next n writes report store.ErrAmbiguous and take effect only at ReleaseDelayed.
func (s *Store) DelayWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayCount = n
}

// ReleaseDelayed applies the delayed writes under their original conditions.
func (s *Store) ReleaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.delayed {
		_, _ = s.put(p)
	}
	s.delayed = nil
}

// Counts returns the numbers of reads and writes so far.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// History returns every row that a key has had, in the order of revisions.
func (s *Store) History(key string) []store.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]store.Row(nil), s.history[key]...)
}

// Get implements store.Table.
func (s *Store) Get(_ context.Context, key string) (store.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.Row{}, store.ErrUnavailable
	}
	s.reads++
	row, ok := s.rows[key]
	if !ok {
		return store.Row{}, store.ErrNotFound
	}
	return row, nil
}

// Put implements store.Table.
func (s *Store) Put(_ context.Context, key string, value []byte, expected store.Revision, token string) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, store.ErrUnavailable
	}
	s.writes++
	p := delayedPut{key: key, value: append([]byte(nil), value...), expected: expected, token: token}
	if s.delayCount > 0 {
		s.delayCount--
		s.delayed = append(s.delayed, p)
		return 0, store.ErrAmbiguous
	}
	rev, err := s.put(p)
	if s.loseReplies > 0 {
		s.loseReplies--
		return 0, store.ErrAmbiguous
	}
	return rev, err
}

func (s *Store) put(p delayedPut) (store.Revision, error) {
	if s.rows[p.key].Revision != p.expected {
		return 0, store.ErrConflict
	}
	rev := p.expected + 1
	s.rows[p.key] = store.Row{Key: p.key, Value: p.value, Revision: rev, Token: p.token}
	s.history[p.key] = append(s.history[p.key], s.rows[p.key])
	return rev, nil
}

// GetObject implements store.Objects.
func (s *Store) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, store.ErrUnavailable
	}
	body, ok := s.objects[key]
	if !ok {
		return nil, store.ErrNotFound
	}
	return body, nil
}

// CreateObject implements store.Objects.
func (s *Store) CreateObject(_ context.Context, key string, body []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return store.ErrUnavailable
	}
	if _, ok := s.objects[key]; ok {
		return store.ErrConflict
	}
	s.objects[key] = append([]byte(nil), body...)
	return nil
}
