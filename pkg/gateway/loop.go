package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// tick is the longest delay with which a group notices that time has passed.
	tick = 50 * time.Millisecond
	// probeInterval is the time between two polls of a health endpoint; a poll costs a target about 6 ms.
	probeInterval = time.Second
	// lostProbeInterval is the time between two polls of a lost target.
	lostProbeInterval = 250 * time.Millisecond
	probeTimeout      = 400 * time.Millisecond
	// probesFailedLost is the number of consecutive polls without a connection or answer after which a target is lost.
	probesFailedLost = 2
	// defaultMaxDeadline applies to pools without a configured bound.
	defaultMaxDeadline  = 30 * time.Second
	maxHealthAnswerByte = 4 << 10
)

// run advances the group with time until it is stopped.
func (g *group) run() {
	for {
		select {
		case <-g.done:
			return
		case <-g.wake:
		case <-g.clock.After(tick):
		}
		g.step()
	}
}

func (g *group) step() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	g.settle()
	g.expire()
	g.pump()
	g.refuseAllUnmeetable()
	g.rates.roll(g, now)
	for _, t := range g.targets {
		g.noteState(t)
	}
}

func (g *group) refuseAllUnmeetable() {
	g.refuseUnmeetable(&g.shared)
	for _, t := range g.targets {
		g.refuseUnmeetable(&t.queue)
	}
}

// expire refuses waiters of groups that may not serve any more.
func (g *group) expire() {
	if g.gateway.authorized(g.clock.Now()) && !g.superseded {
		return
	}
	refusal := refuse(http.StatusServiceUnavailable, "no-authority", "the router's lease has expired", 0)
	g.refuseAll(&g.shared, refusal)
	for _, t := range g.targets {
		g.refuseAll(&t.queue, refusal)
	}
}

// probeSoon asks for a poll of the health endpoint at once.
func (g *group) probeSoon(t *target) {
	select {
	case t.probeWake <- struct{}{}:
	default:
	}
}

// awaitHealth gives a new target no work until its first poll is answered or overdue. Without it a new gateway of the group
// took a draining target for open for up to 1 s.
func (g *group) awaitHealth(t *target) {
	t.brokenUntil = g.clock.Now().Add(probeTimeout)
	g.probeSoon(t)
}

// probeLoop polls the health endpoint of a target until the group or target is gone.
func (g *group) probeLoop(t *target) {
	for {
		select {
		case <-g.done:
			return
		case <-t.gone:
			return
		case <-t.probeWake:
		case <-g.clock.After(g.probeDelay(t)):
		}
		g.probe(t)
	}
}

func (g *group) probeDelay(t *target) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.lost || t.probesFailed > 0 {
		return lostProbeInterval
	}
	return probeInterval
}

// health is the answer of GET /health.
type health struct {
	Status string `json:"status"`
}

const healthDraining = "draining"

func (g *group) probe(t *target) {
	g.mu.Lock()
	active := g.state == wire.HoldActive && g.gateway.authorized(g.clock.Now())
	started := g.clock.Now()
	address := t.address
	g.mu.Unlock()
	if !active {
		return
	}
	g.metrics.probes.Inc(1)
	report, err := g.getHealth(address, probeTimeout)
	g.mu.Lock()
	defer g.mu.Unlock()
	if err != nil {
		g.probeFailed(t, started)
		return
	}
	g.probed(t, report)
}

func (g *group) getHealth(address string, timeout time.Duration) (health, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/health", address), nil)
	if err != nil {
		return health{}, err
	}
	answer, err := g.gateway.control.Do(request)
	if err != nil {
		return health{}, err
	}
	defer func() { _ = answer.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(answer.Body, maxHealthAnswerByte))
	if err != nil {
		return health{}, err
	}
	var report health
	// A report that cannot be read is no sign of trouble: the endpoint is only a hint.
	_ = json.Unmarshal(body, &report)
	return report, nil
}

// probeFailed counts a failed poll. Answered requests since the poll began outweigh it.
func (g *group) probeFailed(t *target, started clock.Instant) {
	if t.answeredAt >= started && t.answered > 0 {
		t.probesFailed = 0
		return
	}
	t.probesFailed++
	if t.probesFailed >= probesFailedLost {
		g.markLost(t)
	}
}

func (g *group) probed(t *target, report health) {
	t.probesFailed = 0
	t.brokenUntil = 0
	draining := report.Status == healthDraining
	if draining != t.draining {
		t.draining = draining
		t.drainingAt = g.clock.Now()
		g.noteState(t)
	}
	if t.lost && !g.pool.GrantsChecked {
		// A checked target recovers with its next confirmed grant.
		g.recover(t)
	}
	if t.lost {
		g.wakeGrant(t)
	}
	g.pump()
}
