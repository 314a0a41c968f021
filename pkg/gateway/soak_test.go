package gateway

import (
	"errors"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	standin "github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// soak is two gateways with two targets each, and the part of a controller that moves one slice.
type soak struct {
	t        *testing.T
	checked  bool
	config   *config.Config
	backends []*backend
	gateways []*Gateway
	groups   []topology.Group

	mu    sync.Mutex
	slice topology.Slice
	seq   uint64
}

const soakGroups = 2

func newSoak(t *testing.T, checked bool) *soak {
	s := &soak{t: t, checked: checked}
	pool := defaultPool(0).pool
	pool.Keyed = true
	pool.GrantsChecked = checked
	pool.MaxDeadline = 150
	for i := range 2 * soakGroups {
		settings := standin.Defaults()
		settings.ID = string(rune('a' + i))
		settings.Fenced = checked
		settings.ServiceMillis = 10
		settings.Spread = 0.9
		settings.Seed = uint64(i + 1)
		b := startBackend(t, settings)
		s.backends = append(s.backends, b)
		pool.Targets = append(pool.Targets, config.Target{ID: settings.ID, Address: b.address, Domain: testDomain})
	}
	s.config = &config.Config{Regions: []config.Region{{Name: "r1", Domains: []string{testDomain}}}, Pools: []config.Pool{pool}}
	for i := range soakGroups {
		s.groups = append(s.groups, topology.Group{
			ID:      topology.NewGroupID(testPool, testDomain, i),
			Targets: []string{s.backends[2*i].id, s.backends[2*i+1].id},
			Gateway: string(rune('x' + i)),
			Epoch:   topology.NewGroupEpoch(1, uint64(i+1)),
		})
		lease := &authority{}
		lease.set(1 << 62)
		gw := New(Options{
			Authority: lease, Clock: clock.Boottime{}, Log: event.Discard(), Scope: tally.NoopScope, Cell: newFakeCell(),
		})
		s.gateways = append(s.gateways, gw)
		t.Cleanup((&fixture{gateway: gw}).stop)
	}
	s.slice = topology.Slice{Pool: testPool, High: math.MaxUint64, Owner: "a", Epoch: 1}
	s.publish()
	return s
}

func (s *soak) publish() {
	s.mu.Lock()
	s.seq++
	slice, seq := s.slice, s.seq
	s.mu.Unlock()
	for i, gw := range s.gateways {
		gw.Apply(&exchange.View{
			Config: s.config,
			Tables: map[string]*topology.Table{"cell": {
				Cell: "cell", Version: topology.Version{Term: 1, Sequence: seq},
				Groups: append([]topology.Group(nil), s.groups...), Slices: []topology.Slice{slice},
			}},
			Cell: "cell",
			VM:   s.groups[i].Gateway,
		})
	}
}

func (s *soak) current() topology.Slice {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.slice
}

func (s *soak) assign(owner string, epoch topology.Epoch) {
	s.mu.Lock()
	s.slice.Owner = owner
	s.slice.Epoch = epoch
	s.mu.Unlock()
	s.publish()
}

// move gives the slice to another target: no owner is published until the former one's gateway has reported the release.
func (s *soak) move(to string) {
	former := s.current()
	s.assign("", former.Epoch+4)
	eventually(s.t, "the former owner has released the slice", func() bool {
		for _, gw := range s.gateways {
			for _, report := range gw.Report().Slices {
				if report.State == wire.SliceReleased && report.Owner == former.Owner && report.Epoch == former.Epoch {
					return true
				}
			}
		}
		return false
	})
	s.assign(to, former.Epoch+4)
}

// request sends one request to the gateway of the present owner, or to a random one.
func (s *soak) request(random *rand.Rand, limit time.Duration) error {
	i := random.IntN(soakGroups)
	slice := s.current()
	for j, g := range s.groups {
		if slice.Owner != "" && (g.Targets[0] == slice.Owner || g.Targets[1] == slice.Owner) {
			i = j
		}
	}
	r := keyedRequest(7, slice.Epoch)
	r.Group = s.groups[i].ID
	f := &fixture{gateway: s.gateways[i]}
	_, _, err := f.do(within(s.t, limit), r, "")
	return err
}

// Guards against two targets that execute requests of one key at the same time while its slice moves within and between
// groups, and targets freeze and return.
func TestOneOwnerUnderRandomMovesAndFreezes(t *testing.T) {
	for _, checked := range []bool{false, true} {
		s := newSoak(t, checked)
		var stop atomic.Bool
		var answered, untrue atomic.Int64
		var wg sync.WaitGroup
		for i := range 6 {
			random := rand.New(rand.NewPCG(uint64(i), 9))
			wg.Go(func() {
				for !stop.Load() {
					err := s.request(random, time.Duration(5+random.IntN(100))*time.Millisecond)
					var refusal *problem.Error
					switch {
					case err == nil:
						answered.Add(1)
					case !errors.As(err, &refusal) || refusal.Outcome == "":
						untrue.Add(1)
					}
					time.Sleep(time.Millisecond)
				}
			})
		}
		random := rand.New(rand.NewPCG(1, 10))
		for range 25 {
			time.Sleep(time.Duration(20+random.IntN(60)) * time.Millisecond)
			frozen := s.backends[random.IntN(len(s.backends))]
			settings := frozen.Settings()
			settings.Frozen = random.IntN(3) == 0
			frozen.Change(settings)
			s.move(s.backends[random.IntN(len(s.backends))].id)
			time.Sleep(time.Duration(random.IntN(100)) * time.Millisecond)
			settings.Frozen = false
			frozen.Change(settings)
		}
		stop.Store(true)
		wg.Wait()
		time.Sleep(s.config.Pools[0].MaxDeadline.Duration())
		f := &fixture{tb: t, backends: s.backends, pool: s.config.Pools[0]}
		f.checkDisjoint(7)
		if answered.Load() == 0 || untrue.Load() > 0 {
			t.Errorf("checked %v: %d answers, %d errors without an outcome", checked, answered.Load(), untrue.Load())
		}
		t.Logf("checked %v: %d answers", checked, answered.Load())
	}
}
