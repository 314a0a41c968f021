package keygrant

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"sync"
	"time"

	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

var errAnswerTooLong = errors.New("the answer's body is too long")

// sessions holds the connection to each target for grants. There is one per target, since a new connection costs the target
// a slot for a moment.
type sessions struct {
	mu     sync.Mutex
	byPeer map[Peer]*session
	// numbers counts the connections that were opened.
	numbers int64
}

// of returns the session of a target at an address.
func (s *sessions) of(peer Peer) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byPeer == nil {
		s.byPeer = map[Peer]*session{}
	}
	found := s.byPeer[peer]
	if found == nil {
		found = &session{owner: s, peer: peer, slot: make(chan struct{}, 1)}
		s.byPeer[peer] = found
	}
	return found
}

func (s *sessions) nextNumber() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.numbers++
	return s.numbers
}

// session is one connection at a time to a target.
//
// Invariant: a connection leads to one life of the target, and its number isn't used again.
type session struct {
	owner *sessions
	peer  Peer
	// slot is taken by the call that uses the fields below.
	slot   chan struct{}
	conn   *targetconn.Conn
	number int64
	idle   *time.Timer
}

func (s *session) acquire(ctx context.Context) bool {
	select {
	case s.slot <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if s.idle != nil {
		s.idle.Stop()
	}
	return true
}

func (s *session) free() {
	s.idle = time.AfterFunc(idleTimeout, s.expire)
	<-s.slot
}

// expire closes a connection that is no longer used.
func (s *session) expire() {
	select {
	case s.slot <- struct{}{}:
	default:
		return
	}
	s.drop()
	<-s.slot
	s.owner.mu.Lock()
	defer s.owner.mu.Unlock()
	// A call that has found the session meanwhile opens a connection of its own number.
	if s.owner.byPeer[s.peer] == s {
		delete(s.owner.byPeer, s.peer)
	}
}

func (s *session) drop() {
	if s.conn != nil {
		s.conn.Discard()
		s.conn = nil
	}
}

// connect makes sure that there is a connection, the one with the given number unless that is 0.
func (s *session) connect(ctx context.Context, address string, number int64) error {
	if s.conn != nil && !s.conn.Fresh() {
		s.drop()
	}
	if number != 0 && (s.conn == nil || s.number != number) {
		return ErrDisconnected
	}
	if s.conn != nil {
		return nil
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Join(ErrUnsent, err)
	}
	s.conn, s.number = targetconn.New(c), s.owner.nextNumber()
	return nil
}

// exchange sends a call and reads its answer. The connection ends with an error, so that nothing is delivered later.
func (s *session) exchange(ctx context.Context, r *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, s.conn.Abort)
	response, err := s.roundTrip(r)
	if aborted := !stop(); aborted || err != nil || response.Close {
		s.drop()
	}
	return response, err
}

func (s *session) roundTrip(r *http.Request) (*http.Response, error) {
	if err := r.Write(s.conn.Writer); err != nil {
		return nil, err
	}
	if err := s.conn.Writer.Flush(); err != nil {
		return nil, err
	}
	s.conn.AllowReading(maxHeadBytes + maxAnswerBytes)
	defer s.conn.AllowReading(math.MaxInt64)
	response, err := http.ReadResponse(s.conn.Reader, r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	// Reading the rest keeps the connection usable; the answer has no content.
	_, err = io.CopyN(io.Discard, response.Body, maxAnswerBytes)
	switch {
	case errors.Is(err, io.EOF):
		return response, nil
	case err != nil:
		return nil, err
	default:
		return nil, errAnswerTooLong
	}
}
