package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// frameBytes is the header of a frame.
const frameBytes = 6

// benchConfig has the pools of a user of today: 20 keyed, 8 orders and 8 bundles targets in two failure domains.
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

// BenchmarkControl measures one second of control in a steady cell: heartbeats of all routers with their encoding and
// decoding on both sides, and the controller's own work. ns/op is for the whole cell. The message counts don't include
// TCP/IP headers.
func BenchmarkControl(b *testing.B) {
	for _, routers := range []int{4, 8, 12, 16} {
		b.Run(fmt.Sprintf("routers=%d", routers), func(b *testing.B) {
			benchmarkControl(b, routers)
		})
	}
}

func benchmarkControl(b *testing.B, routers int) {
	w := newWorld(1, routers, benchConfig())
	if _, ok := w.await(20*time.Second, w.complete); !ok {
		b.Fatal("cell not complete")
	}
	// Long enough for the balancing of groups to end.
	w.run(60 * time.Second)
	leader := w.leadingCandidate()
	beats := make([]*wire.Heartbeat, 0, routers)
	for _, r := range w.routers {
		beats = append(beats, r.heartbeat())
	}
	bytes := 0
	reads, writes := leader.state.reads, leader.state.writes
	for b.Loop() {
		bytes = 0
		for range 4 {
			bytes += w.quarter(b, leader, beats)
		}
	}
	loads := 0
	for _, hb := range beats {
		loads += len(mustEncode(b, hb.Loads))
	}
	seconds := float64(b.N)
	b.ReportMetric(float64(bytes)/float64(routers), "B/s/router")
	// The slices' rates are the largest part; this is their share of the bytes.
	b.ReportMetric(float64(4*loads)/float64(routers), "load-B/s/router")
	b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/float64(routers), "cpu-us/s/router")
	b.ReportMetric(float64(leader.state.reads-reads)/seconds, "store-reads/s")
	b.ReportMetric(float64(leader.state.writes-writes)/seconds, "store-writes/s")
}

func (w *world) leadingCandidate() *candidate {
	for _, c := range w.cands {
		if c.state == w.leader() {
			return c
		}
	}
	return nil
}

// quarter runs 250 ms of control and returns the bytes of its messages.
func (w *world) quarter(b *testing.B, leader *candidate, beats []*wire.Heartbeat) int {
	bytes := 0
	for range 5 {
		w.now += TickInterval
		now := leader.clock(w)
		leader.state.Tick(now)
		for _, e := range leader.state.Effects() {
			if call, ok := e.(Call); ok {
				b.Fatalf("call of type %d in a steady cell", call.Type)
			}
			leader.state.Handle(now, w.perform(e))
		}
	}
	for _, hb := range beats {
		bytes += exchange(b, leader, hb)
	}
	return bytes
}

func exchange(b *testing.B, leader *candidate, hb *wire.Heartbeat) int {
	out := mustEncode(b, hb)
	var in wire.Heartbeat
	if err := msgpack.Unmarshal(out, &in); err != nil {
		b.Fatal(err)
	}
	back := mustEncode(b, leader.state.Heartbeat(leader.clock(leader.w), &in))
	var reply wire.HeartbeatReply
	if err := msgpack.Unmarshal(back, &reply); err != nil {
		b.Fatal(err)
	}
	if !reply.Active {
		b.Fatal("the controller isn't active")
	}
	return len(out) + len(back) + 2*frameBytes
}

func mustEncode(b *testing.B, message any) []byte {
	data, err := msgpack.Marshal(message)
	if err != nil {
		b.Fatal(err)
	}
	return data
}
