package gateway

import (
	"net/http"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/topology"
)

// Guards against orders that wait until their deadline, or are refused for good, because no target of their home group
// serves while other groups of the pool do.
func TestOrderOfAnIdleGroupRunsInAnother(t *testing.T) {
	f := newFixture(t, defaultPool(2))
	sibling := topology.NewGroupID(testPool, testDomain, 1)
	home := &f.table.Groups[0]
	f.table.Groups = append(f.table.Groups, topology.Group{
		ID: sibling, Gateway: testVM, Epoch: home.Epoch + 1, Targets: home.Targets[1:],
	})
	f.table.Groups[0].Targets = f.table.Groups[0].Targets[:1]
	f.apply()
	g := f.group()
	g.mu.Lock()
	g.targets[0].out = true
	g.mu.Unlock()

	begin := time.Now()
	for range 2 {
		status, _, err := f.do(within(t, 5*time.Second), newOrder("order", 1), "part")
		if err != nil || status != http.StatusOK {
			t.Fatalf("status %d, error %v", status, err)
		}
	}
	if n := f.runs("order"); n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("the orders took %v", took)
	}
}
