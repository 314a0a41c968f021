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

// groupLoad is what is known about the load of a group: the last report in an answer, and what this router has sent there
// since without an answer.
type groupLoad struct {
	inFlight atomic.Int64
	queue    atomic.Int64
	free     atomic.Int64
	latency  atomic.Int64
	// closedUntil is the time in Unix nanoseconds up to which the group's gateway serves nothing by its own account.
	closedUntil atomic.Int64
}

// minClosed is the shortest time to come back for which a group counts as closed.
const minClosed = 200 * time.Millisecond

// refused remembers a gateway's word that it can't serve the group for some time. The time to come back is spread over the
// double of the wait, so that half of it is certain.
func (g *groupLoad) refused(err error) {
	var e *problem.Error
	if !errors.As(err, &e) || e.Code != problem.CodeNoOwner || e.RetryAfter < minClosed {
		return
	}
	g.closedUntil.Store(time.Now().Add(e.RetryAfter / 2).UnixNano())
}

// closed tells whether the group's gateway has announced that it serves nothing now.
func (g *groupLoad) closed() bool {
	return time.Now().UnixNano() < g.closedUntil.Load()
}

// score grows with the expected wait. A group without reports scores 0, so that it gets a request and with it a report.
func (g *groupLoad) score() float64 {
	waiting := float64(g.queue.Load() + g.inFlight.Load() + 1)
	return float64(g.latency.Load()) * waiting / float64(g.free.Load()+1)
}

func (g *groupLoad) report(head *wire.Response) {
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

func (l *loads) of(id topology.GroupID) *groupLoad {
	if g, ok := l.groups.Load(id); ok {
		return g.(*groupLoad)
	}
	g, _ := l.groups.LoadOrStore(id, &groupLoad{})
	return g.(*groupLoad)
}
