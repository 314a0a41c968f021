package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"slices"
	"time"

	"github.com/gravitational/trace"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/controller"
	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/placement"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	slopeSettle = 4 * time.Second
	slopePhase  = 12 * time.Second
	// requestPhase is long enough for 1% resolution of the processor time at the lowest rate.
	requestPhase = 5 * time.Second
	// cellTargets is the number of targets of one pool in a cell in these measurements.
	cellTargets = 20
)

// line is a least-squares fit y = base + slope*x.
type line struct {
	base, slope float64
}

func fit(x, y []float64) line {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx += x[i]
		sy += y[i]
		sxx += x[i] * x[i]
		sxy += x[i] * y[i]
	}
	slope := (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return line{base: (sy - slope*sx) / n, slope: slope}
}

// syntheticTable is the table of a cell as its controller publishes it.
func syntheticTable(targets, slicesPerTarget int) *topology.Table {
	cfg := oneRegion()
	pool := keyed(poolOf(cfg, "status", 0, targets), slicesPerTarget)
	cfg.Pools = []config.Pool{pool}
	region := cfg.Regions[0].Name
	table := &topology.Table{Cell: region, Version: topology.Version{Term: 7, Sequence: 1000}, Groups: placement.Groups(cfg, region)}
	for i := range table.Groups {
		g := &table.Groups[i]
		g.Gateway = fmt.Sprintf("region-1-vm%d", i%16+1)
		g.GatewayAddress = fmt.Sprintf("%s.10.%d:7300", network, i%16+1)
		g.GatewayIncarnation = 1<<63 + uint64(i)
		g.Epoch = topology.NewGroupEpoch(7, uint64(i))
	}
	table.Slices = placement.InitialSlices(pool.Name, placement.Targets(cfg, &pool, region), slicesPerTarget)
	table.Sort()
	return table
}

// tables measures the encoded size of tables and the memory of decoded ones.
func (r *runner) tables(context.Context) error {
	var x, y []float64
	for _, perTarget := range []int{4, 16, 64, 256} {
		table := syntheticTable(cellTargets, perTarget)
		data, err := msgpack.Marshal(table)
		if err != nil {
			return trace.Wrap(err)
		}
		x = append(x, float64(len(table.Slices)))
		y = append(y, float64(len(data)))
		r.report.note(fmt.Sprintf("encoded table, %d groups, %d slices", len(table.Groups), len(table.Slices)), "%d bytes", len(data))
	}
	r.report.note("bytes per slice", "%.0f", fit(x, y).slope)
	if err := r.rows(); err != nil {
		return trace.Wrap(err)
	}
	x, y = nil, nil
	for _, targets := range []int{20, 80, 240} {
		table := syntheticTable(targets, 1)
		table.Slices = nil
		data, err := msgpack.Marshal(table)
		if err != nil {
			return trace.Wrap(err)
		}
		x = append(x, float64(len(table.Groups)))
		y = append(y, float64(len(data)))
		r.report.note(fmt.Sprintf("encoded table, %d groups of %d targets", len(table.Groups), targets/len(table.Groups)), "%d bytes", len(data))
	}
	r.report.note("bytes per group", "%.0f", fit(x, y).slope)
	if err := r.tableMemory(); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(r.heartbeats())
}

// rows measures the store's row of a pool's slices in a cell, and the size of a configuration.
func (r *runner) rows() error {
	var x, y []float64
	for _, perTarget := range []int{16, 64, 256} {
		row := controller.SlicesRecord{Term: 7}
		for _, s := range syntheticTable(cellTargets, perTarget).Slices {
			row.Slices = append(row.Slices, controller.SliceRecord{
				Low: s.Low, High: s.High, Owner: s.Owner, Epoch: s.Epoch, Successors: s.Successors,
			})
		}
		data, err := json.Marshal(row)
		if err != nil {
			return trace.Wrap(err)
		}
		x = append(x, float64(len(row.Slices)))
		y = append(y, float64(len(data)))
		r.report.note(fmt.Sprintf("store row, %d slices", len(row.Slices)), "%d bytes", len(data))
	}
	r.report.note("store row bytes per slice", "%.0f", fit(x, y).slope)
	x, y = nil, nil
	for _, targets := range []int{36, 360, 3600} {
		cfg := oneRegion()
		cfg.Pools = []config.Pool{poolOf(cfg, "status", 0, targets)}
		data, err := json.Marshal(cfg)
		if err != nil {
			return trace.Wrap(err)
		}
		x = append(x, float64(targets))
		y = append(y, float64(len(data)))
		r.report.note(fmt.Sprintf("configuration, %d targets", targets), "%d bytes", len(data))
	}
	r.report.note("configuration bytes per target", "%.0f", fit(x, y).slope)
	return nil
}

// tableMemory measures the heap that decoded tables of many cells occupy.
func (r *runner) tableMemory() error {
	data, err := msgpack.Marshal(syntheticTable(cellTargets, 16))
	if err != nil {
		return trace.Wrap(err)
	}
	var x, y []float64
	for _, cells := range []int{10, 100, 750} {
		before := heapInUse()
		kept := make([]*topology.Table, cells)
		for i := range kept {
			kept[i] = new(topology.Table)
			if err := msgpack.Unmarshal(data, kept[i]); err != nil {
				return trace.Wrap(err)
			}
		}
		size := heapInUse() - before
		runtime.KeepAlive(kept)
		x = append(x, float64(cells))
		y = append(y, float64(size))
		r.report.note(fmt.Sprintf("heap for the tables of %d cells with 320 slices each", cells), "%.2f MB", float64(size)/1e6)
	}
	r.report.note("heap per table of 320 slices", "%.0f bytes", fit(x, y).slope)
	return nil
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// heartbeats measures encoded heartbeats of a gateway against what it holds, and against the number of other cells.
func (r *runner) heartbeats() error {
	var x, y []float64
	for _, groups := range []int{0, 1, 2, 4} {
		size, err := heartbeatBytes(groups, 1)
		if err != nil {
			return trace.Wrap(err)
		}
		x = append(x, float64(groups))
		y = append(y, float64(size))
		r.report.note(fmt.Sprintf("heartbeat, %d groups of 5 targets, 80 slices each, 1 other cell", groups), "%d bytes", size)
	}
	r.report.note("heartbeat bytes per group", "%.0f", fit(x, y).slope)
	x, y = nil, nil
	for _, cells := range []int{1, 10, 100, 749} {
		size, err := heartbeatBytes(1, cells)
		if err != nil {
			return trace.Wrap(err)
		}
		x = append(x, float64(cells))
		y = append(y, float64(size))
		r.report.note(fmt.Sprintf("heartbeat, 1 group, %d other cells", cells), "%d bytes", size)
	}
	r.report.note("heartbeat bytes per other cell", "%.0f", fit(x, y).slope)
	return trace.Wrap(r.witnesses())
}

func (r *runner) witnesses() error {
	member := wire.Member{VM: "region-1-vm1", Incarnation: 1<<63 + 1, Address: network + ".10.1:7300", Domain: "region-1-a"}
	ask, err := msgpack.Marshal(wire.Witness{Cell: "region-1", From: member, Term: 7})
	if err != nil {
		return trace.Wrap(err)
	}
	answer, err := msgpack.Marshal(wire.WitnessReply{Member: member, Term: 7, ConfigVersion: 7000, Leader: network + ".10.1:7400"})
	if err != nil {
		return trace.Wrap(err)
	}
	r.report.note("witness / its answer", "%d / %d bytes", len(ask), len(answer))
	return nil
}

func heartbeatBytes(groups, otherCells int) (int, error) {
	hb := wire.Heartbeat{
		Cell:          "region-1",
		Member:        wire.Member{VM: "region-1-vm1", Incarnation: 1<<63 + 1, Address: network + ".10.1:7300", Domain: "region-1-a"},
		Term:          7,
		TableVersion:  topology.Version{Term: 7, Sequence: 1000},
		OtherTables:   map[string]topology.Version{},
		ConfigVersion: 7000,
		RosterVersion: 12,
	}
	for i := range otherCells {
		hb.OtherTables[fmt.Sprintf("region-%d", i+2)] = topology.Version{Term: 7, Sequence: 1000}
	}
	for g := range groups {
		hb.Held = append(hb.Held, wire.HeldGroup{
			Group: topology.NewGroupID("status", "region-1-a", g),
			Epoch: topology.NewGroupEpoch(7, uint64(g)),
			State: wire.HoldActive,
		})
		for t := range 5 {
			hb.Targets = append(hb.Targets, wire.TargetReport{Target: fmt.Sprintf("status-%d", 5*g+t), State: wire.TargetServing,
				InFlight: 1, Limit: 2, Rate: 50.25, LatencyMicros: 20_500})
		}
		for n := range 80 {
			hb.Loads = append(hb.Loads, wire.SliceLoad{Pool: "status", Low: 1<<60 + uint64(n), Rate: 3.25})
		}
	}
	data, err := msgpack.Marshal(&hb)
	return len(data), trace.Wrap(err)
}

// requests measures the processor time per request of an entry router and of a gateway: the slope against the rate, so that
// the cost of control drops out.
func (r *runner) requests(ctx context.Context) error {
	p, err := r.deployPair(ctx, latencyConfig(), "--service-ms", "1", "--spread", "0")
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.close()
	client := newClient(100)
	defer client.CloseIdleConnections()
	if _, err := sendAtRate(ctx, latencyRate, 2*time.Second, func(n int) error { return getKey(client, p.otherVM.callerURL(), n) }); err != nil {
		return trace.Wrap(err, "warm-up")
	}
	for _, way := range []struct {
		name string
		vm   *vm
	}{{"remote gateway", p.otherVM}, {"local gateway", p.gatewayVM}} {
		var x, entry, gateway []float64
		for _, rate := range []float64{250, 500, 1000, 2000} {
			cpu := func() (usage, usage, error) {
				a, err := usageOf(p.otherVM.router)
				if err != nil {
					return a, a, trace.Wrap(err)
				}
				b, err := usageOf(p.gatewayVM.router)
				return a, b, trace.Wrap(err)
			}
			e0, g0, err := cpu()
			if err != nil {
				return err
			}
			s, err := sendAtRate(ctx, rate, requestPhase, func(n int) error { return getKey(client, way.vm.callerURL(), n) })
			if err != nil {
				return trace.Wrap(err)
			}
			e1, g1, err := cpu()
			if err != nil {
				return err
			}
			done := float64(len(s)) / e1.at.Sub(e0.at).Seconds()
			e, g := between(e0, e1), between(g0, g1)
			x = append(x, done)
			entry = append(entry, e.cpu)
			gateway = append(gateway, g.cpu)
			r.report.note(fmt.Sprintf("%s, %.0f requests/s: other router, gateway", way.name, done),
				"%.1f%%, %.1f%% of a core; %.1f MB, %.1f MB", 100*e.cpu, 100*g.cpu, megabytes(e.resident), megabytes(g.resident))
		}
		if way.vm == p.otherVM {
			r.report.note("entry router: processor time per request", "%.0f us", 1e6*fit(x, entry).slope)
			r.report.note("gateway: processor time per request", "%.0f us", 1e6*fit(x, gateway).slope)
		} else {
			r.report.note("entry router and gateway in one: processor time per request", "%.0f us", 1e6*fit(x, gateway).slope)
		}
	}
	return nil
}

// slopeConfig is one keyed pool with the same number of targets in each cell.
func slopeConfig(cells, slicesPerTarget int) *config.Config {
	cfg := regions(cells)
	pool := keyed(poolOf(cfg, "status", 0, cellTargets*cells), slicesPerTarget)
	cfg.Pools = []config.Pool{pool}
	cfg.Routes = []config.Route{reads(&pool)}
	return cfg
}

// slopeDeployment observes a deployment without load.
func (r *runner) slopeDeployment(ctx context.Context, cells, vms, slicesPerTarget int) (*observation, error) {
	d, err := r.deploy(ctx, spec{config: slopeConfig(cells, slicesPerTarget), vms: vms})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer d.close()
	o, err := d.observe(ctx, slopeSettle, slopePhase)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	o.inForce, err = d.changeWeight(ctx)
	return o, trace.Wrap(err)
}

// changeWeight applies a small change and returns the time until it is accepted, that is in force on every router.
func (d *deployment) changeWeight(ctx context.Context) (time.Duration, error) {
	current, err := d.operator.Current(ctx)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	changed := *current.Config
	changed.Routes = slices.Clone(changed.Routes)
	changed.Routes[0].Weight++
	began := time.Now()
	result := d.operator.Apply(ctx, &changed, operator.ApplyOptions{Reason: "heavier class"})
	if result.Outcome != operator.Accepted {
		return 0, trace.BadParameter("change: %s: %s", result.Outcome, result.Message)
	}
	return time.Since(began), nil
}

// printSlopes prints one observation and returns the active controller and the mean of the others.
func (r *runner) printSlopes(name string, o *observation) (active, candidate, router rates) {
	var candidates []rates
	for i := range o.controllers {
		if o.leads[i] {
			active = o.controllers[i]
		} else {
			candidates = append(candidates, o.controllers[i])
		}
	}
	candidate, _ = meanAndMax(candidates)
	router, _ = meanAndMax(o.routers)
	r.report.note(name+": active controller", "%s", active)
	r.report.note(name+": candidate (mean)", "%s", candidate)
	r.report.note(name+": router (mean)", "%s", router)
	r.report.note(name+": store", "%.2f reads/s, %.2f writes/s", o.reads, o.writes)
	r.report.note(name+": change of the configuration in force after", "%v", o.inForce.Round(time.Millisecond))
	return active, candidate, router
}

// series collects one figure of each part for a fit.
type series struct {
	x                                     []float64
	cpu, resident, sent, received         []float64
	routerCPU, routerResident, routerSent []float64
	routerReceived, reads, writes         []float64
}

func (s *series) add(x float64, active, router rates, o *observation) {
	s.x = append(s.x, x)
	s.cpu = append(s.cpu, active.cpu)
	s.resident = append(s.resident, megabytes(active.resident))
	s.sent = append(s.sent, active.sent)
	s.received = append(s.received, active.received)
	s.routerCPU = append(s.routerCPU, router.cpu)
	s.routerResident = append(s.routerResident, megabytes(router.resident))
	s.routerSent = append(s.routerSent, router.sent)
	s.routerReceived = append(s.routerReceived, router.received)
	s.reads = append(s.reads, o.reads)
	s.writes = append(s.writes, o.writes)
}

func (r *runner) printFits(unit string, s *series) {
	for _, f := range []struct {
		name   string
		values []float64
		scale  float64
		unit   string
	}{
		{"active controller", s.cpu, 100, "% of a core"},
		{"active controller", s.resident, 1, "MB"},
		{"active controller sent", s.sent, 1, "B/s"},
		{"active controller received", s.received, 1, "B/s"},
		{"router", s.routerCPU, 100, "% of a core"},
		{"router", s.routerResident, 1, "MB"},
		{"router sent", s.routerSent, 1, "B/s"},
		{"router received", s.routerReceived, 1, "B/s"},
		{"store", s.reads, 1, "reads/s"},
		{"store", s.writes, 1, "writes/s"},
	} {
		l := fit(s.x, f.values)
		r.report.note("fit: "+f.name, "%.4g + %.4g per %s %s", l.base*f.scale, l.slope*f.scale, unit, f.unit)
	}
}

func (r *runner) routers(ctx context.Context) error {
	var s series
	for _, n := range []int{4, 8, 16} {
		o, err := r.slopeDeployment(ctx, 1, n, 16)
		if err != nil {
			return trace.Wrap(err)
		}
		active, _, router := r.printSlopes(fmt.Sprintf("%d routers, %d slices", n, o.tableSlices), o)
		s.add(float64(n), active, router, o)
	}
	r.printFits("router", &s)
	return nil
}

func (r *runner) slices(ctx context.Context) error {
	var s series
	// 512 slices for each of 20 targets make a table just below the largest frame of 1 MiB.
	for _, perTarget := range []int{16, 128, 512} {
		o, err := r.slopeDeployment(ctx, 1, 4, perTarget)
		if err != nil {
			return trace.Wrap(err)
		}
		active, _, router := r.printSlopes(fmt.Sprintf("4 routers, %d slices", o.tableSlices), o)
		s.add(float64(o.tableSlices)/1000, active, router, o)
	}
	r.printFits("1,000 slices", &s)
	return nil
}

func (r *runner) cells(ctx context.Context) error {
	var s series
	for _, n := range []int{1, 2, 4} {
		o, err := r.slopeDeployment(ctx, n, 2, 16)
		if err != nil {
			return trace.Wrap(err)
		}
		active, _, router := r.printSlopes(fmt.Sprintf("%d cells of 2 routers", n), o)
		s.add(float64(n), active, router, o)
	}
	r.printFits("cell", &s)
	return nil
}
