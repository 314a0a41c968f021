package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/targetconn"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// maxStampAge bounds the time between the computation of the remaining time for the target and the first byte. A process
// that was paused in between would let the target work beyond the deadline.
const maxStampAge = 20 * time.Millisecond

// forwarding sends one admitted request to its target.
type forwarding struct {
	gateway  *Gateway
	group    *group
	ticket   *ticket
	request  *wire.Request
	deadline time.Time
	sentAt   clock.Instant
}

// run returns the answer, a refusal, or errUnsent or errUnreachable if nothing was sent.
func (f *forwarding) run(ctx context.Context, cancel context.CancelFunc, body io.Reader) (*exchange.Response, error) {
	t := f.ticket.target
	c, err := t.conns.Get(ctx)
	if err != nil {
		return nil, f.dialFailed(ctx, err)
	}
	f.sentAt = f.gateway.Clock.Now()
	sent := &callerBody{Reader: body}
	r, err := newTargetRequest(f.request, t.address, f.stamp(), time.Until(f.deadline), sent)
	if err != nil {
		c.Discard()
		f.group.release(f.ticket)
		return nil, problem.New(http.StatusBadRequest, problem.CodeBadRequest, problem.NotRun, "the path is malformed")
	}
	a := &attempt{conn: c, pool: t.conns, request: r, deadline: f.deadline, onEnd: f.ended, body: sent}
	response, err := a.run(ctx, f.guard)
	if err != nil {
		return nil, f.note(err)
	}
	f.group.answered(f.ticket, f.gateway.Clock.Now().Sub(f.sentAt))
	return f.answer(ctx, cancel, a, response)
}

// note counts unknown outcomes. A request that has just been quarantined is told so.
func (f *forwarding) note(err error) error {
	var refusal *problem.Error
	if !errors.As(err, &refusal) || refusal.Outcome != problem.Unknown {
		return err
	}
	f.gateway.metrics.unknown.Inc(1)
	if f.gateway.suspects.Verdict(f.request.Fingerprint) == quarantine.Quarantined {
		return quarantined(problem.Unknown)
	}
	return err
}

func (f *forwarding) stamp() stamp {
	s := stamp{checked: f.group.checked(), groupEpoch: f.group.epoch, sliceEpoch: f.group.epoch}
	if f.ticket.slice != nil {
		s.sliceEpoch = f.ticket.slice.Epoch
	}
	return s
}

// guard checks the authority right before the first byte is written: the process may have been paused since the request
// was admitted.
func (f *forwarding) guard() error {
	now := f.gateway.Clock.Now()
	if !f.gateway.authorized(now) {
		return refuse(http.StatusServiceUnavailable, problem.CodeNoAuthority, "the router's lease has expired", 0)
	}
	if !f.group.mayStart(f.ticket, now) {
		return refuse(http.StatusServiceUnavailable, problem.CodeStaleOwnership, "the target's grant has expired", 0)
	}
	if !f.ticket.waiter.alone && f.gateway.suspects.Verdict(f.request.Fingerprint) != quarantine.Clear {
		return refuse(http.StatusServiceUnavailable, problem.CodeOverload, "the request has become a suspect meanwhile", 0)
	}
	if time.Until(f.deadline) <= 0 {
		return deadlineNotRun()
	}
	if now.Sub(f.sentAt) > maxStampAge {
		return errUnsent
	}
	return nil
}

// dialFailed ends a forwarding whose connection could not be opened.
func (f *forwarding) dialFailed(ctx context.Context, err error) error {
	f.group.release(f.ticket)
	if ctx.Err() != nil {
		return deadlineNotRun()
	}
	f.group.unreachable(f.ticket.target, errors.Is(err, syscall.ECONNREFUSED))
	return errUnreachable
}

// ended settles the slot once the exchange is over.
func (f *forwarding) ended(how ending, c *targetconn.Conn) {
	defer f.ticket.waiter.finish()
	switch how {
	case endedClean:
		f.gateway.succeeded(f.request.Fingerprint)
		f.group.release(f.ticket)
		return
	case endedUnsent:
		f.group.release(f.ticket)
		return
	case endedBroken:
		f.gateway.crashed(f.group.broke(f.ticket))
	case endedCancelled:
		f.group.timedOut(f.ticket, time.Until(f.deadline) <= 0)
	}
	f.group.ending(f.ticket)
	// The target may still work on the request: the slot stays in use until it has closed its side.
	go func() {
		<-c.Ended()
		f.group.release(f.ticket)
	}()
}

// answer turns the target's answer into the response or a refusal.
func (f *forwarding) answer(ctx context.Context, cancel context.CancelFunc, a *attempt, r *http.Response) (*exchange.Response, error) {
	body := &answerBody{inner: r.Body, attempt: a, ctx: ctx, release: cancel, close: r.Close}
	notRun := r.Header.Get(headerNotRun) == "1"
	if notRun && f.group.trusted() {
		_, _ = io.CopyN(io.Discard, body, targetconn.BufferBytes)
		if r.Header.Get(headerRequestID) == "" {
			// A second copy of this answer couldn't be told from the answer to a later request on the connection.
			a.conn.Discard()
		}
		_ = body.Close()
		return nil, f.group.refusedByTarget(f.ticket.target, r.StatusCode)
	}
	outcome := problem.Ran
	if notRun {
		outcome = problem.Unknown
	}
	head := wire.Response{
		ID:            f.request.ID,
		Status:        r.StatusCode,
		Headers:       answerHeaders(r.Header),
		ContentLength: r.ContentLength,
		Outcome:       string(outcome),
	}
	f.group.load(&head)
	f.gateway.version(&head)
	if r.Body == http.NoBody {
		body.finish()
		cancel()
		return &exchange.Response{Head: head, Body: emptyBody{}}, nil
	}
	return &exchange.Response{Head: head, Body: body}, nil
}

// version tells the entry router which table this router has.
func (gw *Gateway) version(head *wire.Response) {
	view := gw.view.Load()
	if view == nil {
		return
	}
	if table, ok := view.Tables[view.Cell]; ok {
		head.TableVersion = table.Version
	}
}
