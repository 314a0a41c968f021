package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// minGroupSize is the number of VMs in a failure domain, or in another region, from which on one of them distributes the
	// tables to the others. Each copy crosses the link between the regions or domains: with 150 VMs in another region, the
	// tables of 3,000 targets saturated it for seconds.
	minGroupSize = 12
	// directPeriod is how long a VM gets the tables from the coordinator after it couldn't get them from its distributor.
	directPeriod = 5 * time.Second
	// complaintTTL is how long a complaint about a distributor counts. complaintThreshold is the number of VMs whose complaints
	// cause the distributor to be replaced.
	complaintTTL       = 2 * time.Second
	complaintThreshold = 3
	// exclusionPeriod is how long a replaced distributor is not chosen again.
	exclusionPeriod = 10 * time.Second
	// expectationPeriod is how long a new coordinator prefers the distributors of its predecessor when they connect.
	expectationPeriod = 10 * time.Second
)

// group identifies the VMs that share a distributor: those of a failure domain, or of a whole region if domain is empty.
type group struct {
	region, domain string
}

// Distribution chooses distributors, which are VMs that pass the tables on to others: one in each other region and one in each
// failure domain with many VMs. This limits two kinds of load: whole tables that cross the link between the regions once per
// VM, after a restart or when a large configuration changes; and reads of the store by all VMs at once when the coordinator is
// lost, since only the distributors read it then.
//
// Invariants: a VM that is redirected from a distributor to the coordinator first gets the whole tables. The sources form a
// tree of coordinator, region's distributor, domain's distributor and VM, in which each of the two distributor levels may be
// missing.
type Distribution struct {
	// Region is the coordinator's region.
	Region        string
	distributors  map[group]*Follower
	complaints    map[*Follower]map[*Follower]clock.Instant
	excludedUntil map[*Follower]clock.Instant
	// expected contains the addresses of the distributors of the previous coordinator, until expectUntil.
	expected    map[string]bool
	expectUntil clock.Instant
}

// NewDistribution returns a Distribution for a coordinator in the given region.
func NewDistribution(region string) *Distribution {
	return &Distribution{
		Region: region, distributors: map[group]*Follower{}, complaints: map[*Follower]map[*Follower]clock.Instant{}, excludedUntil: map[*Follower]clock.Instant{},
	}
}

// Expect sets the distributors of the previous coordinator, by failure domain. Each is chosen as soon as it connects; otherwise
// the VMs that connect before their domain is large enough for a distributor would all get whole tables from the coordinator.
func (d *Distribution) Expect(distributors map[string]string, now clock.Instant) {
	d.expected, d.expectUntil = map[string]bool{}, now.Add(expectationPeriod)
	for _, address := range distributors {
		d.expected[address] = true
	}
}

// Assign sets the source of the tables for each VM. It returns the new distributors.
func (d *Distribution) Assign(followers []*Follower, now clock.Instant) (added []*Follower) {
	if now >= d.expectUntil {
		d.expected = nil
	}
	groups := d.groups(followers)
	for g := range d.distributors {
		if groups[g] == nil {
			delete(d.distributors, g)
		}
	}
	for g, members := range groups {
		if d.ensureDistributor(g, members, now) {
			added = append(added, d.distributors[g])
		}
	}
	for _, f := range followers {
		f.setDistributor(d.source(f, now))
	}
	return added
}

// groups returns the groups that get a distributor: those that are large enough or contain an expected one.
func (d *Distribution) groups(followers []*Follower) map[group][]*Follower {
	groups := map[group][]*Follower{}
	for _, f := range followers {
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
		if len(members) < minGroupSize && !slices.ContainsFunc(members, d.isExpected) {
			delete(groups, g)
		}
	}
	return groups
}

func (d *Distribution) isExpected(f *Follower) bool {
	return d.expected[f.Address]
}

// Distributors returns the addresses of the domain distributors by failure domain.
func (d *Distribution) Distributors() map[string]string {
	addresses := map[string]string{}
	for g, f := range d.distributors {
		if g.domain != "" {
			addresses[g.domain] = f.Address
		}
	}
	return addresses
}

// source returns the address of the distributor that a VM gets the tables from, or "" for the coordinator.
func (d *Distribution) source(f *Follower, now clock.Instant) string {
	regionDistributor, domainDistributor := d.distributors[group{region: f.Region}], d.distributors[group{f.Region, f.Domain}]
	switch {
	case now < f.directUntil || f == regionDistributor:
		return ""
	case domainDistributor != nil && f != domainDistributor:
		return domainDistributor.Address
	case regionDistributor != nil:
		return regionDistributor.Address
	default:
		return ""
	}
}

func (f *Follower) setDistributor(address string) {
	if f.Distributor == address {
		return
	}
	f.Distributor, f.DistributorChanged = address, true
	f.NeedsTables = address == ""
}

// ensureDistributor chooses a distributor for a group if it has none, or if the present one has left the group or has too many
// complaints. It reports whether a new distributor was chosen.
func (d *Distribution) ensureDistributor(g group, members []*Follower, now clock.Instant) bool {
	current := d.distributors[g]
	if current != nil && slices.Contains(members, current) && !d.hasTooManyComplaints(current, now) {
		return false
	}
	if current != nil {
		d.excludedUntil[current] = now.Add(exclusionPeriod)
		delete(d.complaints, current)
	}
	delete(d.distributors, g)
	candidates := slices.DeleteFunc(slices.Clone(members), func(f *Follower) bool { return f.Address == "" || now < d.excludedUntil[f] })
	if slices.ContainsFunc(candidates, d.isExpected) {
		candidates = slices.DeleteFunc(candidates, func(f *Follower) bool { return !d.isExpected(f) })
	}
	if len(candidates) == 0 {
		return false
	}
	d.distributors[g] = slices.MinFunc(candidates, func(a, b *Follower) int {
		return cmp.Or(cmp.Compare(a.BaseElectionDelay, b.BaseElectionDelay), cmp.Compare(a.VM, b.VM))
	})
	return true
}

// hasTooManyComplaints reports whether enough VMs have recently complained about a distributor to replace it.
func (d *Distribution) hasTooManyComplaints(distributor *Follower, now clock.Instant) bool {
	complaints := d.complaints[distributor]
	for f, at := range complaints {
		if now.Sub(at) > complaintTTL {
			delete(complaints, f)
		}
	}
	return len(complaints) >= complaintThreshold
}

// Unreachable records the complaint of a VM that can't get the tables from the distributor at an address. The VM gets them from
// the coordinator for directPeriod. If enough VMs complain, another distributor is chosen.
func (d *Distribution) Unreachable(f *Follower, address string, now clock.Instant) {
	distributor := d.distributors[group{f.Region, f.Domain}]
	if distributor == nil || distributor.Address != address {
		distributor = d.distributors[group{region: f.Region}]
	}
	if distributor == nil || distributor.Address != address {
		return
	}
	if d.complaints[distributor] == nil {
		d.complaints[distributor] = map[*Follower]clock.Instant{}
	}
	d.complaints[distributor][f] = now
	if !d.hasTooManyComplaints(distributor, now) {
		f.directUntil = now.Add(directPeriod)
	}
}

// Remove forgets a VM whose connection has ended.
func (d *Distribution) Remove(f *Follower) {
	delete(d.complaints, f)
	delete(d.excludedUntil, f)
	for _, complaints := range d.complaints {
		delete(complaints, f)
	}
}
