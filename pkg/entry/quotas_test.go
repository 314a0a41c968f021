package entry

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

func quotaControl(t *testing.T, vm string, now *manualClock, rate float64) *Control {
	c := clockedControl(t, vm, now)
	cfg := inventory.NewConfiguration(1, inventory.Limits{}, nil, nil)
	cfg.Organisations = map[string]*inventory.Organisation{"o": {Name: "o", Rate: rate, Burst: 40}}
	c.snapshot = inventory.NewSnapshot(cfg, nil, nil)
	c.quota = sharedrate.NewHolder(int64(now.now), sharedrate.DefaultAllowance, now.now)
	return c
}

// exchangeQuotas passes an offer and the answer between a coordinator and a VM, as broadcast and sendReport do.
func exchangeQuotas(coordinator, vm *Control, l *replica.Link) {
	f := &replica.Follower{VM: vm.settings.VM}
	vm.applyQuotaOffer(l, replica.Update{Quota: coordinator.quotaOffer(f, coordinator.clock.Now())}, vm.clock.Now())
	coordinator.recordQuotaAnswer(f, replica.Report{Quota: vm.quotaAnswer(vm.clock.Now())})
}

// Guards against a VM that has no share after it was connected, one that uses its share while it is lent, and one that uses it after the
// grant has ended.
func TestVMUsesItsShareWhileDisconnected(t *testing.T) {
	now := &manualClock{clock.Instant(time.Hour)}
	coordinator, vm := quotaControl(t, "a", now, 40), quotaControl(t, "b", now, 40)
	coordinator.placer.broker.StartQuotas(sharedrate.GranterOptions{Coordinator: 1, Allowance: sharedrate.DefaultAllowance}, now.now)
	stored := sharedrate.Holders{Names: []uint32{sharedrate.HashName("b")}, MaxShare: 1}
	coordinator.placer.broker.SetQuotaAuthority(now.now.Add(time.Hour), stored, now.now)
	if s := coordinator.placer.broker.QuotaState(0, now.now); s.Usable != 1 {
		t.Errorf("the first coordinator may use %v of the quotas, want all", s.Usable)
	}
	l := silentLink(t)
	for range 4 {
		exchangeQuotas(coordinator, vm, l)
		now.now = now.now.Add(heartbeatInterval)
	}
	take := func() sharedrate.Verdict {
		v, _ := vm.quota.Take("o", sharedrate.Limit{Rate: 40, Burst: 40}, now.now)
		return v
	}
	vm.unfollow()
	if v := take(); v != sharedrate.NoShare {
		t.Errorf("the VM uses a share that it has lent: %v", v)
	}
	now.now = now.now.Add(2 * time.Second)
	if v := take(); v != sharedrate.Granted {
		t.Errorf("the VM may not use its own share: %v", v)
	}
	now.now = now.now.Add(sharedrate.GrantTime)
	if v := take(); v != sharedrate.NoShare {
		t.Errorf("the VM uses its share after the grant's end: %v", v)
	}
}

// Guards against messages about quotas in deployments that have none.
func TestNothingIsSentWithoutQuotas(t *testing.T) {
	now := &manualClock{clock.Instant(time.Hour)}
	leader, vm := quotaControl(t, "a", now, 0), quotaControl(t, "b", now, 0)
	leader.startQuotas(now.now, coordinator.Fleet{})
	if o := leader.quotaOffer(&replica.Follower{VM: "b"}, now.now); o != nil {
		t.Errorf("the coordinator sends %+v", o)
	}
	if a := vm.quotaAnswer(now.now); a != nil {
		t.Errorf("the VM sends %+v", a)
	}
	if names, share, broker := leader.shareHolders(now.now); names != nil || share != 0 || broker != 0 {
		t.Errorf("the coordinator's row has share holders %v, %v, %v", names, share, broker)
	}
}

// Guards against holders of shares that are lost between a coordinator's row and its successor.
func TestShareHoldersAreStored(t *testing.T) {
	h := sharedrate.Holders{Names: []uint32{1, 1 << 30, math.MaxUint32}, MaxShare: 0.25}
	f := coordinator.Fleet{ShareHolders: packNames(h.Names), MaxShare: h.MaxShare}
	if got := holdersOf(f); !slices.Equal(got.Names, h.Names) || got.MaxShare != h.MaxShare {
		t.Errorf("%+v became %+v", h, got)
	}
}

// lead makes a VM the coordinator and returns a function that writes its row, up to the call to the store.
func (n *manualClock) lead(t *testing.T, c *Control) (write func(coordinator.Fleet)) {
	c.coordinator.Observe(rowstore.TableSnapshot{Version: 1}, 0, n.now)
	pending := func(effects []coordinator.Effect) bool {
		return slices.ContainsFunc(effects, func(e coordinator.Effect) bool { _, ok := e.(coordinator.Commit); return ok })
	}
	write = func(f coordinator.Fleet) {
		for range 100 {
			if pending(c.coordinator.Tick(n.now, coordinator.View{Snapshot: c.snapshot, Fleet: f}, true)) {
				return
			}
			n.now = n.now.Add(100 * time.Millisecond)
		}
		t.Fatal("the coordinator's row isn't written")
	}
	return write
}

// Guards against a share granted to a VM that the row names only until the write on its way takes effect: the successor would take the
// share for free.
func TestNoShareIsGrantedThatAPendingRowOmits(t *testing.T) {
	now := &manualClock{clock.Instant(time.Hour)}
	leader, vm, l := quotaControl(t, "a", now, 40), quotaControl(t, "b", now, 40), silentLink(t)
	named := coordinator.Fleet{ShareHolders: packNames([]uint32{sharedrate.HashName("b")}), MaxShare: 0.5}
	write, version := now.lead(t, leader), uint64(1)
	written := func() {
		version++
		leader.coordinator.Committed(version, nil, now.now)
	}
	for _, f := range []coordinator.Fleet{{}, named} {
		write(f)
		written()
	}
	leader.startQuotas(now.now, coordinator.Fleet{})
	share := func() float64 {
		for range 2 {
			leader.shareQuotas(now.now, true)
			exchangeQuotas(leader, vm, l)
		}
		return vm.quota.State(0, now.now).Share
	}
	write(coordinator.Fleet{})
	if got := share(); got != 0 {
		t.Errorf("a share of %v is granted while the VM's name is being removed from the row", got)
	}
	written()
	write(named)
	if got := share(); got != 0 {
		t.Errorf("a share of %v is granted before the row names the VM", got)
	}
	written()
	if got := share(); got != 0.5 {
		t.Errorf("a share of %v is granted, the row permits 0.5", got)
	}
}
