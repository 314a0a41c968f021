package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	grantTTL      = time.Second
	grantInterval = 250 * time.Millisecond
	// grantTimeout bounds one renewal, so that three fit into the lifetime of a grant.
	grantTimeout = 300 * time.Millisecond
	// grantFailuresLost is the number of consecutive failed renewals after which a target counts as lost: about 1 s.
	grantFailuresLost = 3

	maxGrantAnswerBytes = 4 << 10
)

// grant is what a checked target has been told. The group's mutex guards it.
type grant struct {
	// wake asks for a renewal at once.
	wake chan struct{}
	// validUntil is how long the gateway may rely on the last confirmed grant, counted from before it was sent.
	validUntil clock.Instant
	// lapsesAt is how long the target may believe in any grant that was sent.
	lapsesAt clock.Instant
	failures int
	// targetClock is the target's clock as its last answer told it, "" before the first answer. noClock tells that the
	// target's answers don't contain it.
	targetClock string
	noClock     bool
	// clockAsked is when the renewal was sent whose answer told targetClock: the target read its clock after that.
	clockAsked clock.Instant
}

// mayHold tells whether the target may still believe in a grant.
func (g *grant) mayHold(now clock.Instant) bool {
	return now < g.lapsesAt
}

// grantBody is the body of PUT /bronzelever/grants. Numbers of 64 bits are decimal strings.
type grantBody struct {
	GroupEpoch string `json:"group_epoch"`
	TTLMillis  int64  `json:"ttl_ms"`
	// AsOf is the target's clock at its last answer. The lifetime counts from there, so that a grant which a frozen target
	// reads late has lapsed already.
	AsOf   string       `json:"as_of,omitempty"`
	Slices []grantSlice `json:"slices"`
}

type grantSlice struct {
	Low   string `json:"low"`
	High  string `json:"high"`
	Epoch string `json:"epoch"`
}

// grantAnswer is the body of an answer to a grant.
type grantAnswer struct {
	// GroupEpoch is the newest epoch that the target knows.
	GroupEpoch string `json:"group_epoch"`
	// Now is the target's clock.
	Now string `json:"now"`
}

func newControlClient() *http.Client {
	return &http.Client{Transport: targetconn.StrictTransport{Transport: &http.Transport{
		MaxConnsPerHost:     reservedConnections,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}}}
}

func decimal(n uint64) string {
	return strconv.FormatUint(n, 10)
}

// wakeGrant asks the target's loop for a renewal at once.
func (g *group) wakeGrant(t *target) {
	select {
	case t.grant.wake <- struct{}{}:
	default:
	}
}

// grantLoop renews the grant of a checked target until the group or target is gone.
func (g *group) grantLoop(t *target) {
	for {
		g.renewGrant(t)
		select {
		case <-g.done:
			return
		case <-t.gone:
			return
		case <-t.grant.wake:
		case <-g.clock.After(grantInterval):
		}
	}
}

// renewal is one PUT of a grant.
type renewal struct {
	body     grantBody
	slices   []*heldSlice
	revoking bool
	// asking tells that the grant is empty because the target's clock isn't known yet.
	asking bool
	sentAt clock.Instant
	// lapsedBefore is how long the target may believe in former grants.
	lapsedBefore clock.Instant
}

// renewGrant sends the target its grant. After a failure the target first has to answer a health poll: a grant sent to a
// frozen target would take effect late and prolong the time until its slices can be given to another one.
func (g *group) renewGrant(t *target) {
	if !g.answersAgain(t) {
		return
	}
	r, ok := g.prepareGrant(t)
	if !ok {
		return
	}
	g.metrics.grants.Inc(1)
	status, answer, err := g.putGrant(t, &r)
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	switch {
	case err != nil || status >= http.StatusInternalServerError:
		g.grantFailed(t, &r, now, errors.Is(err, syscall.ECONNREFUSED))
	case status == http.StatusConflict:
		g.grantRefused(t, answer.newest())
	case status == http.StatusOK:
		g.grantConfirmed(t, &r, now)
		t.grant.targetClock = answer.Now
		t.grant.noClock = answer.Now == ""
		t.grant.clockAsked = r.sentAt
	}
	g.settle()
	g.pump()
}

func (g *group) answersAgain(t *target) bool {
	g.mu.Lock()
	failed := t.grant.failures > 0
	address := t.address
	g.mu.Unlock()
	if !failed {
		return true
	}
	_, err := g.getHealth(address, grantTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err == nil {
		return true
	}
	t.grant.failures++
	if t.grant.failures >= grantFailuresLost {
		g.markLost(t)
	}
	return false
}

// prepareGrant collects what the target is granted next. It returns false if nothing may or need be sent.
func (g *group) prepareGrant(t *target) (renewal, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if !g.pool.GrantsChecked || g.superseded || !g.startable(now) || !g.gateway.authorized(now) {
		return renewal{}, false
	}
	r := renewal{sentAt: now, lapsedBefore: t.grant.lapsesAt, revoking: g.state != wire.HoldActive}
	if r.revoking && !t.grant.mayHold(now) {
		return renewal{}, false
	}
	if r.revoking && len(t.tickets) > 0 {
		// Requests in flight end under the grant.
		r.revoking = false
	}
	r.body = grantBody{
		GroupEpoch: decimal(uint64(g.epoch)),
		TTLMillis:  grantTTL.Milliseconds(),
		AsOf:       t.grant.targetClock,
		Slices:     []grantSlice{},
	}
	if r.revoking {
		return r, true
	}
	if t.grant.targetClock == "" && !t.grant.noClock {
		// The first grant is empty: it only asks for the target's clock.
		r.asking = true
		return r, true
	}
	g.collectSlices(t, &r)
	// Until an answer arrives, the grant may be in force from any moment after the sending.
	t.grant.lapsesAt = maxInstant(t.grant.lapsesAt, now.Add(clock.WithDrift(grantTTL)+grantTimeout))
	for _, s := range r.slices {
		s.included = true
		s.lapsesAt = t.grant.lapsesAt
	}
	return r, true
}

func (g *group) collectSlices(t *target, r *renewal) {
	if !g.pool.Keyed {
		r.body.Slices = append(r.body.Slices, grantSlice{Low: "0", High: decimal(fullRange), Epoch: decimal(uint64(g.epoch))})
		return
	}
	for _, s := range g.slices {
		if s.target != t || !s.inForce() {
			continue
		}
		r.slices = append(r.slices, s)
		r.body.Slices = append(r.body.Slices, grantSlice{
			Low: decimal(s.Low), High: decimal(s.High), Epoch: decimal(uint64(s.Epoch)),
		})
	}
}

// inForce tells whether the target should have the slice: while it serves, and until the last request in flight has ended.
func (s *heldSlice) inForce() bool {
	return s.phase == sliceActive || s.phase == sliceReleasing && s.running > 0 && s.granted
}

func (g *group) putGrant(t *target, r *renewal) (status int, decoded grantAnswer, err error) {
	payload, err := json.Marshal(r.body)
	if err != nil {
		return 0, decoded, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), grantTimeout)
	defer cancel()
	url := fmt.Sprintf("http://%s/bronzelever/grants", t.address)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(payload))
	if err != nil {
		return 0, decoded, err
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := g.gateway.control.Do(request)
	if err != nil {
		return 0, decoded, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxGrantAnswerBytes))
	if err != nil {
		return 0, decoded, err
	}
	// A target may answer without a body; the status tells all that is needed then.
	_ = json.Unmarshal(body, &decoded)
	return answer.StatusCode, decoded, nil
}

func (a grantAnswer) newest() topology.Epoch {
	n, err := strconv.ParseUint(a.GroupEpoch, 10, 64)
	if err != nil {
		return 0
	}
	return topology.Epoch(n)
}

// grantFailed notes a grant that was not confirmed. A refused connection proves that it was not received and that nobody
// listens.
func (g *group) grantFailed(t *target, r *renewal, now clock.Instant, refused bool) {
	t.grant.failures++
	if refused {
		t.grant.lapsesAt = r.lapsedBefore
		for _, s := range r.slices {
			s.lapsesAt = min(s.lapsesAt, r.lapsedBefore)
		}
		g.markLost(t)
		return
	}
	end := now.Add(clock.WithDrift(grantTTL))
	if !r.revoking {
		t.grant.lapsesAt = maxInstant(t.grant.lapsesAt, end)
	}
	for _, s := range r.slices {
		s.uncertain = true
		s.lapsesAt = maxInstant(s.lapsesAt, end)
	}
	if t.grant.failures >= grantFailuresLost {
		g.markLost(t)
	}
}

func (g *group) grantRefused(t *target, newest topology.Epoch) {
	g.gateway.Log.Emit(event.GrantRefused, "group", g.id, "target", t.id, "epoch", g.epoch, "newest", newest)
	if newest > g.epoch {
		g.superseded = true
		g.gateway.wakeControl()
	}
}

func (g *group) grantConfirmed(t *target, r *renewal, now clock.Instant) {
	t.grant.failures = 0
	t.answeredAt = now
	if t.lost {
		g.recover(t)
	}
	switch {
	case r.asking:
		g.wakeGrant(t)
	case r.revoking:
		t.grant.lapsesAt = now
		t.grant.validUntil = 0
	default:
		from := r.sentAt
		if r.body.AsOf != "" {
			from = t.grant.clockAsked
		}
		t.grant.validUntil = from.Add(grantTTL - (clock.WithDrift(grantTTL) - grantTTL))
		if t.grant.validUntil < now.Add(grantInterval) {
			// The grant counted from a reading of the target's clock that is old by now; the answer brought a new one.
			g.wakeGrant(t)
		}
		t.grant.lapsesAt = now.Add(clock.WithDrift(grantTTL))
	}
	g.confirmSlices(t, r, now)
}

// confirmSlices marks what the target has confirmed. A slice that the confirmed grant leaves out is revoked, unless a
// former grant was never answered and may still arrive.
func (g *group) confirmSlices(t *target, r *renewal, now clock.Instant) {
	for _, s := range g.slices {
		if s.target != t {
			continue
		}
		if !s.inForce() && s.uncertain && now >= s.lapsesAt {
			s.uncertain = false
		}
		s.granted = false
		if s.included && !s.uncertain {
			s.lapsesAt = now
		}
	}
	for _, s := range r.slices {
		s.granted = true
		s.lapsesAt = t.grant.lapsesAt
	}
}

func maxInstant(a, b clock.Instant) clock.Instant {
	return max(a, b)
}
