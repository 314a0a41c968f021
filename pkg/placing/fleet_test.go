package placing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
)

const (
	// In limitWindow, a target may get limitTolerance times the requests that its limit permits, and limitExtra more.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitExtra     = 5
	// fleetLearnTime is the time from the start in which all VMs learn of the limit.
	fleetLearnTime = 2 * time.Second
	fleetTestTime  = 40 * time.Second
	fleetTick      = 5 * time.Millisecond
	// In each second, a cold target may get coldTolerance times its rate, and coldExtra more.
	coldTolerance = 1.5
	coldExtra     = 5
)

// fleetSim simulates VMs and brokers that place requests at one target. Brokers are replaced, VMs are cut off from theirs or restart, and
// at times two VMs act as broker.
type fleetSim struct {
	t       *testing.T
	random  *rand.Rand
	now     clock.Instant
	target  *inventory.Target
	cfg     *inventory.Configuration
	says    ratelimit.Notice
	vms     []*fleetVM
	brokers []*fleetBroker
	seq     uint64
	ends    map[clock.Instant][]func()
	// arrivals are the times of the requests, and brokered the number of those that a broker placed.
	arrivals []clock.Instant
	brokered int
}

type fleetVM struct {
	name     string
	balancer *Balancer
	limits   *ratelimit.Tracker
	broker   *fleetBroker
	// linksAt is when the VM connects to the newest broker, zero if it is connected or stays cut off.
	linksAt clock.Instant
	// ready is set once the VM has got its tables. A new process gets them, with the limits, from the coordinator.
	ready bool
}

type fleetBroker struct {
	*Broker
	limits    *ratelimit.Tracker
	connected int
}

func newFleetSim(t *testing.T, vms int, says ratelimit.Notice, cold time.Duration, seed uint64) *fleetSim {
	f := &fleetSim{
		t: t, random: rand.New(rand.NewPCG(seed, uint64(vms))), now: clock.Instant(time.Hour), says: says, ends: map[clock.Instant][]func(){},
		cfg:    inventory.NewConfiguration(1, inventory.Limits{}, []*inventory.Pool{{Name: "plain", ColdRate: 2.5}}, nil),
		target: &inventory.Target{ID: "t", Pool: "plain", Domain: "a", Slots: 4, Started: 1, WarmupLeft: cold},
	}
	for i := range vms {
		f.vms = append(f.vms, &fleetVM{name: fmt.Sprint("vm", i)})
	}
	for _, vm := range f.vms {
		f.restart(vm)
	}
	f.replaceBroker()
	return f
}

func (f *fleetSim) snapshot() *inventory.Snapshot {
	return inventory.NewSnapshot(f.cfg, []*inventory.Target{f.target}, map[string]bool{})
}

// restart gives a VM a new process, which connects to the newest broker after some time.
func (f *fleetSim) restart(vm *fleetVM) {
	f.disconnect(vm)
	vm.limits, vm.balancer = ratelimit.NewTracker(), NewBalancer("a", "r", map[string]string{"a": "r"})
	vm.balancer.UseLimits(vm.limits, vm.name)
	vm.balancer.SetFleetSize(len(f.vms))
	vm.balancer.Update(f.snapshot(), f.now)
	vm.linksAt, vm.ready = f.soon(), false
}

func (f *fleetSim) soon() clock.Instant {
	return f.now.Add(time.Duration(f.random.Int64N(int64(1500 * time.Millisecond))))
}

func (f *fleetSim) disconnect(vm *fleetVM) {
	if b := vm.broker; b != nil {
		b.RemoveVM(vm.name, f.now)
		b.connected--
		b.SetConnectedVMs(b.connected, len(f.vms))
		vm.broker = nil
		vm.balancer.SetBrokerConnected(false)
	}
}

func (f *fleetSim) connect(vm *fleetVM, b *fleetBroker) {
	f.disconnect(vm)
	vm.linksAt, vm.broker, vm.ready = 0, b, true
	b.limits.Merge(vm.limits.Records(f.now), f.now)
	vm.limits.Merge(b.limits.Records(f.now), f.now)
	b.connected++
	b.SetConnectedVMs(b.connected, len(f.vms))
	vm.balancer.SetBrokerConnected(true)
}

// replaceBroker adds a broker to which all VMs connect sooner or later.
func (f *fleetSim) replaceBroker() {
	limits := ratelimit.NewTracker()
	b := &fleetBroker{limits: limits, Broker: NewBroker(map[string]string{"a": "r"}, NewBrokerBudget(0.2, 60, 10*time.Second), quarantine.NewTracker(), limits, func(string, int) {})}
	b.Update(f.snapshot(), func(string, int) Owner { return Owner{} }, f.now)
	f.brokers = append(f.brokers, b)
	for _, vm := range f.vms {
		vm.linksAt = f.soon()
	}
}

// disturb injects a random fault.
func (f *fleetSim) disturb() {
	switch f.random.IntN(5) {
	case 0:
		for _, vm := range f.vms {
			f.disconnect(vm)
		}
		f.replaceBroker()
	case 1:
		// The former broker keeps the VMs that haven't connected to the new one yet.
		f.replaceBroker()
	case 2:
		for _, vm := range f.vms {
			if f.random.IntN(2) == 0 {
				f.disconnect(vm)
				vm.linksAt = 0
			}
		}
	case 3:
		for _, vm := range f.vms {
			if f.random.IntN(4) == 0 {
				f.restart(vm)
			}
		}
	case 4:
		for _, vm := range f.vms {
			if vm.broker == nil {
				vm.linksAt = f.soon()
			}
		}
	}
}

// place sends a request through a VM.
func (f *fleetSim) place(vm *fleetVM) {
	if !vm.ready {
		return
	}
	f.seq++
	seq := f.seq
	if b := vm.broker; b != nil {
		a := PlacementRequest{VM: vm.name, Domain: "a", Region: "r", Seq: seq, Pool: "plain", Objective: 600 * time.Millisecond, TimeLeft: 1500 * time.Millisecond}
		b.Place(a, func(v Decision) {
			if v.Target != "" {
				f.brokered++
				f.arrive(vm, func() { b.Done(vm.name, seq, limitTestService, Answered, &Report{RateLimit: f.says}, f.now) })
			}
		}, f.now)
		return
	}
	choice := vm.balancer.Choose(Criteria{Candidates: []*inventory.Target{f.target}, TimeLeft: 1500 * time.Millisecond, Objective: 600 * time.Millisecond}, f.now)
	if choice.Target != nil {
		f.arrive(vm, func() { vm.balancer.Done("t", limitTestService, Answered, nil, f.now) })
	}
}

// arrive records that a request reaches the target, which answers it after limitTestService.
func (f *fleetSim) arrive(vm *fleetVM, done func()) {
	f.arrivals = append(f.arrivals, f.now)
	sent, end := f.now, f.now.Add(limitTestService)
	f.ends[end] = append(f.ends[end], func() {
		vm.limits.Observe(f.target.Incarnation(), f.says, sent, f.now)
		done()
	})
}

// play sends requests through random VMs for fleetTestTime, with a fault each time that interval has passed.
func (f *fleetSim) play(requestsPerTick int, interval time.Duration) {
	start, nextFault := f.now, f.now.Add(fleetLearnTime)
	for ; f.now < start.Add(fleetTestTime); f.now = f.now.Add(fleetTick) {
		for _, end := range f.ends[f.now] {
			end()
		}
		delete(f.ends, f.now)
		if interval > 0 && f.now >= nextFault {
			nextFault = f.now.Add(time.Duration(f.random.Int64N(int64(2 * interval))))
			f.disturb()
		}
		for _, vm := range f.vms {
			if vm.linksAt > 0 && f.now >= vm.linksAt {
				f.connect(vm, f.brokers[len(f.brokers)-1])
			}
		}
		for range requestsPerTick {
			f.place(f.vms[f.random.IntN(len(f.vms))])
		}
		if f.now.Sub(start)%(300*time.Millisecond) == 0 {
			f.sendHeartbeats()
		}
		if f.now.Sub(start)%(50*time.Millisecond) == 0 {
			for _, b := range f.brokers {
				b.Tick(f.now)
			}
		}
	}
}

// sendHeartbeats sends the changed limits of the brokers to the VMs that are connected to them.
func (f *fleetSim) sendHeartbeats() {
	for _, b := range f.brokers {
		changes := b.limits.Changes(f.now)
		for _, vm := range f.vms {
			if vm.broker == b {
				vm.limits.Merge(changes, f.now)
			}
		}
	}
}

// mostIn returns the largest number of requests within a time, from fleetLearnTime on.
func (f *fleetSim) mostIn(d time.Duration) int {
	begin := clock.Instant(time.Hour).Add(fleetLearnTime)
	most, first := 0, 0
	for i, at := range f.arrivals {
		for f.arrivals[first] < begin || at.Sub(f.arrivals[first]) >= d {
			if first == i {
				break
			}
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against a rate limit that is counted by each broker or each VM, so that VMs which are cut off, restart or follow two brokers at a
// time send a multiple of it, and against one that isn't used although there are enough requests.
func TestRateLimitIsDividedAmongVMs(t *testing.T) {
	for _, vms := range []int{1, 12, 295} {
		for _, rate := range []float64{0, 0.3, 2, 30} {
			for _, interval := range []time.Duration{0, 700 * time.Millisecond, 3 * time.Second} {
				f := newFleetSim(t, vms, named(rate), 0, 1)
				f.play(5, interval)
				rate = max(rate, ratelimit.MinRate)
				most, allowed := f.mostIn(limitWindow), limitTolerance*rate*limitWindow.Seconds()+limitExtra
				t.Logf("%d VMs, limit %v, faults each %v: up to %d in %v (%.0f allowed), %d in %v, %d by brokers", vms, rate, interval, most, limitWindow, allowed, len(f.arrivals), fleetTestTime, f.brokered)
				if float64(most) > allowed {
					t.Errorf("%d VMs, limit %v, faults each %v: %d requests in %v, %.0f are allowed", vms, rate, interval, most, limitWindow, allowed)
				}
				share := 0.45
				if interval == 0 {
					share = 0.9
				}
				if want := share * rate * fleetTestTime.Seconds(); float64(len(f.arrivals)) < want-1 {
					t.Errorf("%d VMs, limit %v, faults each %v: %d requests in %v, want %.0f", vms, rate, interval, len(f.arrivals), fleetTestTime, want)
				}
			}
		}
	}
}

// Guards against a cold target that gets a multiple of its rate while brokers are replaced and VMs place requests themselves.
func TestColdRateHoldsOverTakeovers(t *testing.T) {
	for _, vms := range []int{12, 295} {
		for _, interval := range []time.Duration{300 * time.Millisecond, time.Second} {
			f := newFleetSim(t, vms, ratelimit.Notice{}, time.Hour, 2)
			f.play(5, interval)
			most := f.mostIn(time.Second)
			t.Logf("%d VMs, faults each %v: up to %d requests to a cold target in a second, %d in all", vms, interval, most, len(f.arrivals))
			if allowed := 2.5*coldTolerance + coldExtra; float64(most) > allowed {
				t.Errorf("%d VMs, faults each %v: %d requests to a cold target in a second, %.1f are allowed", vms, interval, most, allowed)
			}
		}
	}
}
