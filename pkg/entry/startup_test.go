package entry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/charmbracelet/log"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/inventory"
	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/quarantine"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

const (
	startupDomains = 6
	startupTargets = 40
	// startupDelay is the range over which processes start that are started together.
	startupDelay = 100 * time.Millisecond
	// startupReadLatency and startupFarLatency are the response times of the store and the times for a connection within
	// the store's region and from the other one.
	startupReadLatency = 20 * time.Millisecond
	startupFarLatency  = 36 * time.Millisecond
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{ clock.Clock }

func (bubbleClock) Now() clock.Instant { return clock.Instant(time.Now().UnixNano()) }

// startupSite simulates processes with a store and connections in memory, in the virtual time of a synctest bubble.
type startupSite struct {
	mu        sync.Mutex
	version   uint64
	rows      map[string]map[string]rowstore.Row
	calls     int
	listeners map[string]*pipeListener
	// cutOff are the VMs that the store refuses, silent the addresses of VMs that have lost power.
	cutOff, silent map[string]bool
	// restarted is set after the first start. unprotected counts the processes that then served without knowing the stored
	// quarantine.
	restarted   bool
	unprotected int
	vms         []*startupVM
}

// poolDecoder decodes a configuration with an unkeyed pool, to which all targets belong.
type poolDecoder struct{ rowDecoder }

func (poolDecoder) Configuration(rows map[string]rowstore.Row) (*inventory.Configuration, error) {
	if len(rows) == 0 {
		return nil, nil
	}
	return inventory.NewConfiguration(7, inventory.Limits{}, []*inventory.Pool{{Name: "orders"}}, nil), nil
}

func (poolDecoder) Target(r rowstore.Row) (*inventory.Target, error) {
	return &inventory.Target{ID: r.Key, Pool: "orders"}, nil
}

// startupVM is one VM.
type startupVM struct {
	site     *startupSite
	settings Settings
	process  *startupProcess
}

// startupProcess is a process of a VM.
type startupProcess struct {
	*startupVM
	control  *Control
	stop     context.CancelFunc
	listener *pipeListener
	conns    []net.Conn
	started  time.Time
	// The times after the start at which the process could first serve, had first read the coordinator's row, was first
	// connected to the coordinator and became the coordinator; zero before.
	serves, rowRead, connected, led time.Duration
}

// Write handles the lines of the log.
func (p *startupProcess) Write(line []byte) (int, error) {
	p.site.mu.Lock()
	defer p.site.mu.Unlock()
	for id, at := range map[string]*time.Duration{"event=891": &p.serves, "event=815": &p.connected, "event=820": &p.led} {
		if *at == 0 && strings.Contains(string(line), id) {
			*at = time.Since(p.started)
		}
	}
	if strings.Contains(string(line), "event=891") && p.site.restarted && len(p.control.suspects.Quarantined(p.control.clock.Now())) == 0 {
		p.site.unprotected++
	}
	return len(line), nil
}

type pipeListener struct {
	net.Listener
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

var errTestConnectionRefused = errors.New("connection refused")

func (v *startupVM) latency() time.Duration {
	if v.settings.Region == "far" {
		return startupFarLatency
	}
	return startupReadLatency
}

func (v *startupProcess) dial(_ context.Context, address string) (net.Conn, error) {
	time.Sleep(2 * time.Millisecond)
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	l := v.site.listeners[address]
	if l == nil {
		silent := v.site.silent[address]
		v.site.mu.Unlock()
		if silent {
			time.Sleep(500 * time.Millisecond)
		}
		v.site.mu.Lock()
		return nil, errTestConnectionRefused
	}
	near, remote := net.Pipe()
	select {
	case l.conns <- remote:
	default:
		return nil, errTestConnectionRefused
	}
	v.conns = append(v.conns, near, remote)
	return near, nil
}

func (v *startupProcess) call() error {
	v.site.mu.Lock()
	v.site.calls++
	cut := v.site.cutOff[v.settings.VM]
	v.site.mu.Unlock()
	time.Sleep(v.latency())
	if cut {
		return rowstore.ErrRefused
	}
	return nil
}

// List implements rowstore.Store.
func (v *startupProcess) List(_ context.Context, table string) (rowstore.TableSnapshot, error) {
	if err := v.call(); err != nil {
		return rowstore.TableSnapshot{}, err
	}
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	if v.rowRead == 0 && table == coordinator.Table {
		v.rowRead = time.Since(v.started)
	}
	page := rowstore.TableSnapshot{Version: v.site.version}
	for _, r := range v.site.rows[table] {
		page.Rows = append(page.Rows, r)
	}
	return page, nil
}

// Changes implements rowstore.Store.
func (*startupProcess) Changes(context.Context, string, uint64) (rowstore.Changes, error) {
	return rowstore.Changes{}, rowstore.ErrHistoryUnavailable
}

// Commit implements rowstore.Store.
func (v *startupProcess) Commit(_ context.Context, tx rowstore.Transaction) (uint64, error) {
	if err := v.call(); err != nil {
		return 0, err
	}
	v.site.mu.Lock()
	defer v.site.mu.Unlock()
	for _, e := range tx.Expected {
		if v.site.rows[e.Table][e.Key].Version != e.Version {
			return 0, rowstore.ErrConflict
		}
	}
	v.site.put(tx.Puts...)
	return v.site.version, nil
}

func (s *startupSite) put(rows ...rowstore.Row) {
	s.version++
	for _, r := range rows {
		r.Version = s.version
		if s.rows[r.Table] == nil {
			s.rows[r.Table] = map[string]rowstore.Row{}
		}
		s.rows[r.Table][r.Key] = r
	}
}

func newStartupSite(vms int) *startupSite {
	s := &startupSite{rows: map[string]map[string]rowstore.Row{}, listeners: map[string]*pipeListener{}, cutOff: map[string]bool{}, silent: map[string]bool{}}
	s.put(rowstore.Row{Table: "op", Key: "config"})
	for i := range startupTargets {
		s.put(rowstore.Row{Table: "servers", Key: fmt.Sprintf("t%d", i)})
	}
	for i := range vms {
		domain := i % startupDomains
		strength := []struct{ cpu, link float64 }{{0.8, 200}, {0.4, 50}, {0.16, 20}, {0.112, 10}}[min(i/startupDomains, 3)]
		settings := Settings{
			VM: fmt.Sprintf("vm-%d", i), IP: "127.0.0.1", FirstPort: 1 + i, Domain: strconv.Itoa(domain), Region: []string{"near", "far"}[domain%2],
			CPUShare: strength.cpu, LinkMbps: strength.link, MaxConfigApplyTime: 3 * time.Second,
		}
		s.vms = append(s.vms, &startupVM{site: s, settings: settings})
	}
	return s
}

// start starts a new process of a VM.
func (v *startupVM) start(ctx context.Context, firstStart bool) {
	settings := v.settings
	settings.FirstStart = firstStart
	p := &startupProcess{startupVM: v, started: time.Now(), listener: &pipeListener{conns: make(chan net.Conn, 256), closed: make(chan struct{})}}
	p.control = NewControl(ControlOptions{
		Settings: settings, Store: p, Decoder: poolDecoder{}, Tables: Tables{Operator: "op", Targets: "servers"}, Clock: bubbleClock{}, Dial: p.dial,
		Log: event.NewLogger(p, log.InfoLevel), Balancer: placing.NewBalancer(settings.Domain, settings.Region, nil),
		BrokerBudget: placing.NewBrokerBudget(0.2, 60, 10*time.Second), Incarnation: strconv.FormatInt(p.started.UnixNano(), 36),
		OnSnapshot: func(*inventory.Snapshot) {},
	})
	ctx, p.stop = context.WithCancel(ctx)
	v.site.mu.Lock()
	v.process, v.site.listeners[p.control.relayAddress()] = p, p.listener
	v.site.mu.Unlock()
	go p.control.Run(ctx, p.listener)
}

// kill ends processes without a shutdown.
func (s *startupSite) kill(processes []*startupProcess) {
	for _, p := range processes {
		p.stop()
	}
	synctest.Wait()
	for _, p := range processes {
		s.mu.Lock()
		if address := p.control.relayAddress(); s.listeners[address] == p.listener {
			delete(s.listeners, address)
		}
		conns := slices.Clone(p.conns)
		s.mu.Unlock()
		_ = p.listener.Close()
		for f := range p.control.followers {
			f.Close()
		}
		for f := range p.control.subscribers {
			f.Close()
		}
		for _, c := range conns {
			_ = c.Close()
		}
	}
	synctest.Wait()
}

// startAll starts processes at random times within startupDelay, and waits.
func (s *startupSite) startAll(ctx context.Context, rng *rand.Rand, firstStart bool, vms []*startupVM, wait time.Duration) {
	for _, v := range vms {
		delay := time.Duration(rng.Int64N(int64(startupDelay)))
		go func() {
			time.Sleep(delay)
			v.start(ctx, firstStart)
		}()
	}
	time.Sleep(wait)
	synctest.Wait()
}

// processes returns the newest process of each VM.
func (s *startupSite) processes(vms []*startupVM) (list []*startupProcess) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range vms {
		list = append(list, v.process)
	}
	return list
}

// query runs f on the control goroutine.
func (p *startupProcess) query(f func(c *Control) bool) bool {
	result := make(chan bool, 1)
	p.control.events <- func() { result <- f(p.control) }
	return <-result
}

// startupSeeds is the number of runs of each case.
const startupSeeds = uint64(3)

// maxFallbackTime is the time within which VMs serve whose distributors are gone or can't read the store.
const maxFallbackTime = 1500 * time.Millisecond

// startupCase is a start of some VMs of a site that has run before.
type startupCase struct {
	name string
	vms  int
	// restarted selects the VMs that are killed, gone those that don't start again, and cutOff those that the store then
	// refuses.
	restarted, gone, cutOff func(*startupProcess) bool
	coordinatorGone         bool
	limit                   time.Duration
}

func always(*startupProcess) bool { return true }
func never(*startupProcess) bool  { return false }

func lastVM(p *startupProcess) bool    { return p.startupVM == p.site.vms[len(p.site.vms)-1] }
func inDomain3(p *startupProcess) bool { return p.settings.Domain == "3" }
func leads(p *startupProcess) bool     { return p.query(func(c *Control) bool { return c.wasLeading }) }

func isDistributor(p *startupProcess) bool {
	return p.query(func(c *Control) bool { return len(c.subscribers) > 0 })
}

func leadsOrDistributes(p *startupProcess) bool { return leads(p) || isDistributor(p) }

// A VM that starts must soon know a configuration and targets. After a loss of power of 86 VMs, all of them refused all
// requests for 1.5 s; a VM that started alone did so for up to 2 s.
func TestStartedVMsServeSoon(t *testing.T) {
	for _, c := range []startupCase{
		{"a weak VM starts", 84, lastVM, never, never, false, 300 * time.Millisecond},
		{"the VMs of a failure domain start", 84, inDomain3, never, never, false, 600 * time.Millisecond},
		{"all VMs start", 84, always, never, never, false, 600 * time.Millisecond},
		{"all VMs start except the coordinator", 84, always, leads, never, true, 600 * time.Millisecond},
		{"all VMs of small failure domains start except the coordinator", 48, always, leads, never, true, 600 * time.Millisecond},
		{"all VMs of a small fleet start except the coordinator", 12, always, leads, never, true, 600 * time.Millisecond},
		{"all VMs start except the distributors", 84, always, isDistributor, never, false, maxFallbackTime},
		{"all VMs start except the coordinator and the distributors", 84, always, leadsOrDistributes, never, true, maxFallbackTime},
		{"all VMs start and the store refuses the distributors", 84, always, never, isDistributor, false, maxFallbackTime},
		{"all VMs start except the coordinator and the store refuses the distributors", 84, always, leads, isDistributor, true, maxFallbackTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := range startupSeeds {
				t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { c.run(t, seed) })
				})
			}
		})
	}
}

func (c startupCase) run(t *testing.T, seed uint64) {
	s, rng := newStartupSite(c.vms), rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithCancel(t.Context())
	defer func() {
		s.kill(s.processes(s.vms))
		cancel()
		// Timers of the processes end.
		time.Sleep(5 * time.Second)
	}()
	s.startAll(ctx, rng, true, s.vms, 5*time.Second)
	s.quarantineRequest()
	var killed []*startupProcess
	var started []*startupVM
	cutOff, silent := map[string]bool{}, map[string]bool{}
	for _, p := range s.processes(s.vms) {
		cutOff[p.settings.VM] = c.cutOff(p)
		if !c.restarted(p) {
			continue
		}
		killed = append(killed, p)
		if c.gone(p) {
			silent[p.control.relayAddress()] = true
		} else {
			started = append(started, p.startupVM)
		}
	}
	first := s.times(s.processes(s.vms), func(p *startupProcess) time.Duration { return p.serves })
	s.kill(killed)
	time.Sleep(1100 * time.Millisecond)
	s.mu.Lock()
	s.cutOff, s.silent, s.restarted, s.calls = cutOff, silent, true, 0
	s.mu.Unlock()
	s.startAll(ctx, rng, false, started, 4*time.Second)
	// Without the store, a new process doesn't know any other VM.
	started = slices.DeleteFunc(started, func(v *startupVM) bool { return cutOff[v.settings.VM] })
	processes := s.processes(started)
	serves := s.times(processes, func(p *startupProcess) time.Duration { return p.serves })
	led := s.times(processes, func(p *startupProcess) time.Duration { return p.led })
	t.Logf("seed %d: served %s, row read %s, connected to the coordinator %s, coordinator after %v, %d calls, first start %s", seed, medianAndMax(serves),
		medianAndMax(s.times(processes, func(p *startupProcess) time.Duration { return p.rowRead })),
		medianAndMax(s.times(processes, func(p *startupProcess) time.Duration { return p.connected })), led[len(led)-1], s.calls, medianAndMax(first))
	if last := serves[len(serves)-1]; serves[0] == 0 || last > c.limit {
		t.Errorf("seed %d: VMs serve after %v to %v, want %v", seed, serves[0], last, c.limit)
	}
	// Each VM may read each table once, the coordinator makes 30 calls, and without it maxFullRateReaders VMs read.
	limit := 4*len(started) + 30
	if c.coordinatorGone {
		limit += 3 * maxFullRateReaders * int(4*time.Second/baseReadInterval)
	}
	if s.calls > limit {
		t.Errorf("seed %d: %d calls of the store, want at most %d", seed, s.calls, limit)
	}
	if s.unprotected > 0 {
		t.Errorf("seed %d: %d VMs serve without knowing which requests are refused because they crash targets", seed, s.unprotected)
	}
}

// quarantineRequest makes the coordinator refuse a request because it crashes targets, and waits until the others know it.
func (s *startupSite) quarantineRequest() {
	for _, p := range s.processes(s.vms) {
		p.query(func(c *Control) bool {
			if c.wasLeading {
				c.suspects.Merge([]quarantine.Record{{ID: 5, QuarantineCount: 1, RemainingMs: time.Minute.Milliseconds()}}, c.clock.Now())
			}
			return true
		})
	}
	time.Sleep(time.Second)
}

// times returns the sorted times of processes.
func (s *startupSite) times(processes []*startupProcess, of func(p *startupProcess) time.Duration) (times []time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range processes {
		times = append(times, of(p))
	}
	slices.Sort(times)
	return times
}

func medianAndMax(times []time.Duration) string {
	return fmt.Sprintf("%d and %d ms", times[len(times)/2].Milliseconds(), times[len(times)-1].Milliseconds())
}
