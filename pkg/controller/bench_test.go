package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// frameHeaderBytes is the size of a frame header.
const frameHeaderBytes = 6

// benchConfig has the pools of a present-day user: 20 keyed targets, and 8 targets each in the plain pool (orders)
// and in bundles, in two failure domains.
func benchConfig() *config.Config {
	cfg := testConfig(1, 20)
	cfg.Pools[0].SlicesPerTarget = 16
	cfg.Pools[1].Targets = cfg.Pools[1].Targets[:8]
	more := cfg.Pools[1]
	more.Name = "bundles"
	more.Targets = nil
	for i, t := range cfg.Pools[1].Targets {
		t.ID = "b" + t.ID
		t.Address = fmt.Sprintf("127.0.0.1:%d", 22000+i)
		more.Targets = append(more.Targets, t)
	}
	cfg.Pools = append(cfg.Pools, more)
	cfg.Routes = append(cfg.Routes, config.Route{Name: "b", PathPrefix: "/b", Methods: []string{"GET"}, Pool: "bundles",
		Class: "b", Weight: 1, Idempotent: true, Deadline: 1000, MaxBodyBytes: 1000})
	return cfg
}

// BenchmarkControl measures one second of control traffic in a steady cell: the heartbeats of all routers, encoded
// and decoded on both sides, and the controller's own work. ns/op covers the whole cell. The byte counts don't
// include TCP/IP headers.
func BenchmarkControl(b *testing.B) {
	for _, routers := range []int{4, 8, 12, 16} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			benchmarkControl(b, routers)
		})
	}
}

func benchmarkControl(b *testing.B, routers int) {
	sim := newSimulation(1, routers, benchConfig())
	if _, ok := sim.runUntil(20*time.Second, sim.complete); !ok {
		b.Fatal("cell not complete")
	}
	// The groups are balanced by the end of this run.
	sim.run(60 * time.Second)
	leader := sim.leadingCandidate()
	heartbeats := make([]*wire.Heartbeat, 0, routers)
	for _, r := range sim.routers {
		heartbeats = append(heartbeats, r.heartbeat())
	}
	bytes := 0
	reads, writes := leader.state.reads, leader.state.writes
	for b.Loop() {
		bytes = 0
		for range 4 {
			bytes += sim.runQuarterSecond(b, leader, heartbeats)
		}
	}
	loads := 0
	for _, hb := range heartbeats {
		loads += len(mustEncode(b, hb.Loads))
	}
	seconds := float64(b.N)
	b.ReportMetric(float64(bytes)/float64(routers), "B/s/router")
	// The slice rates are the largest part of the messages; this metric is their share of the bytes.
	b.ReportMetric(float64(4*loads)/float64(routers), "load-B/s/router")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/float64(routers), "cpu-us/s/router")
	b.ReportMetric(float64(leader.state.reads-reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(leader.state.writes-writes)/seconds, "store-writes/s")
}

func (sim *simulation) leadingCandidate() *candidate {
	for _, c := range sim.candidates {
		if c.state == sim.leader() {
			return c
		}
	}
	return nil
}

// runQuarterSecond runs 250 ms of control and returns the size of its messages in bytes.
func (sim *simulation) runQuarterSecond(b *testing.B, leader *candidate, heartbeats []*wire.Heartbeat) int {
	bytes := 0
	for range 5 {
		sim.now += TickInterval
		now := leader.clock(sim)
		leader.state.Tick(now)
		for _, e := range leader.state.Effects() {
			if call, ok := e.(Call); ok {
				b.Fatalf("call of type %d in a steady cell", call.Type)
			}
			leader.state.Handle(now, sim.perform(e))
		}
	}
	for _, hb := range heartbeats {
		bytes += exchangeHeartbeat(b, leader, hb)
	}
	return bytes
}

func exchangeHeartbeat(b *testing.B, leader *candidate, hb *wire.Heartbeat) int {
	out := mustEncode(b, hb)
	var in wire.Heartbeat
	if err := msgpack.Unmarshal(out, &in); err != nil {
		b.Fatal(err)
	}
	back := mustEncode(b, leader.state.Heartbeat(leader.clock(leader.sim), &in))
	var reply wire.HeartbeatReply
	if err := msgpack.Unmarshal(back, &reply); err != nil {
		b.Fatal(err)
	}
	if !reply.Active {
		b.Fatal("the controller isn't active")
	}
	return len(out) + len(back) + 2*frameHeaderBytes
}

func mustEncode(b *testing.B, message any) []byte {
	data, err := msgpack.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return data
}
