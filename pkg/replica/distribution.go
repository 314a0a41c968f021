package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// distributeFrom is the number of VMs in a failure domain, or in another region, from which on one of them passes the tables
	// on to the others. Each copy crosses the link between the regions or domains: with 150 VMs in another region, the tables of
	// 3,000 targets filled it for seconds.
	distributeFrom = 12
	// directTime is how long a VM gets the tables from the coordinator after it couldn't get them in its region.
	directTime = 5 * time.Second
	// doubtTime is how long a complaint about a distributor counts, and maxDoubts the number of VMs that must complain until
	// another one is chosen.
	doubtTime = 2 * time.Second
	maxDoubts = 3
	// barredTime is how long a distributor that was replaced isn't chosen again.
	barredTime = 10 * time.Second
	// expectTime is how long a new coordinator expects the distributors of the former one to connect.
	expectTime = 10 * time.Second
)

// group names VMs that share a distributor: those of a failure domain, or of a whole region if domain is empty.
type group struct {
	region, domain string
}

// Distribution chooses distributors, VMs that pass the tables on to others: one in each other region and one in each failure
// domain with many VMs. It answers two loads: whole tables that cross the link between the regions once for each VM, after a
// restart or when a large configuration changes; and all VMs reading the store at once when the coordinator is lost, since
// only the distributors read it then.
//
// Invariants: a VM that is turned from a distributor to the coordinator gets the whole tables first; the sources form a tree,
// coordinator - region's distributor - domain's distributor - VM, in which each level may be missing.
type Distribution struct {
	// Region is the coordinator's own.
	Region string
	chosen map[group]*Follower
	doubts map[*Follower]map[*Follower]clock.Instant
	barred map[*Follower]clock.Instant
	// expected are the addresses of the former coordinator's distributors, until expectUntil.
	expected    map[string]bool
	expectUntil clock.Instant
}

// NewDistribution returns a distribution for a coordinator in a region.
func NewDistribution(region string) *Distribution {
	return &Distribution{
		Region: region, chosen: map[group]*Follower{}, doubts: map[*Follower]map[*Follower]clock.Instant{}, barred: map[*Follower]clock.Instant{},
	}
}

// Expect names the distributors of the former coordinator by their failure domain. Each is chosen as soon as it connects, since those
// that connect before a domain has enough VMs would all get whole tables from the coordinator.
func (d *Distribution) Expect(distributors map[string]string, now clock.Instant) {
	d.expected, d.expectUntil = map[string]bool{}, now.Add(expectTime)
	for _, address := range distributors {
		d.expected[address] = true
	}
}

// Assign sets where each VM gets the tables. It returns the distributors that are new.
func (d *Distribution) Assign(list []*Follower, now clock.Instant) (added []*Follower) {
	if now >= d.expectUntil {
		d.expected = nil
	}
	groups := d.groups(list)
	for g := range d.chosen {
		if groups[g] == nil {
			delete(d.chosen, g)
		}
	}
	for g, members := range groups {
		if d.renew(g, members, now) {
			added = append(added, d.chosen[g])
		}
	}
	for _, f := range list {
		f.assign(d.sourceOf(f, now))
	}
	return added
}

// groups returns the groups that are large enough for a distributor.
func (d *Distribution) groups(list []*Follower) map[group][]*Follower {
	groups := map[group][]*Follower{}
	for _, f := range list {
		if f.Region != d.Region {
			g := group{region: f.Region}
			groups[g] = append(groups[g], f)
		}
		if f.Domain != "" {
			g := group{f.Region, f.Domain}
			groups[g] = append(groups[g], f)
		}
	}
	for g, members := range groups {
		if len(members) < distributeFrom && !slices.ContainsFunc(members, d.expects) {
			delete(groups, g)
		}
	}
	return groups
}

func (d *Distribution) expects(f *Follower) bool {
	return d.expected[f.Address]
}

// Distributors returns the address of the distributor that each failure domain's VMs turn to.
func (d *Distribution) Distributors() map[string]string {
	list := map[string]string{}
	for g, f := range d.chosen {
		if g.domain != "" {
			list[g.domain] = f.Address
		}
	}
	return list
}

// sourceOf returns the address of the VM's distributor, empty for the coordinator.
func (d *Distribution) sourceOf(f *Follower, now clock.Instant) string {
	ofRegion, ofDomain := d.chosen[group{region: f.Region}], d.chosen[group{f.Region, f.Domain}]
	switch {
	case now < f.directUntil || f == ofRegion:
		return ""
	case ofDomain != nil && f != ofDomain:
		return ofDomain.Address
	case ofRegion != nil:
		return ofRegion.Address
	default:
		return ""
	}
}

func (f *Follower) assign(source string) {
	if f.Distributor == source {
		return
	}
	f.Distributor, f.Reassigned = source, true
	f.Fresh = source == ""
}

// renew chooses a distributor for a group if there is none that is fit. It tells whether there is a new one.
func (d *Distribution) renew(g group, members []*Follower, now clock.Instant) bool {
	chosen := d.chosen[g]
	if chosen != nil && slices.Contains(members, chosen) && !d.doubted(chosen, now) {
		return false
	}
	if chosen != nil {
		d.barred[chosen] = now.Add(barredTime)
		delete(d.doubts, chosen)
	}
	delete(d.chosen, g)
	fit := slices.DeleteFunc(slices.Clone(members), func(f *Follower) bool { return f.Address == "" || now < d.barred[f] })
	if slices.ContainsFunc(fit, d.expects) {
		fit = slices.DeleteFunc(fit, func(f *Follower) bool { return !d.expects(f) })
	}
	if len(fit) == 0 {
		return false
	}
	d.chosen[g] = slices.MinFunc(fit, func(a, b *Follower) int {
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
	chosen := d.chosen[group{f.Region, f.Domain}]
	if chosen == nil || chosen.Address != address {
		chosen = d.chosen[group{region: f.Region}]
	}
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
