package sharedrate

import (
	"hash/fnv"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
)

const (
	// fractionError is the rounding error of sums of fractions below which a difference is ignored.
	fractionError = 1e-9
	// overlapTime is how long two coordinators may act at the same time although leases prevent it, as a margin.
	overlapTime = 2 * time.Second
)

// GranterOptions are the settings of a Granter.
type GranterOptions struct {
	// Coordinator identifies this term of the coordinator among all of all VMs; it isn't 0.
	Coordinator uint64
	Allowance   Allowance
	// Inherited are the VMs that may hold shares of predecessors.
	Inherited Holders
	// VM is the coordinator's own name. Own is the share that the coordinator's VM has surrendered. The predecessor may use it until OwnLentUntil.
	VM           string
	Own          float64
	OwnLentUntil clock.Instant
	// Process is when the coordinator's process was started, in nanoseconds. Predecessor is the VM of the former coordinator, whose
	// process is Inherited.Broker.
	Process     int64
	Predecessor string
	// Address is where other VMs reach the coordinator, PredecessorAddress where they reached the former one.
	Address, PredecessorAddress string
	// QuietSince is since when no process of the coordinator's VM has taken a token of its own share.
	QuietSince clock.Instant
}

// Holders are the VMs that may hold shares, as a coordinator stores them before it grants any.
type Holders struct {
	// Names are HashName of the VMs' names, in order. MaxShare is the largest fraction that one of them may hold.
	Names    []uint32
	MaxShare float64
	// Broker is the process of the coordinator that stores this, once no earlier coordinator can have used any quota within the last
	// window; before, it is RecentBroker. It is 0 in rows of versions that don't know it.
	Broker int64
}

// RecentBroker is stored instead of the process of a coordinator that has taken over within the last window.
const RecentBroker int64 = -1

// unnamedHolder stands for holders whose names aren't known. No VM that runs is expected to have this hash.
const unnamedHolder = 0

// UnknownHolders returns holders of which nothing is known: any VM may hold any share.
func UnknownHolders() Holders {
	return Holders{Names: []uint32{unnamedHolder}, MaxShare: 1}
}

// Common returns the VMs that both name, with a share that both permit.
func (h Holders) Common(other Holders) Holders {
	common := Holders{MaxShare: min(h.MaxShare, other.MaxShare)}
	for _, name := range h.Names {
		if _, ok := slices.BinarySearch(other.Names, name); ok {
			common.Names = append(common.Names, name)
		}
	}
	return common
}

// HashName returns the 32-bit FNV-1a hash of a VM's name. Two of 300 VMs have the same one with a probability of 0.00001.
func HashName(name string) uint32 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	return h.Sum32()
}

// Granter is the coordinator's side: the ledger of the shares, and the token buckets for the requests that the broker places. It
// isn't safe for concurrent use.
//
// Invariant: unknown + leftovers + the charges of all members is at most 1. The broker uses what is left after subtracting unknown,
// the leftovers and the charges of the members that don't lend.
type Granter struct {
	options GranterOptions
	started clock.Instant
	// predecessorEnded is set once the predecessor's process is known to have ended, and earlier coordinators with it.
	predecessorEnded bool
	// quietSince is since when neither the predecessor, once it has ended, nor the VMs seen of those that were missing have taken a token.
	quietSince clock.Instant
	// authority is until when this VM is certainly the coordinator; afterwards it uses nothing.
	authority clock.Instant
	// stored are the VMs that the store has as holders, and storedShare the share that they may hold at most.
	stored      map[uint32]bool
	storedShare float64
	// missing are the VMs that may hold shares of predecessors and haven't connected, until unknownEnd. Each holds maxShare at
	// most, and all together unknown.
	missing    map[uint32]bool
	maxShare   float64
	unknown    float64
	unknownEnd clock.Instant
	members    map[string]*member
	// leftovers are shares of ended processes that another coordinator may still use.
	leftovers []leftover
	// charged is the sum of the charges and leftovers.
	charged float64

	supply supply
	// next is when the level changes by itself, and dirty is set if it may have changed already.
	next  clock.Instant
	dirty bool
	// admitted counts requests at their admission, sent counts them when they are placed. A request waits between the two, so
	// that only the second bounds what is sent within a window.
	admitted, sent buckets
}

// member is a VM in the ledger.
type member struct {
	process int64
	// granted is the share that was offered last with serial; previous is the one that the VM may still hold, until it confirms
	// the serial.
	granted, previous float64
	serial, confirmed uint32
	// stamp is the newest stamp of the VM.
	stamp int64
	// heardAt is when the VM's last answer arrived. Its grant ends before end.
	heardAt, end clock.Instant
	// lentUntil is until when the coordinator may use the share.
	lentUntil clock.Instant
	// unlent is set until the VM lends a share that it held before this coordinator's term.
	unlent bool
}

// charge is the largest share that the VM may hold.
func (m *member) charge() float64 {
	if m.confirmed == m.serial {
		return m.granted
	}
	return max(m.granted, m.previous)
}

type leftover struct {
	fraction float64
	until    clock.Instant
	// inherited is set if only predecessors of this coordinator can use it.
	inherited bool
}

// NewGranter returns the ledger of a new coordinator.
func NewGranter(o GranterOptions, now clock.Instant) *Granter {
	g := &Granter{options: o, started: now, members: map[string]*member{}, missing: map[uint32]bool{}, supply: newSupply(now), dirty: true}
	for _, name := range o.Inherited.Names {
		g.missing[name] = true
	}
	g.maxShare, g.unknownEnd = o.Inherited.MaxShare, now.Add(clock.WithDrift(GrantTime)+overlapTime)
	g.predecessorEnded, g.quietSince = o.provesEnd(o.VM, o.Address, o.Process), o.QuietSince
	g.inheritRest(now)
	capacity := func(l Limit, level float64) float64 {
		if level <= fractionError {
			return 0
		}
		return max(o.Allowance.initialTokens(), l.Burst*level)
	}
	initial := o.Allowance.initialTokens()
	if o.Predecessor != "" && o.Inherited.Broker <= 0 {
		// The predecessor may have had these tokens within the same window, and could overdraw its buckets too. A row of an earlier
		// version doesn't tell since when it had its role.
		initial = -o.Allowance.debt()
	}
	if g.predecessorEnded {
		g.addIdle(g.free())
	}
	g.admitted = newBuckets(&g.supply, initial, capacity)
	g.sent = newBuckets(&g.supply, initial, capacity)
	return g
}

// provesEnd reports whether a process of a VM proves that the predecessor's process has ended, because it is a later one of the same VM.
// At another address, it may run on a machine that has replaced the predecessor's, which may still run.
func (o GranterOptions) provesEnd(vm, address string, process int64) bool {
	return o.Inherited.Broker > 0 && vm == o.Predecessor && address == o.PredecessorAddress && process > o.Inherited.Broker
}

// SetAuthority sets until when this VM is certainly the coordinator, and the holders that it has stored. It grants shares to these
// only.
func (g *Granter) SetAuthority(until clock.Instant, stored Holders, now clock.Instant) {
	g.advance(now)
	if until != g.authority {
		g.authority, g.dirty = until, true
	}
	if len(stored.Names) != len(g.stored) || slices.ContainsFunc(stored.Names, func(n uint32) bool { return !g.stored[n] }) {
		g.stored = make(map[uint32]bool, len(stored.Names))
		for _, name := range stored.Names {
			g.stored[name] = true
		}
	}
	g.storedShare = stored.MaxShare
}

// Holders returns the VMs that hold shares or are about to get one, for the store.
func (g *Granter) Holders(now clock.Instant) Holders {
	g.advance(now)
	h := Holders{MaxShare: g.target(), Broker: RecentBroker}
	if now.Sub(g.started) >= g.options.Allowance.brokerInterval() {
		h.Broker = g.options.Process
	}
	if len(g.missing) > 0 {
		h.MaxShare = max(h.MaxShare, g.maxShare)
	}
	names := maps.Clone(g.missing)
	for name, m := range g.members {
		names[HashName(name)] = true
		h.MaxShare = max(h.MaxShare, m.charge())
	}
	h.Names = slices.Sorted(maps.Keys(names))
	return h
}

// inheritRest keeps unused for a while what the predecessor hadn't granted, as a margin for a predecessor that still acts. The own share is
// known.
func (g *Granter) inheritRest(now clock.Instant) {
	o := g.options
	g.noteSeen(o.VM, o.Own, now)
	g.keepInherited(o.Own, o.OwnLentUntil)
	if o.Inherited.MaxShare > 0 {
		rest := 1 - o.Own - float64(len(g.missing))*g.maxShare
		g.keepInherited(max(0, rest), now.Add(clock.WithDrift(LendTime)))
	}
}

// keepInherited leaves a share unused that a predecessor may use until the given time, unless its process has ended.
func (g *Granter) keepInherited(fraction float64, until clock.Instant) {
	if !g.predecessorEnded {
		g.leftovers = append(g.leftovers, leftover{fraction: fraction, until: until, inherited: true})
	}
}

// notePredecessor frees what the predecessor may have used, once a process proves that it has ended.
func (g *Granter) notePredecessor(vm string, a Answer) {
	if g.predecessorEnded || !g.options.provesEnd(vm, a.Address, a.Process) {
		return
	}
	g.predecessorEnded, g.dirty = true, true
	g.leftovers = slices.DeleteFunc(g.leftovers, func(l leftover) bool { return l.inherited })
}

// noteSeen records that a VM that was missing has been seen, with the share that it holds. The rest of what it may have held is free, but
// a predecessor may still use what it has borrowed from an earlier process.
func (g *Granter) noteSeen(vm string, held float64, now clock.Instant) {
	name := HashName(vm)
	if !g.missing[name] {
		return
	}
	delete(g.missing, name)
	g.dirty = true
	if rest := g.maxShare - held; rest > fractionError {
		g.keepInherited(rest, now.Add(clock.WithDrift(LendTime)))
	}
}

// advance accounts for the time until now.
func (g *Granter) advance(now clock.Instant) {
	for {
		if g.dirty || g.supply.at >= g.next {
			g.recompute()
		}
		if now <= g.supply.at {
			return
		}
		g.supply.advance(min(now, g.next))
	}
}

// recompute drops what has ended and sets the level at the supply's time.
func (g *Granter) recompute() {
	now := g.supply.at
	g.dirty, g.next = false, clock.Instant(math.MaxInt64)
	g.charged = 0
	unlent := g.expireLeftovers(now)
	for name, m := range g.members {
		if now >= m.end {
			delete(g.members, name)
			continue
		}
		charge := m.charge()
		g.charged += charge
		g.next = min(g.next, m.end)
		if now < m.lentUntil {
			g.next = min(g.next, m.lentUntil)
		} else {
			unlent += charge
		}
	}
	g.charged = roundFraction(g.charged)
	g.updateUnknown(now)
	level := max(0, roundFraction(1-unlent-g.unknown))
	if level < fractionError || now >= g.authority {
		level = 0
	} else {
		g.next = min(g.next, g.authority)
	}
	g.supply.set(level)
}

// roundFraction removes the differences that come from the order in which members are added up.
func roundFraction(f float64) float64 {
	return math.Round(f/fractionError) * fractionError
}

// updateUnknown computes what the missing VMs may hold.
func (g *Granter) updateUnknown(now clock.Instant) {
	if now >= g.unknownEnd {
		clear(g.missing)
	} else if len(g.missing) > 0 {
		g.next = min(g.next, g.unknownEnd)
	}
	g.unknown = max(0, min(1-g.charged, float64(len(g.missing))*g.maxShare))
}

func (g *Granter) expireLeftovers(now clock.Instant) float64 {
	sum, kept := 0.0, g.leftovers[:0]
	for _, l := range g.leftovers {
		if now < l.until {
			kept, sum, g.next = append(kept, l), sum+l.fraction, min(g.next, l.until)
		}
	}
	g.leftovers = kept
	g.charged += sum
	return sum
}

// Answer records the answer of a connected VM.
func (g *Granter) Answer(vm string, a Answer, now clock.Instant) {
	g.advance(now)
	m := g.members[vm]
	if m != nil && a.Process < m.process {
		return
	}
	if m != nil && a.Process > m.process {
		// Released first, so that a share that this coordinator has used doesn't count as idle below.
		g.release(m, now)
		delete(g.members, vm)
		m = nil
	}
	inherited := g.missing[HashName(vm)] || !g.predecessorEnded && g.options.provesEnd(vm, a.Address, a.Process)
	free := 0.0
	if inherited {
		free = g.free()
		g.noteQuiet(a, now)
	}
	g.notePredecessor(vm, a)
	if m == nil {
		m = &member{process: a.Process}
		g.members[vm], g.dirty = m, true
	}
	g.noteShare(vm, m, a, now)
	m.stamp = max(m.stamp, a.Stamp)
	m.heardAt, m.end = now, now.Add(clock.WithDrift(GrantTime))
	if inherited {
		m.unlent = m.charge() > 0
		if g.predecessorEnded {
			g.addIdle(g.free() - free)
		}
	}
	if a.Coordinator == g.options.Coordinator && a.Echo > 0 {
		g.noteLent(m, clock.Instant(a.Echo).Add(LendTime), now)
		g.noteFirstLent(m, a, now)
	}
}

// noteQuiet records since when a VM has taken no token.
func (g *Granter) noteQuiet(a Answer, now clock.Instant) {
	quiet := time.Duration(a.QuietMs) * time.Millisecond
	g.quietSince = max(g.quietSince, now.Add(-time.Duration(float64(quiet)*(1-clock.MaxDrift))))
}

// noteFirstLent gives the buckets what a share from before this term has gained while the VM waited until it could lend it. After a late
// answer the VM may use the share itself, together with what it has gained.
func (g *Granter) noteFirstLent(m *member, a Answer, now clock.Instant) {
	if !m.unlent || now >= min(m.lentUntil, g.authority) {
		return
	}
	m.unlent = false
	if g.predecessorEnded {
		g.noteQuiet(a, now)
		g.addIdle(m.charge())
	}
}

// free returns the fraction that nobody else holds or may hold. What is kept unused for a predecessor may add up to more than all.
func (g *Granter) free() float64 {
	if g.dirty {
		g.recompute()
	}
	return max(0, 1-g.unknown-g.charged)
}

// addIdle records that the broker may use a further fraction that nobody has used since the predecessor's end.
func (g *Granter) addIdle(fraction float64) {
	g.supply.addIdle(fraction, g.supply.at.Sub(g.quietSince))
}

// noteLent records until when a VM lends its share. The end of an earlier time at which the level is computed again needn't change.
func (g *Granter) noteLent(m *member, until, now clock.Instant) {
	if until <= m.lentUntil {
		return
	}
	g.dirty = g.dirty || now >= m.lentUntil
	m.lentUntil = until
}

// noteShare records the share that a VM holds.
func (g *Granter) noteShare(vm string, m *member, a Answer, now clock.Instant) {
	g.noteSeen(vm, a.Fraction, now)
	if a.GrantedBy == g.options.Coordinator {
		if a.Serial == m.serial && m.confirmed != m.serial {
			m.confirmed, g.dirty = a.Serial, true
		}
		return
	}
	held := a.Fraction
	if a.LeftMs <= 0 {
		held = 0
	}
	extra := held - m.charge()
	if extra <= fractionError {
		return
	}
	// The share was granted by another coordinator.
	m.granted, m.previous = held, held
	m.serial++
	g.dirty = true
}

// release frees the share of a process that has ended. Another coordinator may have borrowed it from the process only after the last
// commitment to this one had ended, and may use it for LendTime.
func (g *Granter) release(m *member, now clock.Instant) {
	g.dirty = true
	if now.Sub(m.heardAt) >= LendTime && m.charge() > 0 {
		g.leftovers = append(g.leftovers, leftover{fraction: m.charge(), until: now.Add(clock.WithDrift(LendTime))})
	}
}

// Offer returns what is sent to a connected VM now.
func (g *Granter) Offer(vm string, now clock.Instant) Offer {
	g.advance(now)
	o := Offer{Coordinator: g.options.Coordinator, Stamp: int64(now)}
	m := g.members[vm]
	if m == nil {
		return o
	}
	if m.confirmed == m.serial && now < m.lentUntil && now < g.authority && g.stored[HashName(vm)] {
		g.adjust(m, now)
	}
	if now < g.authority {
		// A grant that is renewed later could outlast what the successor assumes.
		o.Process, o.Echo, o.Fraction, o.Serial = m.process, m.stamp, m.granted, m.serial
	}
	return o
}

// adjust moves the share of a VM towards an equal one.
func (g *Granter) adjust(m *member, now clock.Instant) {
	target := g.target()
	room := max(0, 1-g.unknown-g.charged)
	next := min(target, m.granted+room, max(m.granted, g.storedShare))
	if math.Abs(next-m.granted) < target/32 {
		return
	}
	m.previous, m.granted = m.granted, next
	m.serial++
	g.dirty = true
	g.advance(now)
}

// target is the share that each VM should hold.
func (g *Granter) target() float64 {
	return 1 / float64(roundUpVMs(len(g.members)))
}

// roundUpVMs rounds a number of VMs up by at most an eighth, so that not each VM that joins changes all shares. What isn't granted is
// used by the broker.
func roundUpVMs(vms int) int {
	step := 1
	for vms > 16*step {
		step *= 2
	}
	return (max(vms, 1) + step - 1) / step * step
}

// Level returns the fraction of all limits that the broker may use now.
func (g *Granter) Level(now clock.Instant) float64 {
	g.advance(now)
	return g.supply.level
}

// Admit takes the token of a request that is admitted, or returns when the caller should return. A further attempt of a request may
// overdraw the bucket.
func (g *Granter) Admit(name string, l Limit, further bool, now clock.Instant) (Verdict, time.Duration) {
	g.advance(now)
	if g.supply.level <= 0 {
		return NoShare, noShareRetryTime
	}
	e := g.admitted.get(name, l)
	if e.tokens < g.minTokens(further) {
		return OverLimit, g.admitted.refuse(e, now)
	}
	e.tokens--
	e.taken++
	return Granted, 0
}

// Return gives back the token of a request that was refused without having been sent.
func (g *Granter) Return(name string, l Limit, now clock.Instant) {
	g.advance(now)
	e := g.admitted.get(name, l)
	e.tokens = min(e.tokens+1, g.admitted.capacity(l, g.supply.level))
	e.taken--
}

// Send reports whether an admitted request may be sent now, and counts it if so.
func (g *Granter) Send(name string, l Limit, further bool, now clock.Instant) bool {
	g.advance(now)
	if g.supply.level <= 0 {
		return false
	}
	e := g.sent.get(name, l)
	if e.tokens < g.minTokens(further) {
		return false
	}
	e.tokens--
	return true
}

// SendWait returns how long a request waits until it may be sent, behind the given number of others that wait for the same reason.
func (g *Granter) SendWait(name string, l Limit, ahead int, now clock.Instant) time.Duration {
	g.advance(now)
	if g.supply.level <= 0 {
		return noShareRetryTime
	}
	return seconds((1 - g.sent.get(name, l).tokens + float64(ahead)) / (l.Rate * g.supply.level))
}

// RefuseBehind returns when a caller should return that is refused because the given number of requests wait until they may be sent.
func (g *Granter) RefuseBehind(name string, l Limit, ahead int, now clock.Instant) time.Duration {
	g.advance(now)
	if g.supply.level <= 0 {
		return noShareRetryTime
	}
	return g.sent.refuse(g.sent.get(name, l), now) + seconds(float64(ahead)/(l.Rate*g.supply.level))
}

// ReturnSent gives back the token of a request that Send has counted and that will not be sent.
func (g *Granter) ReturnSent(name string, l Limit, now clock.Instant) {
	g.advance(now)
	e := g.sent.get(name, l)
	e.tokens = min(e.tokens+1, g.sent.capacity(l, g.supply.level))
}

func (g *Granter) minTokens(further bool) float64 {
	if further {
		return 1 - g.options.Allowance.debt()
	}
	return 1
}

// GranterState is the state of a Granter as shown to operators. All values but VMs and Uses are fractions.
type GranterState struct {
	// Usable is what the broker may use, Unknown what a predecessor may have granted, and Charged what is granted.
	Usable  float64 `json:"usable"`
	Unknown float64 `json:"unknown"`
	Charged float64 `json:"charged"`
	VMs     int     `json:"vms"`
	// PredecessorEnded tells that the former coordinator's process is known to have ended, so that nothing is left unused for it.
	PredecessorEnded bool `json:"predecessor_ended"`
	// Uses are the organisations with the least tokens left.
	Uses []Use `json:"organisations"`
}

// State returns the state with at most count organisations.
func (g *Granter) State(count int, now clock.Instant) GranterState {
	g.advance(now)
	return GranterState{Usable: g.supply.level, Unknown: g.unknown, Charged: g.charged, VMs: len(g.members), PredecessorEnded: g.predecessorEnded, Uses: g.admitted.top(count)}
}

// Idle reports whether nobody can hold a share, so that the ledger can be dropped.
func (g *Granter) Idle(now clock.Instant) bool {
	g.advance(now)
	return len(g.missing) == 0 && g.charged == 0
}
