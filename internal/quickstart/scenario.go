package quickstart

import (
	"context"
	"fmt"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/internal/load"
	"github.com/bronzelever/bronzelever/internal/standin/balancer"
	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/store"
	"github.com/bronzelever/bronzelever/pkg/store/dynamo"
)

// Bounds of the outcomes. They come from the stated target, not from measured figures.
const (
	maxServedAgain   = 4000.0
	maxDomainOut     = 2000.0
	maxInForce       = 6000.0
	maxResidentBytes = 2 << 30
	maxDuration      = 90 * time.Second

	readyTimeout = 20 * time.Second
	stopTimeout  = 25 * time.Second
	// settleTime separates the faults, so that each figure has one cause.
	settleTime = 3 * time.Second
	loadTime   = 40 * time.Second
	// readRate and orderRate are in requests per second.
	readRate      = 300
	orderRate     = 40
	bundleBytes   = 4 << 20
	bundleTimeout = 20 * time.Second
)

// scenario is one run of the deployment under load and faults.
type scenario struct {
	*deployment
	report   *report
	operator *operator.Operator
	store    store.Store
	client   *peer.Client
	prober   *prober
	// probeKeys is how many keys are looked up to find the ones that a target owns.
	probeKeys int
	// readRate is in reads per second.
	readRate float64
	// bundleBytes is the size of a bundle of the load, bundleTimeout bounds its transfer.
	bundleBytes   int64
	bundleTimeout time.Duration
	loads         chan loadResult
	// stopBalancers ends the balancer stand-ins.
	stopBalancers context.CancelFunc
	balancers     []*balancer.Balancer
	urls          []string
}

type loadResult struct {
	report load.Report
	err    error
}

func newScenario(d *deployment, r *report) (*scenario, error) {
	st, err := dynamo.New(d.storeSettings(), tally.NoopScope)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	client := peer.NewClient("operator")
	op := operator.New(operator.Options{Store: st, Caller: client, Cells: d.cells(), By: "quickstart", AcceptTimeout: readyTimeout})
	return &scenario{
		deployment:    d,
		report:        r,
		operator:      op,
		store:         st,
		client:        client,
		probeKeys:     probeKeys,
		readRate:      readRate,
		bundleBytes:   bundleBytes,
		bundleTimeout: bundleTimeout,
		loads:         make(chan loadResult, 1),
	}, nil
}

func (d *deployment) cells() []operator.Cell {
	var cells []operator.Cell
	for _, region := range d.config.Regions {
		cell := operator.Cell{Name: region.Name}
		for _, v := range d.vms {
			if v.Cell == region.Name {
				cell.Controllers = append(cell.Controllers, v.at(controllerPort))
			}
		}
		cells = append(cells, cell)
	}
	return cells
}

// startBalancers starts one balancer per region on the region's caller address.
func (s *scenario) startBalancers(ctx context.Context) error {
	ctx, s.stopBalancers = context.WithCancel(ctx)
	for i, region := range s.config.Regions {
		address := fmt.Sprintf("%s.%d.100:8080", s.prefix, 10+i*10)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return trace.Wrap(err)
		}
		b := balancer.New(listener, s.balancerBackends(region.Name))
		go b.Run(ctx)
		s.balancers = append(s.balancers, b)
		s.urls = append(s.urls, "http://"+address)
	}
	s.prober = newProber(s.urls[0], s.probeKeys)
	return nil
}

// waitServing waits until every entry VM is ready and every slice has an owner and every group a gateway.
func (s *scenario) waitServing(ctx context.Context) error {
	return waitFor(readyTimeout, "all entry VMs ready, all groups and slices served", func() bool {
		for _, v := range s.vms {
			if v.router.Running() && !s.ready(v) {
				return false
			}
		}
		return s.allServed(ctx)
	})
}

func (s *scenario) allServed(ctx context.Context) bool {
	for _, cell := range s.operator.Status(ctx).Cells {
		if cell.Error != "" || cell.Groups == 0 || len(cell.GroupsUnheld) > 0 || cell.SlicesUnowned > 0 {
			return false
		}
	}
	return true
}

// startLoad sends all three classes through both balancers, orders at the given rate per second.
func (s *scenario) startLoad(ctx context.Context, duration time.Duration, orderRate float64) {
	cfg := load.Config{
		URLs: s.urls,
		Classes: []load.Class{
			{Name: "status", Kind: load.Read, Path: "/status/", Rate: s.readRate, Weight: 1, Timeout: 800 * time.Millisecond},
			{Name: "orders", Kind: load.Order, Path: "/orders", Rate: orderRate, Weight: 10, RepeatShare: 0.1, Timeout: 2 * time.Second},
			{Name: "uploads", Kind: load.Upload, Path: "/photos", Rate: 2, Weight: 3, BundleBytes: s.bundleBytes, Timeout: s.bundleTimeout},
			{Name: "downloads", Kind: load.Download, Path: "/photos/", Rate: 2, Weight: 3, BundleBytes: s.bundleBytes, Timeout: s.bundleTimeout},
		},
		Duration: duration,
		Seed:     1,
	}
	go func() {
		r, err := load.Run(ctx, cfg)
		s.loads <- loadResult{report: r, err: err}
	}()
}
