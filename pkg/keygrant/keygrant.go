// Package keygrant sends calls to targets that grant keys to them or release keys from them.
package keygrant

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

const (
	// grantTimeout bounds a grant call. A healthy target in another region responds within 30 ms. A grant may arrive until the
	// call times out, so the wait for the keys of a lost owner grows with this timeout.
	grantTimeout = 600 * time.Millisecond
	// dialTimeout bounds the connection setup within a call.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is the time after which unused connections are closed. Grants are renewed every second.
	idleTimeout = 5 * time.Second
	// maxResponseBodyBytes limits how much of a response body is read. Its content is ignored.
	maxResponseBodyBytes = 4 << 10
	// maxResponseHeaderBytes limits the size of a response header. A faulty target may send a header that does not end.
	maxResponseHeaderBytes = 16 << 10
)

var (
	// ErrFenced means that the target has already seen a higher fence for one of the keys.
	ErrFenced = errors.New("the target has seen a higher fence")
	// ErrWrongTarget means that the address belongs to another target. The call had no effect.
	ErrWrongTarget = errors.New("the address belongs to another target")
	// ErrUnsent means that the call was not sent, usually because no connection could be opened. The target never receives it.
	ErrUnsent = errors.New("the call was not sent to the target")
	// ErrDisconnected means that the call was not sent because the connection that it was bound to is closed.
	ErrDisconnected = errors.New("the connection that the grant is bound to is closed")
	// ErrOutcomeUnknown means that there was no valid response. The call may have taken effect, or may take effect later.
	ErrOutcomeUnknown = errors.New("the outcome of the call is unknown")
)

// Grant gives a range of keys to a target. A release takes the range back.
type Grant struct {
	// From and To are the first and the last key.
	From, To int
	// Fence is the fencing token. The target refuses a grant if it has seen a higher one.
	Fence int64
	// TTL is the lifetime of the grant, counted from its arrival.
	TTL time.Duration
	// Handover is the handover token of the previous owner. Without it, requests for the keys are slow for a while.
	Handover string
}

// Dialect encodes calls and decodes responses in the target's format.
type Dialect interface {
	// GrantRequest returns the path and the body of a grant.
	GrantRequest(g Grant) (path string, body []byte, err error)
	// ReleaseRequest returns the path and the body of a release.
	ReleaseRequest(g Grant) (path string, body []byte, err error)
	// SetTargetHeader sets the header that names the only target that may carry out the call.
	SetTargetHeader(h http.Header, target string)
	// HandoverToken returns the handover token from the header of a response to a release.
	HandoverToken(h http.Header) string
	// Leaving reports whether a response says that the target is leaving.
	Leaving(status int, h http.Header) bool
	// RateLimit returns what a response says about the rate limit of its target.
	RateLimit(status int, h http.Header) ratelimit.Notice
}

// Client sends grants and releases to targets.
type Client struct {
	// OnLeaving, if not nil, is called when a response says that its target is leaving. It must be set before the first call.
	OnLeaving func(Endpoint)
	// OnRateLimit, if not nil, is called when a response names a rate limit of its target, with the duration of the call. It must be set
	// before the first call.
	OnRateLimit func(Endpoint, ratelimit.Notice, time.Duration)

	// Flow, if not nil, returns where the bytes of calls to a target are counted. It must be set before the first call.
	Flow func(Endpoint) *interregion.Flow

	dialect  Dialect
	sessions sessions
	// releaseClient uses a connection of its own for each release, because a release waits for the requests that are running on the
	// keys, and because a second copy of an earlier answer would say that keys are free on which the target is still working.
	releaseClient *http.Client
}

// NewClient returns a client that uses the given dialect.
func NewClient(dialect Dialect) *Client {
	return &Client{dialect: dialect, releaseClient: &http.Client{Transport: targetconn.StrictTransport{Transport: &http.Transport{
		DialContext: dialCounted, DisableKeepAlives: true, DisableCompression: true,
		MaxResponseHeaderBytes: maxResponseHeaderBytes,
	}}}}
}

// dial opens a connection that is reset when it is closed. Otherwise the kernel would still deliver a call that was delayed by a
// network partition, and a grant counts from its arrival.
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

// flowKey is the context key of the *interregion.Flow of a release.
type flowKey struct{}

// dialCounted is like dial and counts the bytes of the connection.
func dialCounted(ctx context.Context, network, address string) (net.Conn, error) {
	flow, _ := ctx.Value(flowKey{}).(*interregion.Flow)
	return flow.Dialer(dial)(ctx, network, address)
}

// flow returns where the bytes of calls to a target are counted.
func (c *Client) flow(to Endpoint) *interregion.Flow {
	if c.Flow == nil {
		return nil
	}
	return c.Flow(to)
}

// Endpoint is a target and its last known address.
type Endpoint struct {
	ID      string
	Address string
}

// Grant grants keys to a target and returns the ID of the connection that it used. Later grants with the same fence must name this
// connection, because another one may lead to the next incarnation of the target. If connection is 0, a connection is opened
// unless there is one. The error is one of this package's errors, possibly wrapped.
func (c *Client) Grant(ctx context.Context, to Endpoint, g Grant, connection int64) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	path, body, err := c.dialect.GrantRequest(g)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	s := c.sessions.get(to)
	if !s.lock(ctx) {
		return 0, fmt.Errorf("%w: %w", ErrUnsent, ctx.Err())
	}
	defer s.unlock()
	if err := s.connect(ctx, to.Address, connection); err != nil {
		return 0, err
	}
	r, err := c.newRequest(ctx, to, path, body)
	if err != nil {
		return 0, err
	}
	s.conn.SetFlow(c.flow(to))
	started := time.Now()
	response, err := s.exchange(ctx, r)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	c.notify(to, response, started)
	return s.connID, responseError(response)
}

// Release takes keys back from a target and returns the target's handover token. The target responds once the requests that are
// running on the keys have ended.
func (c *Client) Release(ctx context.Context, from Endpoint, g Grant) (string, error) {
	path, body, err := c.dialect.ReleaseRequest(g)
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	r, err := c.newRequest(context.WithValue(ctx, flowKey{}, c.flow(from)), from, path, body)
	if err != nil {
		return "", err
	}
	started := time.Now()
	response, err := c.releaseClient.Do(r)
	if err != nil {
		var opErr *net.OpError
		if errors.As(err, &opErr) && opErr.Op == "dial" {
			return "", fmt.Errorf("%w: %w", ErrUnsent, err)
		}
		return "", fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	c.notify(from, response, started)
	return c.dialect.HandoverToken(response.Header), responseError(response)
}

// newRequest returns the HTTP request of a call to a target.
func (c *Client) newRequest(ctx context.Context, to Endpoint, path string, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.Address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrUnsent, err)
	}
	// Without GetBody, the HTTP client does not resend the body on its own: each call is timed separately.
	r.GetBody = nil
	r.Header.Set("Content-Type", "application/json")
	// An empty value omits the field. It would be a tenth of the bytes of a grant, which is sent for each slice and second.
	r.Header.Set("User-Agent", "")
	c.dialect.SetTargetHeader(r.Header, to.ID)
	return r, nil
}

// notify calls OnLeaving and OnRateLimit if a response says what they are for. A response without a rate limit doesn't withdraw one, as
// targets may name it in the responses to requests only.
func (c *Client) notify(from Endpoint, response *http.Response, started time.Time) {
	if c.OnLeaving != nil && c.dialect.Leaving(response.StatusCode, response.Header) {
		c.OnLeaving(from)
	}
	if n := c.dialect.RateLimit(response.StatusCode, response.Header); c.OnRateLimit != nil && n.Kind == ratelimit.Named {
		c.OnRateLimit(from, n, time.Since(started))
	}
}

// responseError returns the error for the status of a response, or nil if the call succeeded.
func responseError(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrFenced
	case http.StatusMisdirectedRequest:
		return ErrWrongTarget
	default:
		return fmt.Errorf("%w: status %d", ErrOutcomeUnknown, response.StatusCode)
	}
}
