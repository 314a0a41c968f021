// Package keygrant sends grants and releases of keys to targets.
package keygrant

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// callTimeout bounds a grant; a healthy target in another region answers within 30 ms. A grant may arrive until it is given
	// up, so that the wait for the keys of a lost owner grows with it.
	callTimeout = 600 * time.Millisecond
	// dialTimeout bounds the connection setup within a call.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout closes connections that are no longer used; grants are renewed every second.
	idleTimeout = 5 * time.Second
	// maxAnswerBytes bounds what is read of an answer's body, which carries nothing.
	maxAnswerBytes = 4 << 10
	// maxHeadBytes bounds the head of an answer. A target in trouble may send one that doesn't end.
	maxHeadBytes = 16 << 10
)

var (
	// ErrFenced means that the target has seen a higher fence on one of the keys.
	ErrFenced = errors.New("the target has seen a higher fence")
	// ErrElsewhere means that another target has the address; the call had no effect.
	ErrElsewhere = errors.New("another target has the address")
	// ErrUnsent means that no connection could be opened, so that the target never sees the call.
	ErrUnsent = errors.New("the target accepts no connection")
	// ErrDisconnected means that the call was not sent, since the connection that it was meant for has ended.
	ErrDisconnected = errors.New("the connection that the grant belongs to has ended")
	// ErrUnknown means that no answer arrived: the call may have taken effect or may take effect later.
	ErrUnknown = errors.New("the outcome of the call is unknown")
)

// Grant gives a range of keys to a target. A release takes it back.
type Grant struct {
	From, To int
	Fence    int64
	Hold     time.Duration
	// Handover is the token of the last holder; the keys are slow for a while without it.
	Handover string
}

// Dialect encodes the calls in the target's format.
type Dialect interface {
	GrantRequest(g Grant) (path string, body []byte, err error)
	ReleaseRequest(g Grant) (path string, body []byte, err error)
	// StampTarget names the only target that may obey a call.
	StampTarget(h http.Header, target string)
	HandoverOf(h http.Header) string
	// Leaving tells whether the answer to a call says that the target leaves.
	Leaving(status int, h http.Header) bool
}

// Client sends calls to targets.
type Client struct {
	// OnLeaving is called when an answer says that its target leaves; nil ignores that. It is set before the first call.
	OnLeaving func(Peer)

	dialect  Dialect
	sessions sessions
	// releases have connections of their own, since they wait for the work that runs on the keys.
	releases *http.Client
}

// NewClient returns a client that speaks the given dialect.
func NewClient(dialect Dialect) *Client {
	return &Client{dialect: dialect, releases: &http.Client{Transport: &http.Transport{
		DialContext: dial, MaxIdleConnsPerHost: 2, IdleConnTimeout: idleTimeout, DisableCompression: true,
		MaxResponseHeaderBytes: maxHeadBytes,
	}}}
}

// dial opens a connection that is reset when it is closed. The kernel would go on to deliver a call that was held up by a
// partition, and a grant counts from its arrival.
func dial(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	c, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = c.Close()
			return nil, err
		}
	}
	return c, nil
}

// Peer is a target and where it was last known to be.
type Peer struct {
	ID      string
	Address string
}

// Grant gives keys to a target. It returns the number of the connection, which a later grant with the same fence must name:
// another connection may lead to the target's next life. With 0 a connection is opened if there is none. The error is one
// of this package's, possibly wrapped.
func (c *Client) Grant(ctx context.Context, to Peer, g Grant, connection int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	path, body, err := c.dialect.GrantRequest(g)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	s := c.sessions.of(to)
	if !s.acquire(ctx) {
		return 0, fmt.Errorf("%w: %w", ErrUnsent, ctx.Err())
	}
	defer s.free()
	if err := s.connect(ctx, to.Address, connection); err != nil {
		return 0, err
	}
	r, err := c.request(ctx, to, path, body)
	if err != nil {
		return 0, err
	}
	response, err := s.exchange(ctx, r)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	c.noteLeaving(to, response)
	return s.number, outcome(response)
}

// Release takes keys back from a target and returns its handover token. The target answers once the work
// that runs on the keys has ended.
func (c *Client) Release(ctx context.Context, from Peer, g Grant) (string, error) {
	path, body, err := c.dialect.ReleaseRequest(g)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	r, err := c.request(ctx, from, path, body)
	if err != nil {
		return "", err
	}
	response, err := c.releases.Do(r)
	if err != nil {
		var network *net.OpError
		if errors.As(err, &network) && network.Op == "dial" {
			return "", fmt.Errorf("%w: %w", ErrUnsent, err)
		}
		return "", fmt.Errorf("%w: %w", ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	// Reading the rest keeps the connection usable; the answer has no content.
	_, _ = io.CopyN(io.Discard, response.Body, maxAnswerBytes)
	c.noteLeaving(from, response)
	return c.dialect.HandoverOf(response.Header), outcome(response)
}

func (c *Client) request(ctx context.Context, to Peer, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	// The HTTP client must not repeat a call by itself: each one has its own time.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	c.dialect.StampTarget(r.Header, to.ID)
	return r, nil
}

func (c *Client) noteLeaving(from Peer, response *http.Response) {
	if c.OnLeaving != nil && c.dialect.Leaving(response.StatusCode, response.Header) {
		c.OnLeaving(from)
	}
}

func outcome(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	case http.StatusMisdirectedRequest:
		return ErrElsewhere
	default:
		return fmt.Errorf("%w: status %d", ErrUnknown, response.StatusCode)
	}
}
