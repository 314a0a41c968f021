package bench

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// controlSettle is longer than groups move to better places after the start.
	controlSettle = 12 * time.Second
	controlPhase  = 15 * time.Second
	outageSettle  = 4 * time.Second
	outagePhase   = 10 * time.Second
	// presentVMs makes 10 entry VMs in two regions.
	presentVMs = 5

	maxControlCPU   = 0.01
	maxControlMB    = 64
	maxControlBytes = 13_000
)

// observation is what a deployment without load costs.
type observation struct {
	// nodes are router and controller of each VM together, in the order of the deployment's VMs.
	nodes       []rates
	routers     []rates
	controllers []rates
	// leads tells which VMs have the active controller of their cell.
	leads []bool
	// reads and writes of the store per second, over all cells.
	reads, writes float64
	tableSlices   int
	tableGroups   int
	// inForce is the time until a change of the configuration was accepted; 0 if none was made.
	inForce time.Duration
}

// observe measures all processes over a time without load.
func (d *deployment) observe(ctx context.Context, settle, phase time.Duration) (*observation, error) {
	pause(ctx, settle)
	before, err := d.usages()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	countsBefore, err := d.counts()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	began := time.Now()
	pause(ctx, phase)
	after, err := d.usages()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	counts, err := d.counts()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	o := &observation{}
	o.addCounts(countsBefore, counts, time.Since(began))
	for i := range d.vms {
		router := between(before[i][0], after[i][0])
		controller := between(before[i][1], after[i][1])
		o.routers = append(o.routers, router)
		o.controllers = append(o.controllers, controller)
		o.nodes = append(o.nodes, router.plus(controller))
	}
	return o, trace.Wrap(d.addLeaders(ctx, o))
}

func (o *observation) addCounts(before, after platform.Counts, took time.Duration) {
	seconds := took.Seconds()
	o.reads = float64(after.Reads+after.ObjectReads-before.Reads-before.ObjectReads) / seconds
	o.writes = float64(after.Writes+after.WriteConflicts+after.ObjectWrites-
		before.Writes-before.WriteConflicts-before.ObjectWrites) / seconds
}

func (d *deployment) addLeaders(ctx context.Context, o *observation) error {
	o.leads = make([]bool, len(d.vms))
	status := map[string]*wire.StatusReply{}
	for i, v := range d.vms {
		s := status[v.Cell]
		if s == nil {
			var err error
			if s, err = d.status(ctx, v.Cell); err != nil {
				return trace.Wrap(err)
			}
			status[v.Cell] = s
			o.tableSlices = len(s.Table.Slices)
			o.tableGroups = len(s.Table.Groups)
		}
		o.leads[i] = d.leads(v, s)
	}
	return nil
}

// usages returns those of the router and of the controller of each VM.
func (d *deployment) usages() ([][2]usage, error) {
	var all [][2]usage
	for _, v := range d.vms {
		router, err := usageOf(v.router)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		controller, err := usageOf(v.controller)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, [2]usage{router, controller})
	}
	return all, nil
}

// meanAndMax combine nodes; the maxima of different figures may come from different nodes.
func meanAndMax(nodes []rates) (mean, most rates) {
	for _, n := range nodes {
		mean = mean.plus(n)
		most.cpu = max(most.cpu, n.cpu)
		most.sent = max(most.sent, n.sent)
		most.received = max(most.received, n.received)
		most.resident = max(most.resident, n.resident)
	}
	count := float64(len(nodes))
	mean.cpu /= count
	mean.sent /= count
	mean.received /= count
	mean.resident /= int64(len(nodes))
	return mean, most
}

// presentConfig is the example of a user with the addresses of this package.
func (r *runner) presentConfig() (*config.Config, error) {
	file := filepath.Join(r.Examples, "nastri-caruso", "config.json")
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	data = bytes.ReplaceAll(data, []byte("127.0.2"), []byte(network+".12"))
	cfg, findings := config.Parse(data, file)
	return cfg, trace.Wrap(findings.Err())
}

// control measures the cost of control per entry VM: router and controller candidate together.
func (r *runner) control(ctx context.Context) error {
	cfg, err := r.presentConfig()
	if err != nil {
		return trace.Wrap(err)
	}
	d, err := r.deploy(ctx, spec{config: cfg, vms: presentVMs})
	if err != nil {
		return trace.Wrap(err)
	}
	defer d.close()
	o, err := d.observe(ctx, controlSettle, controlPhase)
	if err != nil {
		return trace.Wrap(err)
	}
	r.report.note("entry VMs / groups / slices of a cell", "%d / %d / %d", len(d.vms), o.tableGroups, o.tableSlices)
	mean, most := meanAndMax(o.nodes)
	for _, row := range []struct {
		name string
		rates
	}{{"mean node", mean}, {"largest node", most}} {
		r.report.atMost(row.name+": share of a core", row.cpu, maxControlCPU, "")
		r.report.atMost(row.name+": resident", megabytes(row.resident), maxControlMB, "MB")
		r.report.atMost(row.name+": sent", row.sent, maxControlBytes, "B/s")
		r.report.atMost(row.name+": received", row.received, maxControlBytes, "B/s")
	}
	for i, v := range d.vms {
		if o.leads[i] {
			r.printNode(v.VM+" (active controller)", o, i)
		}
	}
	for i, v := range d.vms {
		if !o.leads[i] {
			r.printNode(v.VM, o, i)
			break
		}
	}
	r.report.note("store, all cells", "%.2f reads/s, %.2f writes/s", o.reads, o.writes)
	return trace.Wrap(r.controlWithoutStore(ctx, d))
}

// controlWithoutStore measures the same while the store is down, when authority depends on answers of the roster.
func (r *runner) controlWithoutStore(ctx context.Context, d *deployment) error {
	if err := d.put("http://"+platformAddress+"/faults", `{"down": true}`); err != nil {
		return trace.Wrap(err)
	}
	o, err := d.observe(ctx, outageSettle, outagePhase)
	if err != nil {
		return trace.Wrap(err)
	}
	for i, v := range d.vms {
		if o.leads[i] {
			r.printNode("store down: "+v.VM+" (active controller)", o, i)
		}
	}
	mean, _ := meanAndMax(o.nodes)
	r.report.note("store down: mean node", "%s", mean)
	return nil
}

func (r *runner) printNode(name string, o *observation, i int) {
	r.report.note(name+": router", "%s", o.routers[i])
	r.report.note(name+": controller", "%s", o.controllers[i])
}
