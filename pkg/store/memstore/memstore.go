// Package memstore provides an in-memory store with fault injection, for tests.
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
	// loseReplies is the number of following writes that take effect but whose replies are lost.
	loseReplies int
	// delayed holds the writes that were reported as ambiguous and are applied by ReleaseDelayed.
	delayed     []putRequest
	delayWrites int
	writes      int
	reads       int
	// history holds all versions of each row by key, in the order of revisions.
	history map[string][]store.Row
}

type putRequest struct {
	key      string
	value    []byte
	expected store.Revision
	token    string
}

// New returns an empty store.
func New() *Store {
	return &Store{rows: map[string]store.Row{}, objects: map[string][]byte{}, history: map[string][]store.Row{}}
}

// SetDown sets whether all operations fail with store.ErrUnavailable and without effect.
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

// DelayWrites makes the next n writes report store.ErrAmbiguous and take effect only when ReleaseDelayed is called.
func (s *Store) DelayWrites(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayWrites = n
}

// ReleaseDelayed applies the delayed writes if their original conditions still hold, and discards the others.
func (s *Store) ReleaseDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.delayed {
		_, _ = s.put(p)
	}
	s.delayed = nil
}

// Counts returns the number of row reads and row writes so far, without those that failed because the store was down.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// History returns all versions of a row, in the order of revisions.
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
	p := putRequest{key: key, value: append([]byte(nil), value...), expected: expected, token: token}
	if s.delayWrites > 0 {
		s.delayWrites--
		s.delayed = append(s.delayed, p)
		return 0, store.ErrAmbiguous
	}
	revision, err := s.put(p)
	if s.loseReplies > 0 {
		s.loseReplies--
		return 0, store.ErrAmbiguous
	}
	return revision, err
}

func (s *Store) put(p putRequest) (store.Revision, error) {
	if s.rows[p.key].Revision != p.expected {
		return 0, store.ErrConflict
	}
	revision := p.expected + 1
	s.rows[p.key] = store.Row{Key: p.key, Value: p.value, Revision: revision, Token: p.token}
	s.history[p.key] = append(s.history[p.key], s.rows[p.key])
	return revision, nil
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
