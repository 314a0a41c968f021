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

var (
	errResponseBodyTooLong = errors.New("the response body is too long")
	errNoFinalResponse     = errors.New("the target switched protocols or sent too many informational responses")
)

// maxInformationalResponses bounds the informational responses that may precede the response to a grant.
const maxInformationalResponses = 8

// sessions holds one session per target for its grants. Connections are kept open because a new one takes up a slot of the target
// for a moment.
type sessions struct {
	mu       sync.Mutex
	byTarget map[Endpoint]*session
	// lastConnID is the ID of the connection that was opened last.
	lastConnID int64
}

// get returns the session of a target at an address.
func (s *sessions) get(target Endpoint) *session {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byTarget == nil {
		s.byTarget = map[Endpoint]*session{}
	}
	found := s.byTarget[target]
	if found == nil {
		found = &session{parent: s, target: target, sem: make(chan struct{}, 1)}
		s.byTarget[target] = found
	}
	return found
}

// nextConnID returns the ID for a new connection.
func (s *sessions) nextConnID() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastConnID++
	return s.lastConnID
}

// session holds at most one open connection to a target.
//
// Invariant: a connection leads to one incarnation of the target, and its ID is not used again.
type session struct {
	parent *sessions
	target Endpoint
	// sem is held by the call that uses the fields below.
	sem       chan struct{}
	conn      *targetconn.Conn
	connID    int64
	idleTimer *time.Timer
}

// lock reserves the session for a call. It returns false if the context ends first.
func (s *session) lock(ctx context.Context) bool {
	select {
	case s.sem <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	if s.idleTimer != nil {
		s.idleTimer.Stop()
	}
	return true
}

// unlock ends the use of the session by a call and starts the idle timer.
func (s *session) unlock() {
	s.idleTimer = time.AfterFunc(idleTimeout, s.closeIdle)
	<-s.sem
}

// closeIdle closes the connection after the idle timeout and removes the session.
func (s *session) closeIdle() {
	select {
	case s.sem <- struct{}{}:
	default:
		return
	}
	s.closeConn()
	<-s.sem
	s.parent.mu.Lock()
	defer s.parent.mu.Unlock()
	// A call that already has this session opens a new connection with a new ID.
	if s.parent.byTarget[s.target] == s {
		delete(s.parent.byTarget, s.target)
	}
}

func (s *session) closeConn() {
	if s.conn != nil {
		s.conn.Discard()
		s.conn = nil
	}
}

// connect ensures that a connection is open. Unless connID is 0, it must be the connection with that ID.
func (s *session) connect(ctx context.Context, address string, connID int64) error {
	if s.conn != nil && !s.conn.Reusable() {
		s.closeConn()
	}
	if connID != 0 && (s.conn == nil || s.connID != connID) {
		return ErrDisconnected
	}
	if s.conn != nil {
		return nil
	}
	c, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Join(ErrUnsent, err)
	}
	s.conn, s.connID = targetconn.New(c), s.parent.nextConnID()
	return nil
}

// exchange sends a call and reads the response. If the call fails or ctx ends, it closes the connection, so that
// nothing is delivered later.
func (s *session) exchange(ctx context.Context, r *http.Request) (*http.Response, error) {
	stop := context.AfterFunc(ctx, s.conn.Abort)
	response, err := s.roundTrip(r)
	if aborted := !stop(); aborted || err != nil || response.Close {
		s.closeConn()
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
	s.conn.LimitReads(maxResponseHeaderBytes + maxResponseBodyBytes)
	defer s.conn.LimitReads(math.MaxInt64)
	response, err := s.readFinalResponse(r)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	// The content is ignored, but the connection can be reused only after the body has been read.
	_, err = io.CopyN(io.Discard, response.Body, maxResponseBodyBytes)
	switch {
	case errors.Is(err, io.EOF):
		return response, nil
	case err != nil:
		return nil, err
	default:
		return nil, errResponseBodyTooLong
	}
}

// readFinalResponse reads the head of a response and skips informational ones. If one of those were taken for the response to a grant, the
// final one would be taken for that to the next grant.
func (s *session) readFinalResponse(r *http.Request) (*http.Response, error) {
	for range maxInformationalResponses + 1 {
		response, err := s.conn.ReadResponse(r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	return nil, errNoFinalResponse
}
