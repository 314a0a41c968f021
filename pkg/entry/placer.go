package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/ingress"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/replica"
)

// placer asks the coordinator's broker for targets, directly on the coordinator and over the link on all other VMs.
type placer struct {
	settings Settings
	clock    clock.Clock
	broker   *placing.Broker
	seq      atomic.Uint64

	mu sync.Mutex
	// leading reports whether this VM's broker places the requests.
	leading bool
	link    *replica.Link
	pending map[uint64]*pendingRequest
	// decisionDelay is the smoothed delay of decisions, last measured at decisionDelayAt.
	decisionDelay   time.Duration
	decisionDelayAt clock.Instant
}

// pendingRequest is a placement request without a decision.
type pendingRequest struct {
	decision chan placing.Decision
	sent     clock.Instant
	// limited is set if the request has a quota.
	limited bool
}

const (
	// delaySmoothing is the weight of a new sample in the smoothed delay of decisions.
	delaySmoothing = 0.2
	// maxDecisionDelay is the delay above which a VM places its requests itself, for localPlacementTime after the last
	// sample.
	maxDecisionDelay   = 120 * time.Millisecond
	localPlacementTime = 500 * time.Millisecond
)

func newPlacer(s Settings, c clock.Clock, broker *placing.Broker) *placer {
	return &placer{settings: s, clock: c, broker: broker, pending: map[uint64]*pendingRequest{}}
}

// setBackend sets the broker that is asked from now on: the broker of this VM if leading is set, otherwise the one at
// the other end of the link. No broker is asked if neither is given.
func (p *placer) setBackend(leading bool, link *replica.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leading, p.link, p.decisionDelay = leading, link, 0
}

func (p *placer) backend() (leading bool, link *replica.Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leading, p.link
}

// Place implements ingress.Placer.
func (p *placer) Place(ctx context.Context, a placing.PlacementRequest) (ingress.Placement, placing.Decision, bool) {
	leading, link := p.backend()
	a.VM, a.Domain, a.Region, a.Seq = p.settings.VM, p.settings.Domain, p.settings.Region, p.seq.Add(1)
	switch {
	case leading:
		return p.placeOnOwnBroker(ctx, a)
	case link != nil && (a.Limited || !p.decisionsTooSlow()):
		// While this VM is connected, its share of the quotas is lent to the broker, however slow that is.
		return p.placeRemotely(ctx, a, link)
	default:
		return nil, placing.Decision{}, false
	}
}

func (p *placer) placeOnOwnBroker(ctx context.Context, a placing.PlacementRequest) (ingress.Placement, placing.Decision, bool) {
	decision := make(chan placing.Decision, 1)
	p.broker.Place(a, func(v placing.Decision) {
		v.SendBy = p.settings.sendBy(a.Limited, p.clock.Now())
		decision <- v
	}, p.clock.Now())
	placement := &brokerPlacement{placer: p, seq: a.Seq}
	select {
	case v := <-decision:
		return placement, v, v.Reason != placing.ReasonBrokerMoved
	case <-ctx.Done():
		p.broker.Cancel(a.VM, a.Seq, p.clock.Now())
		return nil, placing.Decision{Reason: placing.ReasonOverload}, true
	}
}

func (p *placer) placeRemotely(ctx context.Context, a placing.PlacementRequest, link *replica.Link) (ingress.Placement, placing.Decision, bool) {
	decision := make(chan placing.Decision, 1)
	p.mu.Lock()
	p.pending[a.Seq] = &pendingRequest{decision: decision, sent: p.clock.Now(), limited: a.Limited}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.pending, a.Seq)
		p.mu.Unlock()
	}()
	if !link.SendPlaceRequest(replica.PlaceRequest{Seq: a.Seq, Pool: a.Pool, Key: a.Key, Priority: a.Priority, LeftMs: a.TimeLeft.Milliseconds(),
		ObjectiveMs: a.Objective.Milliseconds(),
		Body:        a.BodyBytes, Homes: a.AllowedRegions, Avoid: a.Avoid, Repeat: a.Retry,
		Content: a.Fingerprint.Content, Caller: a.Fingerprint.ByCaller, Organisation: a.Organisation, Hedge: a.Hedge}) {
		return nil, placing.Decision{}, false
	}
	select {
	case v := <-decision:
		return &remotePlacement{link: link, seq: a.Seq}, v, v.Reason != placing.ReasonBrokerMoved
	case <-link.Done():
		return nil, placing.Decision{}, false
	case <-ctx.Done():
		link.SendPlaceRelease(replica.PlaceRelease{Seq: a.Seq, Cancelled: true})
		return nil, placing.Decision{Reason: placing.ReasonOverload}, true
	}
}

// deliverDecision passes a decision of the coordinator to the request that waits for it.
func (p *placer) deliverDecision(v replica.PlaceResponse) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if request := p.pending[v.Seq]; request != nil {
		p.recordDelay(p.clock.Now().Sub(request.sent) - time.Duration(v.WaitedMs)*time.Millisecond)
		waited := time.Duration(v.WaitedMs) * time.Millisecond
		request.decision <- placing.Decision{Target: v.Target, Reason: v.Reason, Expected: time.Duration(v.ExpectedMs) * time.Millisecond,
			SendBy: p.settings.sendBy(request.limited, request.sent.Add(waited))}
	}
}

// recordDelay adds a sample to the smoothed delay of decisions. The caller holds p.mu.
func (p *placer) recordDelay(delay time.Duration) {
	p.decisionDelay = time.Duration((1-delaySmoothing)*float64(p.decisionDelay) + delaySmoothing*float64(delay))
	p.decisionDelayAt = p.clock.Now()
}

// delay returns the smoothed delay of decisions.
func (p *placer) delay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decisionDelay
}

// decisionsTooSlow reports whether decisions arrive too late to wait for them.
func (p *placer) decisionsTooSlow() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.decisionDelay > maxDecisionDelay && p.clock.Now().Sub(p.decisionDelayAt) < localPlacementTime
}

// brokerPlacement is a placement by this VM's broker.
type brokerPlacement struct {
	placer *placer
	seq    uint64
}

// Done implements ingress.Placement.
func (b *brokerPlacement) Done(elapsed time.Duration, ending placing.Result, report *placing.Report) {
	b.placer.broker.Done(b.placer.settings.VM, b.seq, elapsed, ending, report, b.placer.clock.Now())
}

// Withdraw implements ingress.Placement.
func (b *brokerPlacement) Withdraw() {
	b.placer.broker.Cancel(b.placer.settings.VM, b.seq, b.placer.clock.Now())
}

// remotePlacement is a placement by the coordinator.
type remotePlacement struct {
	link *replica.Link
	seq  uint64
}

// Done implements ingress.Placement.
func (r *remotePlacement) Done(elapsed time.Duration, ending placing.Result, report *placing.Report) {
	d := replica.PlaceRelease{Seq: r.seq, ElapsedMs: elapsed.Milliseconds(), Ending: ending}
	if report != nil {
		d.HasReport, d.Report = true, *report
	}
	r.link.SendPlaceRelease(d)
}

// Withdraw implements ingress.Placement.
func (r *remotePlacement) Withdraw() {
	r.link.SendPlaceRelease(replica.PlaceRelease{Seq: r.seq, Cancelled: true})
}

// placeForFollower places a request of another VM.
func (p *placer) placeForFollower(f *replica.Follower, a replica.PlaceRequest) {
	received := p.clock.Now()
	request := placing.PlacementRequest{VM: f.ID, Domain: f.Domain, Region: f.Region, Seq: a.Seq, Pool: a.Pool, Key: a.Key, Priority: a.Priority,
		TimeLeft: time.Duration(a.LeftMs) * time.Millisecond, Objective: time.Duration(a.ObjectiveMs) * time.Millisecond, BodyBytes: a.Body, AllowedRegions: a.Homes, Avoid: a.Avoid, Retry: a.Repeat,
		Fingerprint: quarantine.Fingerprint{Content: a.Content, ByCaller: a.Caller}, Organisation: a.Organisation, Hedge: a.Hedge}
	if leading, _ := p.backend(); !leading {
		f.SendPlaceResponse(replica.PlaceResponse{Seq: a.Seq, Reason: placing.ReasonBrokerMoved})
		return
	}
	p.broker.Place(request, func(v placing.Decision) {
		f.SendPlaceResponse(replica.PlaceResponse{Seq: a.Seq, Target: v.Target, Reason: v.Reason, ExpectedMs: v.Expected.Milliseconds(),
			WaitedMs: p.clock.Now().Sub(received).Milliseconds()})
	}, received)
}

// finishForFollower records how a request of another VM ended.
func (p *placer) finishForFollower(f *replica.Follower, d replica.PlaceRelease) {
	if d.Cancelled {
		p.broker.Cancel(f.ID, d.Seq, p.clock.Now())
		return
	}
	var report *placing.Report
	if d.HasReport {
		report = &d.Report
	}
	p.broker.Done(f.ID, d.Seq, time.Duration(d.ElapsedMs)*time.Millisecond, d.Ending, report, p.clock.Now())
}
