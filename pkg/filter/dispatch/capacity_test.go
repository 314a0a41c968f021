package dispatch

import (
	"testing"

	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Guards against a choice of groups that ignores their size. With equal queues, a group of 2 targets got as many requests as
// a group of 8, so at 2 times overload the small groups refused heavy requests while the large ones had room for light ones.
func TestEqualQueuesPreferTheLargerGroup(t *testing.T) {
	f := newFixture("north").Filter
	large := &topology.Group{ID: "pool/north-a/0", Targets: make([]string, 8)}
	small := &topology.Group{ID: "pool/north-a/1", Targets: make([]string, 2)}
	for _, g := range []*topology.Group{large, small} {
		load := f.loads.get(g.ID)
		load.queue.Store(60)
		load.latency.Store(40_000)
	}
	r := &race{f: f, candidates: []destination{{group: small}, {group: large}}}
	if r.score(1)*3 > r.score(0) {
		t.Errorf("the large group scores %v, the small one %v", r.score(1), r.score(0))
	}
}
