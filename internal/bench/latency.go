package bench

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/topology"
)

const (
	latencyRate   = 1000
	latencyPhase  = 3 * time.Second
	latencyRounds = 5
	settleTime    = 2 * time.Second

	maxAddedMicros = 300
	maxRatio       = 2
)

// way is one way to the same target.
type way struct {
	name string
	url  string
}

// pair is a deployment of two entry VMs and one target, so that one VM is the gateway and the other isn't.
type pair struct {
	*deployment
	gatewayVM, otherVM *vm
	target             *config.Target
}

func (r *runner) deployPair(ctx context.Context, cfg *config.Config, targetArgs ...string) (*pair, error) {
	d, err := r.deploy(ctx, spec{config: cfg, vms: 2, targetArgs: targetArgs})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	// Groups may move once more when all routers are known, and a new gateway sends nothing before the longest deadline of a
	// possible former one has passed.
	pause(ctx, settleTime+cfg.Pools[0].MaxDeadline.Duration())
	status, err := d.status(ctx, cfg.Regions[0].Name)
	if err != nil {
		d.close()
		return nil, trace.Wrap(err)
	}
	t := &cfg.Pools[0].Targets[0]
	holder, err := d.gateway(status.Table, topology.NewGroupID(cfg.Pools[0].Name, t.Domain, 0))
	if err != nil {
		d.close()
		return nil, trace.Wrap(err)
	}
	p := &pair{deployment: d, gatewayVM: holder, target: t}
	for _, v := range d.vms {
		if v != holder {
			p.otherVM = v
		}
	}
	return p, nil
}

func (p *pair) ways() []way {
	return []way{
		{"direct", "http://" + p.target.Address},
		{"local gateway", p.gatewayVM.callerURL()},
		{"remote gateway", p.otherVM.callerURL()},
	}
}

// latencyConfig is a keyed pool with one target that has slots for the whole load, so that nothing queues.
func latencyConfig() *config.Config {
	cfg := oneRegion()
	pool := keyed(poolOf(cfg, "status", 0, 1), 16)
	pool.Slots = 64
	pool.ColdConcurrency = 64
	cfg.Pools = []config.Pool{pool}
	cfg.Routes = []config.Route{reads(&pool)}
	return cfg
}

// latency alternates short phases of direct calls and calls through a local and a remote gateway.
func (r *runner) latency(ctx context.Context) error {
	p, err := r.deployPair(ctx, latencyConfig(), "--service-ms", "1", "--spread", "0")
	if err != nil {
		return trace.Wrap(err)
	}
	defer p.close()
	client := newClient(100)
	defer client.CloseIdleConnections()
	p50 := map[string][]time.Duration{}
	p99 := map[string][]time.Duration{}
	refused := 0
	// Round 0 fills the connection pools and ends the cold ramp.
	for round := range latencyRounds + 1 {
		for _, w := range p.ways() {
			s, failed, err := countAtRate(ctx, latencyRate, latencyPhase, func(n int) error { return getKey(client, w.url, n) })
			if len(s) == 0 || ctx.Err() != nil {
				return trace.Wrap(errors.Join(err, ctx.Err()), w.name)
			}
			if round > 0 {
				p50[w.name] = append(p50[w.name], s.at(0.5))
				p99[w.name] = append(p99[w.name], s.at(0.99))
				refused += failed
			}
		}
	}
	r.report.atMost("refused requests", float64(refused), 0, "")
	direct := p50["direct"]
	r.report.note("direct: medians of the rounds", "%v", direct)
	for _, name := range []string{"local gateway", "remote gateway"} {
		var added []time.Duration
		for i, d := range p50[name] {
			added = append(added, d-direct[i])
		}
		r.report.note(name+": medians of the rounds", "%v", p50[name])
		r.report.atMost(name+": p50 added", micros(median(added)), maxAddedMicros, "us")
		r.report.atMost(name+": p50 against direct", float64(median(p50[name]))/float64(median(direct)), maxRatio, "times")
		r.report.note(name+": p99 against direct", "%.2f times", float64(median(p99[name]))/float64(median(p99["direct"])))
	}
	return nil
}

func getKey(client *http.Client, base string, n int) error {
	return get(client, fmt.Sprintf("%s/status/key-%d", base, n%1000))
}
