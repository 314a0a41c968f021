package dispatch

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// groupLoad is the known load of a group: the last values reported in a response, and the number of this router's attempts
// in flight.
type groupLoad struct {
	inFlight atomic.Int64
	queue    atomic.Int64
	free     atomic.Int64
	latency  atomic.Int64
	// unavailableUntil is the time, in Unix nanoseconds, until which the group's gateway has announced that it can't serve
	// requests.
	unavailableUntil atomic.Int64
}

// minUnavailable is the shortest retry delay for which a group is treated as unavailable.
const minUnavailable = 200 * time.Millisecond

// recordRefusal records a gateway's announcement that it can't serve the group for some time. The announced retry delay is
// randomized up to twice the actual wait, so only half of it is certain.
func (g *groupLoad) recordRefusal(err error) {
	var e *problem.Error
	if !errors.As(err, &e) || e.Code != problem.CodeNoOwner || e.RetryAfter < minUnavailable {
		return
	}
	g.unavailableUntil.Store(time.Now().Add(e.RetryAfter / 2).UnixNano())
}

// unavailable reports whether the group's gateway has announced that it can't serve requests at present.
func (g *groupLoad) unavailable() bool {
	return time.Now().UnixNano() < g.unavailableUntil.Load()
}

// score grows with the expected wait. A group that hasn't reported its load scores 0, so that it gets a request and its
// load becomes known.
func (g *groupLoad) score() float64 {
	waiting := float64(g.queue.Load() + g.inFlight.Load() + 1)
	return float64(g.latency.Load()) * waiting / float64(g.free.Load()+1)
}

func (g *groupLoad) recordReport(head *wire.Response) {
	g.queue.Store(int64(head.QueueLength))
	g.free.Store(int64(head.FreeSlots))
	if head.LatencyMicros > 0 {
		g.latency.Store(head.LatencyMicros)
	}
}

// loads holds the load of each group.
type loads struct {
	groups sync.Map
}

func newLoads() *loads {
	return &loads{}
}

func (l *loads) get(id topology.GroupID) *groupLoad {
	if g, ok := l.groups.Load(id); ok {
		return g.(*groupLoad)
	}
	g, _ := l.groups.LoadOrStore(id, &groupLoad{})
	return g.(*groupLoad)
}
