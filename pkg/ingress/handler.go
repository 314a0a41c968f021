package ingress

import (
	"cmp"
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
)

const (
	// defaultTimeout applies to requests that carry no timeout. A shorter timeout of the route takes precedence.
	defaultTimeout = 10 * time.Second
	// responseMargin is subtracted from the caller's timeout, to allow for the transmission of the last response.
	responseMargin = 15 * time.Millisecond
	// writeGrace is how long after the deadline a response may still be written.
	writeGrace = time.Second
	// unconfiguredRetryAfter is the Retry-After of error responses if the VM has no configuration yet, doesn't know the route's
	// pool or has no memory left for the request body.
	unconfiguredRetryAfter = 500 * time.Millisecond
	// stoppingRetryAfter is the Retry-After of requests that are refused because the process stops. Other VMs can serve them at once.
	stoppingRetryAfter = 10 * time.Millisecond
)

// Options configure a Handler.
type Options struct {
	Dialect  Dialect
	State    State
	Placer   Placer
	Balancer *placing.Balancer
	Budget   *placing.RetryBudget
	// Suspects tracks the requests that may crash targets. If nil, an empty tracker is used.
	Suspects *quarantine.Tracker
	// Limits holds the rate limits of the targets. If nil, an empty tracker is used.
	Limits *ratelimit.Tracker
	// Hedger decides which requests are sent to a second target while the first one is slow. If nil, none are.
	Hedger *placing.Hedger
	// Quota is this VM's share of the organisations' quotas, for requests that are placed without the broker.
	Quota   *sharedrate.Holder
	Clock   clock.Clock
	Log     *event.Logger
	Metrics *Metrics
	// ConfigurationAge returns the time since the newest information about the configuration. Above MaxConfigurationAge, requests
	// that need a credential are refused; zero sets no limit.
	ConfigurationAge    func() time.Duration
	MaxConfigurationAge time.Duration
	// RegionOf maps failure domains to regions.
	RegionOf map[string]string
	// Region is this VM's region. InterRegion counts the bytes of requests that are sent to others; it may be nil.
	Region      string
	InterRegion *interregion.Counter
	// MaxBufferedBodyBytes bounds the total size of the request bodies that are buffered at the same time.
	MaxBufferedBodyBytes int64
	// MaxBufferedResponseBytes bounds the total size of the targets' responses that are buffered at the same time. Zero means
	// MaxBufferedBodyBytes.
	MaxBufferedResponseBytes int64
	// MaxResponseBytes bounds the body of a response. Zero means 1 GiB.
	MaxResponseBytes int64
}

// Handler is the http.Handler for callers' requests.
type Handler struct {
	Options
	sender        sender
	poolSelector  poolSelector
	ages          ageEstimator
	heldBodyBytes atomic.Int64
	// aheadCalls counts the requests that are being handled ahead, and lingering the connections that are closed but still read from.
	aheadCalls, lingering atomic.Int64
	// localRuns numbers the attempts that were placed by this VM without the broker.
	localRuns atomic.Uint64
	stopping  atomic.Bool
	// refusing is set once no more requests are accepted.
	refusing atomic.Bool
	// stopDeadline is when the process must have responded to all requests. It is nil until shutdown begins.
	stopDeadline atomic.Pointer[time.Time]
	// stopCtx is cancelled at stopDeadline.
	stopCtx       context.Context
	cancelStopCtx context.CancelFunc
}

// NewHandler returns a handler with the given options.
func NewHandler(o Options) *Handler {
	if o.Suspects == nil {
		o.Suspects = quarantine.NewTracker()
	}
	if o.Limits == nil {
		o.Limits = ratelimit.NewTracker()
	}
	h := &Handler{
		Options: o, sender: sender{dialect: o.Dialect, pools: newConnPools(), recoverPanic: o.Log.RecoverPanic},
		poolSelector: poolSelector{routes: map[string]*weightedRoundRobin{}}, ages: ageEstimator{maxTimeout: map[string]time.Duration{}},
	}
	h.sender.memory.limit = cmp.Or(o.MaxBufferedResponseBytes, o.MaxBufferedBodyBytes)
	h.sender.maxResponseBytes = cmp.Or(o.MaxResponseBytes, defaultMaxResponseBytes)
	h.stopCtx, h.cancelStopCtx = context.WithCancel(context.Background())
	return h
}

// PruneConnections closes the connections to targets that are no longer in the snapshot.
func (h *Handler) PruneConnections(snapshot *inventory.Snapshot) {
	h.sender.pools.prune(snapshot)
}

// BeginShutdown makes each response close its connection and ends requests that are still in progress at the deadline with an
// error. A response with little information is better for the caller than a connection that is cut when the process exits.
func (h *Handler) BeginShutdown(deadline time.Time) {
	h.stopDeadline.Store(&deadline)
	h.stopping.Store(true)
	time.AfterFunc(time.Until(deadline), h.cancelStopCtx)
}

// StopAccepting makes the handler refuse the requests that it gets from now on. The time until the end of the process may not suffice for
// them, and another VM can serve them.
func (h *Handler) StopAccepting() {
	h.refusing.Store(true)
}

// call is the handling of one request of a caller.
type call struct {
	*Handler
	w     http.ResponseWriter
	r     *http.Request
	meta  RequestMeta
	route *inventory.Route
	// organisation is the one that sent the request. It is nil on public routes and if none are configured.
	organisation *inventory.Organisation
	// identified is set if organisations are configured.
	identified bool
	// allowedRegions are the only regions that may serve the request; empty permits all.
	allowedRegions []string
	pool           *inventory.Pool
	body           *requestBody
	// fingerprint identifies the request regardless of its ID.
	fingerprint quarantine.Fingerprint
	start       time.Time
	// sinceFirstTry is the estimated time since the caller's first try.
	sinceFirstTry time.Duration
	// deadline is when the last response must be sent to the caller.
	deadline time.Time
	// attempts counts the targets that the request was sent to.
	attempts int
	// mayHaveRun is set once a target may have executed the request.
	mayHaveRun bool
	avoid      map[string]bool
	lastTarget string
	// placement is the place reserved for the next attempt. It is nil if the request was placed locally; run then identifies the
	// attempt.
	placement Placement
	run       quarantine.RunID
	// unfinished are the attempts that have begun and whose end isn't recorded, asyncAttempts those with a goroutine of their own.
	unfinished    []*targetAttempt
	asyncAttempts []*asyncAttempt
	// hedgeDecided is set once it is decided whether and when the request may be hedged.
	hedgeDecided bool
	// sendBy is until when the current attempt must be sent, 0 if the organisation has no quota.
	sendBy clock.Instant
	// usedConns are the connections on which the request was sent.
	usedConns []*targetconn.Conn
	// headerWritten is set once a response header may have reached the caller.
	headerWritten bool
	// conn is the caller's connection, or nil if it isn't wrapped.
	conn *callerConn
	// ahead is not nil if the request is handled before its turn on the connection.
	ahead *aheadCall
	// disconnectLogged is set once the caller's disconnect has been logged.
	disconnectLogged bool
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := &call{Handler: h, w: w, r: r, start: time.Now()}
	if c.conn, _ = r.Context().Value(connKey{}).(*callerConn); c.conn != nil {
		if c.conn.isClosed() {
			// The connection was closed as idle while the request was being read. Nobody would get its response.
			panic(http.ErrAbortHandler)
		}
		defer c.conn.finish()
		if ahead := c.conn.take(r); ahead != nil {
			if ahead.call != nil {
				ahead.call.deliver(w, r)
				return
			}
			c.start = ahead.arrived
		}
	}
	h.handle(c)
}

// handle responds to a request.
func (h *Handler) handle(c *call) {
	// A nil value keeps net/http from guessing the content type of a target's response.
	c.w.Header()["Content-Type"] = nil
	defer func() {
		if c.body != nil {
			c.body.release()
		}
	}()
	defer c.recover()
	if err := c.serve(); err != nil {
		c.respondError(err)
	}
}

// recover responds to a request whose handling has panicked. If a response has already begun, the connection is aborted, so
// that the response doesn't look complete.
func (c *call) recover() {
	v := recover()
	if v == nil {
		return
	}
	c.releasePlacement(0, placing.Abandoned, nil)
	c.Suspects.Drop(c.run)
	c.releaseUnfinished()
	if v == http.ErrAbortHandler {
		panic(v)
	}
	c.Log.LogPanic("request "+c.meta.ID, v)
	if c.headerWritten {
		panic(http.ErrAbortHandler)
	}
	c.respondError(&statusError{status: c.errorStatus(), reason: "internal", retryAfter: 0})
}

// errorStatus returns 503 if no target can have executed the request, and 502 otherwise.
func (c *call) errorStatus() int {
	if c.mayHaveRun {
		return http.StatusBadGateway
	}
	return http.StatusServiceUnavailable
}

// statusError is an error that determines the status of a response that the handler generates itself instead of forwarding one
// from a target.
type statusError struct {
	status     int
	reason     string
	retryAfter time.Duration
}

// Error implements error.
func (e *statusError) Error() string {
	return e.reason
}

func (c *call) serve() error {
	view := c.State.Current()
	meta, err := c.Dialect.ReadRequest(c.r.Header)
	c.meta = meta
	if c.refusing.Load() && c.ahead == nil {
		return &statusError{http.StatusServiceUnavailable, "stopping", stoppingRetryAfter}
	}
	if view.Snapshot == nil || view.Snapshot.Configuration == nil {
		return &statusError{http.StatusServiceUnavailable, "unconfigured", unconfiguredRetryAfter}
	}
	if err != nil {
		return &statusError{http.StatusBadRequest, err.Error(), 0}
	}
	if err := c.resolveRoute(view.Snapshot.Configuration); err != nil {
		return err
	}
	if c.conn != nil && c.ahead == nil && c.route.Idempotent && c.r.ContentLength == 0 && isSafe(c.r.Method) {
		c.conn.permitAhead()
	}
	if err := c.readBody(view.Snapshot.Configuration.Limits); err != nil {
		return err
	}
	c.fingerprint = c.quarantineRequest().Fingerprint()
	ctx, cancel := context.WithDeadline(c.r.Context(), c.deadline)
	defer cancel()
	defer context.AfterFunc(c.stopCtx, cancel)()
	if verdict, remaining := c.Suspects.Verdict(c.fingerprint, c.Clock.Now()); verdict == quarantine.Quarantined {
		return c.placementError(placing.Choice{Reason: placing.ReasonQuarantined, Expected: remaining})
	}
	return c.attempt(ctx)
}

// resolveRoute determines the route and the pool and sets the deadline.
func (c *call) resolveRoute(cfg *inventory.Configuration) error {
	path, _, _ := strings.Cut(c.uri(), "?")
	c.route = cfg.Match(c.r.Host, path)
	if c.route == nil {
		return &statusError{http.StatusNotFound, "no-route", 0}
	}
	if err := c.authenticate(cfg); err != nil {
		return err
	}
	timeout := c.meta.RemainingTimeout
	c.sinceFirstTry = c.ages.age(c.route.Name, timeout)
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.start.Add(timeout - responseMargin)
	if stopAt := c.stopDeadline.Load(); stopAt != nil && stopAt.Before(c.deadline) {
		c.deadline = *stopAt
	}
	c.pool = cfg.Pools[c.poolSelector.choose(c.route)]
	if c.pool == nil {
		return &statusError{http.StatusServiceUnavailable, "unknown-pool", unconfiguredRetryAfter}
	}
	if c.pool.Keyed && c.meta.Key == NoKey {
		return &statusError{http.StatusBadRequest, "key-missing", 0}
	}
	return c.resolveRegions()
}

// quarantineRequest returns the properties from which the request's fingerprint is computed.
func (c *call) quarantineRequest() quarantine.Request {
	caller := c.caller()
	if caller == "" {
		if host, _, err := net.SplitHostPort(c.r.RemoteAddr); err == nil {
			caller = host
		}
	}
	return quarantine.Request{
		Method: c.r.Method, Host: c.r.Host, URI: c.uri(), Key: c.meta.Key, Body: c.body.buffered, BodyBytes: c.body.size(), Caller: caller,
	}
}

// uri returns the target of the request line as it was received.
func (c *call) uri() string {
	if strings.HasPrefix(c.r.RequestURI, "/") {
		return c.r.RequestURI
	}
	return c.r.URL.RequestURI()
}

func (c *call) readBody(limits inventory.Limits) error {
	if c.r.ContentLength == 0 {
		c.body = &requestBody{}
		return nil
	}
	control := http.NewResponseController(c.w)
	// A caller that stalls in the middle of its body must not hold the request beyond the deadline. The response writers of
	// tests don't support deadlines.
	_ = control.SetReadDeadline(c.deadline)
	defer func() { _ = control.SetReadDeadline(time.Time{}) }()
	body, err := readBody(c.r, limits.BodyBytes, &c.heldBodyBytes, c.MaxBufferedBodyBytes)
	if time.Now().After(c.deadline) {
		// The read deadline may have ended net/http's own read of the connection, which cancels the context of later requests
		// on it.
		c.w.Header().Set("Connection", "close")
	}
	switch {
	case err == nil:
		c.body = body
		if body.rest != nil {
			_ = control.EnableFullDuplex()
		}
		return nil
	case errors.Is(err, errBodyTooLarge):
		return &statusError{http.StatusRequestEntityTooLarge, "body-too-large", 0}
	case errors.Is(err, errBodyMemoryLimit):
		return &statusError{http.StatusServiceUnavailable, "memory", unconfiguredRetryAfter}
	case time.Now().After(c.deadline):
		return &statusError{http.StatusRequestTimeout, "body-too-slow", 0}
	default:
		return &statusError{http.StatusBadRequest, "body-broke-off", 0}
	}
}

// forwardResponse sends a target's response to the caller.
func (c *call) forwardResponse(resp *targetResponse) {
	if c.ahead != nil && resp.rest != nil {
		c.ahead.awaitTurn()
		if !time.Now().Before(c.deadline) {
			// The rest of the body can't be read any more. Writing the part that was read would break the connection for the requests
			// behind this one.
			c.respondError(&statusError{http.StatusGatewayTimeout, "deadline", 0})
			return
		}
	}
	h := c.w.Header()
	copyHeaders(h, resp.header)
	if c.closesConn() || resp.rest == nil && c.body.rest != nil {
		h.Set("Connection", "close")
	}
	if resp.rest == nil && bodyAllowed(c.r.Method, resp.status) {
		h.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(c.deadline.Add(writeGrace))
	c.headerWritten = true
	c.w.WriteHeader(resp.status)
	if bodyAllowed(c.r.Method, resp.status) {
		c.copyBody(resp)
	}
	c.Metrics.recordResponse(c.route, time.Since(c.start), resp.status)
	c.Log.Emit(event.RequestAnswered, "request", c.meta.ID, "route", c.route.Name, "status", resp.status,
		"target", c.lastTarget, "attempts", c.attempts, "ms", time.Since(c.start).Milliseconds())
}

// copyBody writes the response body. If the body breaks off, the caller's connection is aborted, so that the response doesn't
// look complete.
func (c *call) copyBody(resp *targetResponse) {
	if _, err := c.w.Write(resp.body); err != nil {
		return
	}
	if resp.rest == nil {
		return
	}
	err := streamBody(c.w, resp.rest)
	if err == nil || errors.Is(err, errTruncated) && !isLimitError(err) {
		c.Suspects.BodyEnded(c.fingerprint, resp.incarnation, err == nil, c.Clock.Now())
	}
	if err != nil {
		if isLimitError(err) {
			c.Metrics.recordLimitExceeded()
		}
		c.Log.Emit(event.ResponseTruncated, "request", c.meta.ID, "target", c.lastTarget, "error", err.Error())
		// Released first, so that nothing is counted any more when the caller notices the end of the connection.
		c.sender.discard(resp)
		if c.conn != nil {
			c.conn.abort()
		}
		panic(http.ErrAbortHandler)
	}
}

// isSafe reports whether the method is one of the safe methods that callers use (RFC 9110, section 9.2.1).
func isSafe(method string) bool {
	return method == http.MethodGet || method == http.MethodHead
}

func bodyAllowed(method string, status int) bool {
	return method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified
}

// respondError sends an error response when there is no target's response to forward.
func (c *call) respondError(err error) {
	if c.r.Context().Err() != nil {
		// The context may also have been cancelled because an earlier read from the connection failed, so an error is sent in
		// any case; otherwise net/http would send a success.
		if c.ahead != nil && c.ahead.dropped() {
			panic(http.ErrAbortHandler)
		}
		c.logDisconnect()
		c.w.Header().Set("Connection", "close")
	}
	var e *statusError
	switch {
	case errors.As(err, &e):
	default:
		e = &statusError{status: c.errorStatus(), reason: err.Error()}
	}
	h := c.w.Header()
	c.Dialect.SetResponseID(h, c.meta.ID)
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 3, 64))
	}
	if c.closesConn() || c.body == nil && c.r.ContentLength != 0 || c.body != nil && c.body.rest != nil {
		h.Set("Connection", "close")
	}
	_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now().Add(writeGrace))
	h.Set("Content-Length", "0")
	c.headerWritten = true
	c.w.WriteHeader(e.status)
	c.Metrics.recordErrorResponse(e.status, e.reason)
	c.logErrorResponse(e)
}

// logDisconnect logs and counts that the caller has disconnected before its response.
func (c *call) logDisconnect() {
	if c.disconnectLogged {
		return
	}
	c.disconnectLogged = true
	c.Metrics.recordDisconnect()
	c.Log.Emit(event.CallerDisconnected, "request", c.meta.ID, "ms", time.Since(c.start).Milliseconds(), "attempts", c.attempts)
}

func (c *call) logErrorResponse(e *statusError) {
	kind := event.RequestRefused
	if e.status == http.StatusBadGateway || e.status == http.StatusGatewayTimeout {
		kind = event.RequestFailed
	}
	if e.status == http.StatusUnauthorized {
		kind = event.CredentialRejected
	}
	fields := []any{"request", c.meta.ID, "status", e.status, "reason", e.reason, "attempts", c.attempts,
		"ms", time.Since(c.start).Milliseconds()}
	if c.route != nil {
		fields = append(fields, "route", c.route.Name)
	}
	if !c.deadline.IsZero() {
		fields = append(fields, "left_ms", time.Until(c.deadline).Milliseconds())
	}
	if c.meta.Key != NoKey {
		fields = append(fields, "key", c.meta.Key)
	}
	if c.lastTarget != "" {
		fields = append(fields, "target", c.lastTarget)
	}
	if e.retryAfter > 0 {
		fields = append(fields, "retry_ms", e.retryAfter.Milliseconds())
	}
	c.Log.Emit(kind, fields...)
}
