package replica

import (
	"fmt"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

// newRegion returns n followers in a region. The last one has the lowest BaseElectionDelay.
func newRegion(name string, n int) []*Follower {
	var followers []*Follower
	for i := range n {
		followers = append(followers, &Follower{
			VM: fmt.Sprint(name, i), Region: name, Address: fmt.Sprintf("%s:%d", name, i), BaseElectionDelay: time.Duration(n-i) * time.Millisecond, NeedsTables: true,
		})
	}
	return followers
}

// countDirect counts the VMs that get the tables from the coordinator.
func countDirect(list []*Follower) int {
	n := 0
	for _, f := range list {
		if f.Distributor == "" {
			n++
		}
	}
	return n
}

// TestLargeRegionHasOneDistributor checks that the tables cross the link to a large region once instead of once for each VM
// there.
func TestLargeRegionHasOneDistributor(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	far, near, small := newRegion("far", 150), newRegion("own", 150), newRegion("small", minGroupSize-1)
	all := append(append(append([]*Follower{}, far...), near...), small...)
	added := d.Assign(all, now)
	if len(added) != 1 || added[0] != far[149] {
		t.Fatalf("got new distributors %v, want only the last VM of the far region", added)
	}
	if n := countDirect(far); n != 1 || countDirect(near) != len(near) || countDirect(small) != len(small) {
		t.Errorf("%d far, %d near and %d small-region VMs get the tables from the coordinator", n, countDirect(near), countDirect(small))
	}
	if far[0].NeedsTables || !far[149].NeedsTables {
		t.Error("whole tables are due to a VM that has a distributor, or not due to the distributor")
	}
	stronger := &Follower{VM: "late", Region: "far", Address: "far:late", NeedsTables: true}
	if d.Assign(append(all, stronger), now) != nil {
		t.Error("distributor was replaced without need")
	}
}

// TestUnreachableDistributorFallsBackToCoordinator checks that a VM doesn't keep waiting for a distributor that it can't reach,
// and that it gets the whole tables before any changes to them.
func TestUnreachableDistributorFallsBackToCoordinator(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	far := newRegion("far", 20)
	d.Assign(far, now)
	f := far[0]
	d.Unreachable(f, "another", now)
	if d.Assign(far, now); f.Distributor == "" {
		t.Error("complaint about another address was counted")
	}
	d.Unreachable(f, f.Distributor, now)
	d.Assign(far, now)
	if f.Distributor != "" || !f.NeedsTables || countDirect(far) != 2 {
		t.Errorf("distributor is %q, whole tables due: %v, VMs served by the coordinator: %d", f.Distributor, f.NeedsTables, countDirect(far))
	}
	f.NeedsTables = false
	if d.Assign(far, now.Add(directPeriod)); f.Distributor == "" || f.NeedsTables {
		t.Error("distributor was not tried again")
	}
}

// TestFailedDistributorIsReplaced checks that the coordinator doesn't have to send whole tables to all VMs of a region at once
// when the distributor is lost or stalls.
func TestFailedDistributorIsReplaced(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	far := newRegion("far", 20)
	d.Assign(far, now)
	for _, f := range far[:complaintThreshold] {
		d.Unreachable(f, f.Distributor, now)
	}
	added := d.Assign(far, now)
	if len(added) != 1 || added[0] != far[18] || far[10].Distributor != far[18].Address {
		t.Fatalf("got new distributors %v", added)
	}
	if n := countDirect(far); n > complaintThreshold+1 {
		t.Errorf("%d VMs get the tables from the coordinator", n)
	}
	d.Remove(far[18])
	added = d.Assign(append(far[:18:18], far[19]), now)
	if len(added) != 1 || added[0] != far[17] {
		t.Errorf("after the loss of one distributor and complaints about another, got new distributors %v", added)
	}
}

// newDomains returns n followers in each of the given failure domains of a region.
func newDomains(name string, n int, names ...string) []*Follower {
	var followers []*Follower
	for _, domain := range names {
		for _, f := range newRegion(name+domain, n) {
			f.Region, f.Domain = name, domain
			followers = append(followers, f)
		}
	}
	return followers
}

// TestDistributorsFormTree checks that the coordinator doesn't send the tables to each VM of its own region, that they cross
// the link between the regions only once, and that they reach every VM: the sources must not form a cycle.
func TestDistributorsFormTree(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	near, far := newDomains("own", 37, "a", "b", "c", "d"), newDomains("far", 37, "e", "f", "g", "h")
	all := append(append([]*Follower{}, near...), far...)
	if added := d.Assign(all, now); len(added) != 9 {
		t.Errorf("got %d distributors, want 9", len(added))
	}
	if countDirect(near) != 4 || countDirect(far) != 1 {
		t.Errorf("%d near and %d far VMs get the tables from the coordinator", countDirect(near), countDirect(far))
	}
	byAddress := map[string]*Follower{}
	for _, f := range all {
		byAddress[f.Address] = f
	}
	for _, f := range all {
		hops := 0
		for source := f; source.Distributor != ""; source = byAddress[source.Distributor] {
			if hops++; hops > 2 {
				t.Fatalf("the tables pass through more than two VMs to reach %s", f.VM)
			}
		}
	}
	if got := d.Distributors(); len(got) != 8 || byAddress[got["b"]].Domain != "b" {
		t.Errorf("got domain distributors %v", got)
	}
}

// TestFailedDomainDistributorIsReplaced checks that a failure domain doesn't keep a distributor that its VMs can't reach, and
// that a domain with few VMs has none.
func TestFailedDomainDistributorIsReplaced(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	all := append(newDomains("own", 20, "a"), newDomains("own", minGroupSize-1, "b")...)
	d.Assign(all, now)
	if countDirect(all) != 1+minGroupSize-1 {
		t.Errorf("%d VMs get the tables from the coordinator", countDirect(all))
	}
	for _, f := range all[:complaintThreshold] {
		d.Unreachable(f, f.Distributor, now)
	}
	if added := d.Assign(all, now); len(added) != 1 || added[0] != all[18] || all[10].Distributor != all[18].Address {
		t.Errorf("got new distributors %v", added)
	}
	d.Assign(all[:minGroupSize-2], now)
	if n := countDirect(all[:minGroupSize-2]); n != minGroupSize-2 || len(d.Distributors()) != 0 {
		t.Errorf("%d VMs of a small domain get the tables from the coordinator, distributors %v", n, d.Distributors())
	}
}

// TestExpectedDistributorsAreReused checks that a new coordinator doesn't have to send whole tables to the first VMs of each
// domain that connect to it, because it reuses the distributors of its predecessor.
func TestExpectedDistributorsAreReused(t *testing.T) {
	now := clock.Instant(time.Minute)
	d := NewDistribution("own")
	near, far := newDomains("own", 20, "a", "b"), newDomains("far", 20, "e", "f")
	expected := map[string]string{"a": near[3].Address, "b": near[25].Address, "e": far[4].Address, "f": far[30].Address}
	d.Expect(expected, now)
	first := []*Follower{near[3], near[4], near[25], near[26], far[4], far[5], far[30], far[31]}
	d.Assign(first, now)
	if n := countDirect(first); n != 3 {
		t.Errorf("%d of the first VMs get the tables from the coordinator", n)
	}
	all := append(append([]*Follower{}, near...), far...)
	if added := d.Assign(all, now); len(added) != 0 {
		t.Errorf("expected distributors were replaced by %v", added)
	}
	d.Assign(first, now.Add(expectationPeriod))
	if n := countDirect(first); n != len(first) {
		t.Errorf("%d VMs have a distributor in a fleet too small for one", len(first)-n)
	}
}
