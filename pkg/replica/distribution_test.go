package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// region returns the followers of a region, the last one the strongest.
func region(name string, n int) []*Follower {
	var list []*Follower
	for i := range n {
		list = append(list, &Follower{
			VM: fmt.Sprint(name, i), Region: name, Address: fmt.Sprintf("%s:%d", name, i), Weakness: time.Duration(n-i) * time.Millisecond, Fresh: true,
		})
	}
	return list
}

// direct counts the VMs that get the tables from the coordinator.
func direct(list []*Follower) int {
	n := 0
	for _, f := range list {
		if f.Distributor == "" {
			n++
		}
	}
	return n
}

// Guards against the tables crossing the link between the regions once for each VM there.
func TestOneVMOfALargeRegionGetsTheTables(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	far, near, small := region("far", 150), region("own", 150), region("small", distributeFrom-1)
	list := append(append(append([]*Follower{}, far...), near...), small...)
	added := d.Assign(list, now)
	if len(added) != 1 || added[0] != far[149] {
		t.Fatalf("the distributors are %v", added)
	}
	if n := direct(far); n != 1 || direct(near) != len(near) || direct(small) != len(small) {
		t.Errorf("%d, %d and %d VMs get the tables from the coordinator", n, direct(near), direct(small))
	}
	if far[0].Fresh || !far[149].Fresh {
		t.Error("the coordinator sends the whole tables to a VM that has a distributor, or not to the distributor")
	}
	stronger := &Follower{VM: "late", Region: "far", Address: "far:late", Fresh: true}
	if d.Assign(append(list, stronger), now) != nil {
		t.Error("a distributor is replaced without need")
	}
}

// Guards against a VM that keeps waiting for a distributor that it can't reach, and that gets changes without the tables that they
// belong to.
func TestVMWithoutItsDistributorTurnsToTheCoordinator(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	far := region("far", 20)
	d.Assign(far, now)
	f := far[0]
	d.Unreachable(f, "another", now)
	if d.Assign(far, now); f.Distributor == "" {
		t.Error("a complaint about a former distributor counts")
	}
	d.Unreachable(f, f.Distributor, now)
	d.Assign(far, now)
	if f.Distributor != "" || !f.Fresh || direct(far) != 2 {
		t.Errorf("distributor %q, whole tables due: %v, direct: %d", f.Distributor, f.Fresh, direct(far))
	}
	f.Fresh = false
	if d.Assign(far, now.Add(directTime)); f.Distributor == "" || f.Fresh {
		t.Error("the distributor isn't tried again")
	}
}

// Guards against whole tables for all VMs of a region at once when its distributor is lost or stands still.
func TestLostDistributorIsReplaced(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	far := region("far", 20)
	d.Assign(far, now)
	for _, f := range far[:maxDoubts] {
		d.Unreachable(f, f.Distributor, now)
	}
	added := d.Assign(far, now)
	if len(added) != 1 || added[0] != far[18] || far[10].Distributor != far[18].Address {
		t.Fatalf("the distributors are %v", added)
	}
	if n := direct(far); n > maxDoubts+1 {
		t.Errorf("%d VMs get the tables from the coordinator", n)
	}
	d.Forget(far[18])
	added = d.Assign(append(far[:18:18], far[19]), now)
	if len(added) != 1 || added[0] != far[17] {
		t.Errorf("after the loss of one and the doubts about another, the distributors are %v", added)
	}
}

// domains returns n followers in each of the given failure domains of a region.
func domains(name string, n int, names ...string) []*Follower {
	var list []*Follower
	for _, domain := range names {
		for _, f := range region(name+domain, n) {
			f.Region, f.Domain = name, domain
			list = append(list, f)
		}
	}
	return list
}

// Guards against tables that the coordinator sends to each VM of its own region, and that cross the link between the regions
// more than once, or never reach a VM because the sources form a circle.
func TestDomainsHaveDistributors(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	near, far := domains("own", 37, "a", "b", "c", "d"), domains("far", 37, "e", "f", "g", "h")
	list := append(append([]*Follower{}, near...), far...)
	if added := d.Assign(list, now); len(added) != 9 {
		t.Errorf("%d distributors", len(added))
	}
	if direct(near) != 4 || direct(far) != 1 {
		t.Errorf("%d near and %d far VMs get the tables from the coordinator", direct(near), direct(far))
	}
	at := map[string]*Follower{}
	for _, f := range list {
		at[f.Address] = f
	}
	for _, f := range list {
		hops := 0
		for g := f; g.Distributor != ""; g = at[g.Distributor] {
			if hops++; hops > 2 {
				t.Fatalf("the tables reach %s after more than two VMs", f.VM)
			}
		}
	}
	if got := d.Distributors(); len(got) != 8 || at[got["b"]].Domain != "b" {
		t.Errorf("the distributors are %v", got)
	}
}

// Guards against a failure domain that keeps a distributor that its VMs can't reach, and against one that has too few VMs to
// need one.
func TestDomainsDistributorIsReplaced(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	list := append(domains("own", 20, "a"), domains("own", distributeFrom-1, "b")...)
	d.Assign(list, now)
	if direct(list) != 1+distributeFrom-1 {
		t.Errorf("%d VMs get the tables from the coordinator", direct(list))
	}
	for _, f := range list[:maxDoubts] {
		d.Unreachable(f, f.Distributor, now)
	}
	if added := d.Assign(list, now); len(added) != 1 || added[0] != list[18] || list[10].Distributor != list[18].Address {
		t.Errorf("the distributors are %v", added)
	}
	d.Assign(list[:distributeFrom-2], now)
	if n := direct(list[:distributeFrom-2]); n != distributeFrom-2 || len(d.Distributors()) != 0 {
		t.Errorf("%d VMs of a small domain get the tables from the coordinator, distributors %v", n, d.Distributors())
	}
}

// Guards against whole tables for the first VMs of each domain that connect to a new coordinator.
func TestFormerDistributorsAreChosenAgain(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	near, far := domains("own", 20, "a", "b"), domains("far", 20, "e", "f")
	expected := map[string]string{"a": near[3].Address, "b": near[25].Address, "e": far[4].Address, "f": far[30].Address}
	d.Expect(expected, now)
	first := []*Follower{near[3], near[4], near[25], near[26], far[4], far[5], far[30], far[31]}
	d.Assign(first, now)
	if n := direct(first); n != 3 {
		t.Errorf("%d of the first VMs get the tables from the coordinator", n)
	}
	all := append(append([]*Follower{}, near...), far...)
	if added := d.Assign(all, now); len(added) != 0 {
		t.Errorf("they are replaced by %v", added)
	}
	d.Assign(first, now.Add(expectTime))
	if n := direct(first); n != len(first) {
		t.Errorf("a small fleet has %d distributors", len(first)-n)
	}
}
