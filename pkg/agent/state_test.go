package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/exchange"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const start = clock.Instant(time.Hour)

// fakeGateway records the view that the agent applies and reports the given groups.
type fakeGateway struct {
	view    *exchange.View
	held    []wire.HeldGroup
	changed chan struct{}
}

func (h *fakeGateway) Apply(v *exchange.View)         { h.view = v }
func (h *fakeGateway) Report() exchange.GatewayReport { return exchange.GatewayReport{Held: h.held} }
func (h *fakeGateway) Changed() <-chan struct{}       { return h.changed }

func member(n int) wire.Member {
	return wire.Member{VM: fmt.Sprintf("vm-%d", n), Incarnation: wire.Incarnation(n), Address: fmt.Sprintf("router-%d", n), Domain: "catania-a"}
}

func peers(n int) []Peer {
	var out []Peer
	for i := 2; i <= n; i++ {
		out = append(out, Peer{VM: fmt.Sprintf("vm-%d", i), Cell: "catania", Router: fmt.Sprintf("router-%d", i), Controller: fmt.Sprintf("controller-%d", i)})
	}
	return out
}

func configBody(t *testing.T, version uint64) []byte {
	t.Helper()
	cfg := &config.Config{
		Version: version,
		Regions: []config.Region{{Name: "catania", Domains: []string{"catania-a"}}},
		Pools: []config.Pool{{
			Name: "archivio", Targets: []config.Target{{ID: "t1", Address: "127.0.0.1:9", Domain: "catania-a"}},
			Slots: 2, Connections: 10, ColdConcurrency: 1, QueueLimit: 10, MaxDeadline: 1000, RepeatWindow: 60000,
		}},
		Routes: []config.Route{{
			Name: "archivio", PathPrefix: "/archivio", Methods: []string{"GET"}, Pool: "archivio", Class: "archivio",
			Weight: 1, Idempotent: true, Deadline: 1000, MaxBodyBytes: 1 << 20,
		}},
	}
	body, err := config.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseConfig(version, body); err != nil {
		t.Fatalf("the test's configuration is invalid: %v", err)
	}
	return body
}

func table(term, sequence uint64, gateway string, epoch topology.Epoch) *topology.Table {
	group := topology.Group{ID: "archivio/catania-a/0", Targets: []string{"t1"}, Gateway: gateway, GatewayIncarnation: 1, GatewayAddress: "a", Epoch: epoch}
	return &topology.Table{Cell: "catania", Version: topology.Version{Term: term, Sequence: sequence}, Groups: []topology.Group{group}}
}

// cluster holds the state under test and simulates the other processes.
type cluster struct {
	t   *testing.T
	s   *state
	h   *fakeGateway
	now clock.Instant
	// handlers maps an address to the function that replies to its calls. A call without handler or reply fails.
	handlers map[string]func(c call) any
	// sent counts the calls by address.
	sent map[string]int
}

func newCluster(t *testing.T, routers int) *cluster {
	h := &fakeGateway{}
	s := newState(Options{Cell: "catania", Self: member(1), Controller: "controller-1", Peers: peers(routers), Gateway: h, Log: discardLog})
	return &cluster{t: t, s: s, h: h, now: start, handlers: map[string]func(call) any{}, sent: map[string]int{}}
}

// run advances the time by d. Each call completes within the tick in which it is made.
func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now < end; c.now = c.now.Add(tickInterval) {
		c.s.tick(c.now)
		for calls := c.s.takePendingCalls(); len(calls) > 0; calls = c.s.takePendingCalls() {
			for _, call := range calls {
				c.deliver(call)
			}
			c.s.tick(c.now)
		}
	}
}

func (c *cluster) deliver(call call) {
	c.sent[call.address]++
	call.sentAt = c.now
	c.s.checkAuthority(c.now)
	handler := c.handlers[call.address]
	var reply any
	if handler != nil {
		reply = handler(call)
	}
	if reply == nil {
		c.s.handleResult(c.now, call, nil, errStopped)
		return
	}
	c.s.handleResult(c.now, call, reply, nil)
}

// controllerHandler returns a handler that replies as the controller of a term.
func (c *cluster) controllerHandler(term uint64, table *topology.Table, roster *wire.Roster) func(call) any {
	return func(call call) any {
		switch request := call.request.(type) {
		case wire.Heartbeat:
			reply := &wire.HeartbeatReply{Active: true, Term: term, LeaseMillis: 1200, ConfigVersion: 3}
			if table != nil && request.TableVersion.Less(table.Version) {
				reply.Table = table
			}
			if roster != nil && request.RosterVersion != roster.Version {
				reply.Roster = roster
			}
			return reply
		case wire.FetchConfig:
			return &wire.ConfigReply{Version: 3, Body: configBody(c.t, 3)}
		}
		return nil
	}
}

// addRouter installs the handler of another router, which knows the given term, table and configuration.
func (c *cluster) addRouter(n int, term uint64, t *topology.Table, configVersion uint64, authority int64) {
	m := member(n)
	c.handlers[m.Address] = func(call call) any {
		switch call.request.(type) {
		case wire.Witness:
			reply := &wire.WitnessReply{Member: m, Term: term, ConfigVersion: configVersion, AuthorityMillis: authority}
			if t != nil {
				reply.TableVersion = t.Version
			}
			return reply
		case wire.FetchConfig:
			return &wire.ConfigReply{Version: configVersion, Body: configBody(c.t, configVersion)}
		case wire.FetchTable:
			return &wire.TableReply{Table: t}
		}
		return nil
	}
}

func (c *cluster) roster(n int) *wire.Roster {
	r := &wire.Roster{Version: 1}
	for i := 1; i <= n; i++ {
		r.Members = append(r.Members, member(i))
	}
	return r
}

func (c *cluster) holdsGroup() bool {
	if c.s.config == nil || c.s.tables["catania"] == nil {
		return false
	}
	return c.s.view().Tables["catania"].Groups[0].Gateway == "vm-1"
}

// newClusterWithGroup returns a cluster in which the router has obtained a lease and then its group.
func newClusterWithGroup(t *testing.T, routers int) *cluster {
	c := newCluster(t, routers)
	c.handlers["controller-2"] = c.controllerHandler(1, table(1, 1, "", 0), c.roster(routers))
	c.run(time.Second)
	c.handlers["controller-2"] = c.controllerHandler(1, table(1, 2, "vm-1", 10), c.roster(routers))
	c.run(time.Second)
	if !c.holdsGroup() || c.now >= c.s.holdingAuthorityEnd() {
		t.Fatal("the router doesn't hold its group")
	}
	for n := 2; n <= routers; n++ {
		c.addRouter(n, 1, table(1, 2, "vm-1", 10), 3, 1000)
	}
	return c
}

// Guards against a router that doesn't find its controller or sends it too many heartbeats.
func TestDiscoversController(t *testing.T) {
	c := newCluster(t, 4)
	c.handlers["controller-3"] = func(call) any { return &wire.HeartbeatReply{Leader: "controller-4"} }
	c.handlers["controller-4"] = c.controllerHandler(1, nil, nil)
	c.run(time.Second)
	if c.s.leader != "controller-4" || c.now >= c.s.lease.End() {
		t.Errorf("controller %q", c.s.leader)
	}
	if n := c.sent["controller-4"]; n < 4 || n > 8 {
		t.Errorf("%d messages in a second", n)
	}
	delete(c.handlers, "controller-4")
	c.handlers["controller-2"] = c.controllerHandler(2, nil, nil)
	c.run(500 * time.Millisecond)
	if c.s.leader != "controller-2" || c.s.term != 2 {
		t.Errorf("controller %q, term %d after the first one was lost", c.s.leader, c.s.term)
	}
}

// Guards against a lease that is counted from the arrival of the reply instead of the sending of the heartbeat.
func TestLeaseCountsFromSend(t *testing.T) {
	s := newCluster(t, 2).s
	s.handleResult(start.Add(time.Second), call{address: "c", t: wire.TypeHeartbeat, sentAt: start}, &wire.HeartbeatReply{Active: true, Term: 1, LeaseMillis: 1200}, nil)
	if got := s.holdingAuthorityEnd(); got != start.Add(1200*time.Millisecond) {
		t.Errorf("lease ends %v after the heartbeat was sent", got.Sub(start))
	}
}

// Guards against two holders of a group after a change of controller: a reply of an older term must have no effect.
func TestOlderTermIsIgnored(t *testing.T) {
	c := newClusterWithGroup(t, 5)
	if r := c.s.handleAnnounceTerm(c.now, &wire.AnnounceTerm{Cell: "catania", Term: 3, Address: "controller-3"}); r.Term != 3 {
		t.Fatalf("announcement answered with term %d", r.Term)
	}
	c.handlers["controller-2"] = c.controllerHandler(2, table(2, 1, "vm-1", 20), nil)
	for n := 2; n <= 5; n++ {
		c.addRouter(n, 3, table(1, 2, "vm-1", 10), 3, 1000)
	}
	end := c.s.holdingAuthorityEnd()
	c.run(2 * time.Second)
	if c.s.term != 3 || c.s.holdingAuthorityEnd() != end || c.s.tables["catania"].Version.Term != 1 {
		t.Errorf("term %d, table %v", c.s.term, c.s.tables["catania"].Version)
	}
	if r := c.s.handleAnnounceTerm(c.now, &wire.AnnounceTerm{Cell: "catania", Term: 2, Address: "controller-2"}); r.Term != 3 || c.s.term != 3 {
		t.Errorf("an older announcement was answered with term %d", r.Term)
	}
}

// Guards against losing all groups when the controller and the store fail together.
func TestRosterRuleKeepsGroups(t *testing.T) {
	c := newClusterWithGroup(t, 5)
	delete(c.handlers, "controller-2")
	c.run(10 * time.Second)
	if !c.holdsGroup() || c.now >= c.s.holdingAuthorityEnd() {
		t.Fatal("the roster confirms, but the authority has ended")
	}
	delete(c.handlers, "router-2")
	delete(c.handlers, "router-3")
	c.run(10 * time.Second)
	if !c.holdsGroup() {
		t.Fatal("three of five confirm, but the authority has ended")
	}
	delete(c.handlers, "router-4")
	c.run(3 * time.Second)
	if c.holdsGroup() || c.now < c.s.holdingAuthorityEnd() {
		t.Error("two of five confirm, but the router keeps its groups")
	}
}

// Guards against an isolated router that keeps its authority, and against a short isolation that drops the groups.
func TestIsolatedRouterLosesAuthority(t *testing.T) {
	c := newClusterWithGroup(t, 5)
	handlers := c.handlers
	c.handlers = map[string]func(call) any{}
	c.run(900 * time.Millisecond)
	if !c.holdsGroup() {
		t.Error("the groups are dropped before the lease ends")
	}
	c.run(700 * time.Millisecond)
	if c.holdsGroup() || c.now < c.s.entryAuthorityEnd() {
		t.Error("an isolated router keeps its authority")
	}
	c.handlers = handlers
	c.run(time.Second)
	if c.now >= c.s.holdingAuthorityEnd() {
		t.Error("no lease after the isolation")
	}
	if c.holdsGroup() {
		t.Error("a group is acquired again with the epoch under which it was dropped")
	}
	c.handlers["controller-2"] = c.controllerHandler(1, table(1, 3, "vm-1", 11), nil)
	c.run(time.Second)
	if !c.holdsGroup() {
		t.Error("a new grant is ignored")
	}
}

// Guards against a process that was paused past the end of its lease and keeps its groups because a reply that arrives
// after the pause renews the lease.
func TestPauseBeyondLeaseDropsGroups(t *testing.T) {
	c := newClusterWithGroup(t, 5)
	c.now = c.now.Add(5 * time.Second)
	c.run(time.Second)
	if c.now >= c.s.holdingAuthorityEnd() {
		t.Error("no lease after the pause")
	}
	if c.holdsGroup() {
		t.Error("the group survived a pause longer than the lease")
	}
}

// Guards against two owners of a group: a router that learns of a newer term from other routers must not keep its groups
// by the roster rule, because the new controller may not know this router.
func TestNewerTermEndsRosterRule(t *testing.T) {
	c := newClusterWithGroup(t, 5)
	delete(c.handlers, "controller-2")
	c.run(2 * time.Second)
	if !c.holdsGroup() {
		t.Fatal("the roster rule doesn't keep the groups")
	}
	for n := 2; n <= 5; n++ {
		c.addRouter(n, 2, table(1, 2, "vm-1", 10), 3, 1000)
	}
	c.run(2 * time.Second)
	if c.holdsGroup() || c.now < c.s.holdingAuthorityEnd() || c.s.term != 2 {
		t.Errorf("term %d; the groups are kept without a lease of the new term", c.s.term)
	}
}

// Guards against a roster rule that ignores newer tables or configurations.
func TestRosterRuleRequiresNewestVersions(t *testing.T) {
	c := newClusterWithGroup(t, 5)
	delete(c.handlers, "controller-2")
	c.run(time.Second)
	for n := 2; n <= 5; n++ {
		c.addRouter(n, 1, table(1, 3, "vm-4", 12), 4, 1000)
	}
	c.run(3 * time.Second)
	if c.holdsGroup() {
		t.Error("the group is kept although a newer table assigns it to another router")
	}
	if c.s.configVersion() != 4 {
		t.Errorf("configuration %d; version 4 is in force", c.s.configVersion())
	}
	if c.now >= c.s.holdingAuthorityEnd() {
		t.Error("no authority although everything newer has been fetched")
	}
}

// Guards against replacing the configuration or a table by an older version.
func TestVersionsNeverDecrease(t *testing.T) {
	c := newClusterWithGroup(t, 3)
	c.s.adoptConfig(2, configBody(t, 2))
	c.s.adoptTable(c.now, table(1, 1, "vm-2", 1))
	if c.s.configVersion() != 3 || c.s.tables["catania"].Version.Sequence != 2 {
		t.Errorf("configuration %d, table %v", c.s.configVersion(), c.s.tables["catania"].Version)
	}
	c.s.adoptConfig(9, configBody(t, 8))
	c.s.adoptConfig(9, []byte("{"))
	if c.s.configVersion() != 3 {
		t.Errorf("an invalid configuration is in force as version %d", c.s.configVersion())
	}
}

// Guards against a restarted router that takes over the groups of its previous process.
func TestRestartedRouterHoldsNothing(t *testing.T) {
	c := newCluster(t, 3)
	previous := table(1, 5, "vm-1", 10)
	previous.Groups[0].GatewayIncarnation = 99
	c.handlers["controller-2"] = c.controllerHandler(1, previous, c.roster(3))
	c.run(2 * time.Second)
	if c.holdsGroup() {
		t.Error("the group of the previous process is held")
	}
	c.handlers["controller-2"] = c.controllerHandler(1, table(1, 6, "vm-1", 11), c.roster(3))
	c.run(time.Second)
	if !c.holdsGroup() {
		t.Error("the grant to the new process is ignored")
	}
}

// Guards against a new router that can't accept requests while there is no controller, and against one that holds groups
// in that state.
func TestNewRouterWithoutController(t *testing.T) {
	c := newCluster(t, 3)
	c.addRouter(2, 1, table(1, 5, "vm-1", 10), 3, 900)
	c.run(2 * time.Second)
	if c.s.config == nil || c.s.tables["catania"] == nil || c.now >= c.s.entryAuthorityEnd() {
		t.Fatal("the router has no entry authority although a router with authority has confirmed the configuration")
	}
	if c.holdsGroup() || c.s.holdingAuthorityEnd() != 0 {
		t.Error("a router without a lease holds a group")
	}
	c.addRouter(2, 1, table(1, 5, "vm-1", 10), 3, 0)
	c.run(2 * time.Second)
	if c.now < c.s.entryAuthorityEnd() {
		t.Error("a router without authority delegates authority")
	}
}

// Guards against a new router that has neither peers nor a controller and still claims authority.
func TestNewRouterWithoutPeersHasNoAuthority(t *testing.T) {
	c := newCluster(t, 1)
	c.run(3 * time.Second)
	if c.now < c.s.entryAuthorityEnd() || c.s.config != nil {
		t.Error("a router without peers or controller has authority")
	}
}

// Guards against delegated authority for a router with an outdated configuration, and against delegating it further.
func TestDelegatedAuthorityRequiresCurrentConfig(t *testing.T) {
	c := newCluster(t, 2)
	c.s.adoptConfig(3, configBody(t, 3))
	c.s.handleWitnessReply(call{address: "router-2", sentAt: c.now}, &wire.WitnessReply{Member: member(2), ConfigVersion: 4, AuthorityMillis: 1000})
	if c.s.entryAuthorityEnd() != 0 {
		t.Error("authority with an outdated configuration")
	}
	c.s.handleWitnessReply(call{address: "router-2", sentAt: c.now}, &wire.WitnessReply{Member: member(2), ConfigVersion: 3, AuthorityMillis: 1000})
	if got := c.s.entryAuthorityEnd().Sub(c.now); got <= 0 || got >= time.Second {
		t.Errorf("delegated authority for %v", got)
	}
	if c.s.handleWitness(c.now, &wire.Witness{Cell: "catania"}).AuthorityMillis != 0 {
		t.Error("delegated authority is delegated again")
	}
}

// Guards against a leaving router that stops while it still holds a group.
func TestLeave(t *testing.T) {
	c := newClusterWithGroup(t, 3)
	c.h.held = []wire.HeldGroup{{Group: "archivio/catania-a/0", Epoch: 10, State: wire.HoldActive}}
	if c.s.leave(c.now, c.h.Report()) {
		t.Fatal("the router may leave while it holds a group")
	}
	leaving := false
	controller := c.handlers["controller-2"]
	c.handlers["controller-2"] = func(call call) any {
		if hb, ok := call.request.(wire.Heartbeat); ok {
			leaving = leaving || hb.Leaving
		}
		return controller(call)
	}
	c.run(tickInterval)
	if !leaving {
		t.Error("the controller isn't told immediately")
	}
	c.s.adoptTable(c.now, table(1, 3, "", 10))
	c.h.held[0].State = wire.HoldDraining
	if c.s.leave(c.now, c.h.Report()) {
		t.Error("the router may leave while requests are in flight")
	}
	c.h.held[0].State = wire.HoldReleased
	if !c.s.leave(c.now, c.h.Report()) {
		t.Error("the router may not leave although it has released everything")
	}
}

// Guards against a dump with missing or wrong control state.
func TestDump(t *testing.T) {
	c := newClusterWithGroup(t, 3)
	d := c.s.dump(c.now)
	if d.Term != 1 || d.ConfigVersion != 3 || !strings.HasPrefix(d.Controller, "controller-") || d.HoldingMillis <= 0 {
		t.Errorf("%+v", d)
	}
}
