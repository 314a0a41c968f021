package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// distributeFrom is the number of VMs in another region from which on one of them passes the tables on to the others. Each
	// copy crosses the link between the regions: with 150 VMs there, the tables of 3,000 targets filled it for seconds.
	distributeFrom = 12
	// directTime is how long a VM gets the tables from the coordinator after it couldn't get them in its region.
	directTime = 5 * time.Second
	// doubtTime is how long a complaint about a distributor counts, and maxDoubts the number of VMs that must complain until
	// another one is chosen.
	doubtTime = 2 * time.Second
	maxDoubts = 3
	// barredTime is how long a distributor that was replaced isn't chosen again.
	barredTime = 10 * time.Second
)

// Distribution chooses a distributor in each other region with many VMs: the VM that passes the tables on to the region's others.
// It answers the load of whole tables that cross the link between the regions once for each VM, after a restart or when a large
// configuration changes.
//
// Invariant: a VM that is turned from a distributor to the coordinator gets the whole tables first.
type Distribution struct {
	// Region is the coordinator's own, whose VMs get the tables from it.
	Region string
	chosen map[string]*Follower
	doubts map[*Follower]map[*Follower]clock.Instant
	barred map[*Follower]clock.Instant
}

// NewDistribution returns a distribution for a coordinator in a region.
func NewDistribution(region string) *Distribution {
	return &Distribution{
		Region: region, chosen: map[string]*Follower{}, doubts: map[*Follower]map[*Follower]clock.Instant{}, barred: map[*Follower]clock.Instant{},
	}
}

// Assign sets where each VM gets the tables. It returns the distributors that are new.
func (d *Distribution) Assign(list []*Follower, now clock.Instant) (added []*Follower) {
	regions := map[string][]*Follower{}
	for _, f := range list {
		if f.Region != d.Region {
			regions[f.Region] = append(regions[f.Region], f)
		}
	}
	for region, members := range regions {
		if d.renew(region, members, now) {
			added = append(added, d.chosen[region])
		}
	}
	for _, f := range list {
		f.assign(d.sourceOf(f, len(regions[f.Region]), now))
	}
	return added
}

// sourceOf returns the address of the VM's distributor, empty for the coordinator.
func (d *Distribution) sourceOf(f *Follower, members int, now clock.Instant) string {
	chosen := d.chosen[f.Region]
	if f.Region == d.Region || members < distributeFrom || chosen == nil || chosen == f || now < f.directUntil {
		return ""
	}
	return chosen.Address
}

func (f *Follower) assign(source string) {
	if f.Distributor == source {
		return
	}
	f.Distributor = source
	f.Fresh = source == ""
}

// renew chooses a distributor for a region if there is none that is fit. It tells whether there is a new one.
func (d *Distribution) renew(region string, members []*Follower, now clock.Instant) bool {
	chosen := d.chosen[region]
	if chosen != nil && slices.Contains(members, chosen) && !d.doubted(chosen, now) {
		return false
	}
	if chosen != nil {
		d.barred[chosen] = now.Add(barredTime)
		delete(d.doubts, chosen)
	}
	fit := slices.DeleteFunc(slices.Clone(members), func(f *Follower) bool { return f.Address == "" || now < d.barred[f] })
	delete(d.chosen, region)
	if len(members) < distributeFrom || len(fit) == 0 {
		return false
	}
	d.chosen[region] = slices.MinFunc(fit, func(a, b *Follower) int {
		return cmp.Or(cmp.Compare(a.Weakness, b.Weakness), cmp.Compare(a.VM, b.VM))
	})
	return true
}

// doubted tells whether so many VMs have complained about a distributor that another one is better.
func (d *Distribution) doubted(chosen *Follower, now clock.Instant) bool {
	doubts := d.doubts[chosen]
	for f, at := range doubts {
		if now.Sub(at) > doubtTime {
			delete(doubts, f)
		}
	}
	return len(doubts) >= maxDoubts
}

// Unreachable notes that a VM can't get the tables from the distributor at an address. It gets them from the coordinator until it is
// tried again; if many complain, another distributor is chosen.
func (d *Distribution) Unreachable(f *Follower, address string, now clock.Instant) {
	chosen := d.chosen[f.Region]
	if chosen == nil || chosen.Address != address {
		return
	}
	if d.doubts[chosen] == nil {
		d.doubts[chosen] = map[*Follower]clock.Instant{}
	}
	d.doubts[chosen][f] = now
	if !d.doubted(chosen, now) {
		f.directUntil = now.Add(directTime)
	}
}

// Forget drops a VM whose connection has ended.
func (d *Distribution) Forget(f *Follower) {
	delete(d.doubts, f)
	delete(d.barred, f)
	for _, doubts := range d.doubts {
		delete(doubts, f)
	}
}
