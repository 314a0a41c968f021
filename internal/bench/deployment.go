package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"
	"github.com/uber-go/tally/v4"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/store/dynamo"
	"github.com/bronzelever/bronzelever/pkg/topology"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// network begins all addresses. It differs from that of package quickstart, so that both can run at once.
	network         = "127.72"
	platformAddress = network + ".0.10:7000"
	accessKeyEnv    = "BRONZELEVER_BENCH_ACCESS_KEY"
	secretKeyEnv    = "BRONZELEVER_BENCH_SECRET_KEY"

	startTimeout = 10 * time.Second
	readyTimeout = 30 * time.Second
	pollInterval = 50 * time.Millisecond
	callTimeout  = 2 * time.Second
)

// vm is an entry VM: one router and one controller candidate on one address.
type vm struct {
	settings.Identity
	address    string
	router     *child.Process
	controller *child.Process
}

func (v *vm) at(port string) string {
	return v.address + ":" + port
}

func (v *vm) callerURL() string {
	return "http://" + v.at("8080")
}

// spec describes a deployment.
type spec struct {
	config *config.Config
	// vms is the number of entry VMs per region.
	vms int
	// targetArgs are further arguments of the target stand-ins.
	targetArgs []string
}

// deployment is a running set of processes.
type deployment struct {
	*child.Supervisor
	spec
	vms      []*vm
	client   *http.Client
	peers    *peer.Client
	operator *operator.Operator
}

// deploy starts everything and waits until all groups and slices are served.
func (r *runner) deploy(ctx context.Context, s spec) (*deployment, error) {
	dir, err := os.MkdirTemp(r.LogDir, "deployment-")
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	d := &deployment{
		Supervisor: &child.Supervisor{BinDir: r.BinDir, LogDir: dir},
		spec:       s,
		client:     &http.Client{Timeout: callTimeout},
		peers:      peer.NewClient("bench"),
	}
	for i, region := range s.config.Regions {
		for n := range s.vms {
			d.vms = append(d.vms, &vm{
				Identity: settings.Identity{
					VM:     fmt.Sprintf("%s-vm%d", region.Name, n+1),
					Cell:   region.Name,
					Region: region.Name,
					Domain: region.Domains[n%len(region.Domains)],
				},
				address: fmt.Sprintf("%s.%d.%d", network, 10+i, n+1),
			})
		}
	}
	if err := d.startAll(ctx); err != nil {
		d.close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

func (d *deployment) close() {
	d.KillAll()
	d.peers.Close()
	d.client.CloseIdleConnections()
}

func (d *deployment) startAll(ctx context.Context) error {
	if _, err := d.Start("platform", "platformstandin", "--listen", platformAddress); err != nil {
		return trace.Wrap(err)
	}
	if err := waitFor(ctx, startTimeout, "platform stand-in", func() bool { _, err := d.counts(); return err == nil }); err != nil {
		return trace.Wrap(err)
	}
	if err := d.startTargets(); err != nil {
		return trace.Wrap(err)
	}
	for _, v := range d.vms {
		if err := d.startVM(v); err != nil {
			return trace.Wrap(err)
		}
	}
	st, err := dynamo.New(storeSettings(), tally.NoopScope)
	if err != nil {
		return trace.Wrap(err)
	}
	d.operator = operator.New(operator.Options{Store: st, Caller: d.peers, Cells: d.cells(), By: "bench", AcceptTimeout: readyTimeout})
	result := d.operator.Apply(ctx, d.config, operator.ApplyOptions{Reason: "first configuration"})
	if result.Outcome != operator.Accepted {
		return trace.BadParameter("first configuration: %s: %s", result.Outcome, result.Message)
	}
	if err := waitFor(ctx, readyTimeout, "all groups and slices served", func() bool { return d.served(ctx) }); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(d.CheckAllRunning())
}

func (d *deployment) startTargets() error {
	for i := range d.config.Pools {
		pool := &d.config.Pools[i]
		for n := range pool.Targets {
			t := &pool.Targets[n]
			args := append([]string{
				"--listen", t.Address,
				"--control-listen", controlAddress(t),
				"--id", t.ID,
				"--slots", strconv.Itoa(pool.Slots),
				"--connections", strconv.Itoa(pool.Connections),
				"--seed", strconv.Itoa(n + 1),
			}, d.targetArgs...)
			if _, err := d.Start("target-"+t.ID, "targetstandin", args...); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	return nil
}

// controlAddress is where a target stand-in serves its record: the same host, another port.
func controlAddress(t *config.Target) string {
	return t.Address[:len(t.Address)-len("8000")] + "8001"
}

func (d *deployment) startVM(v *vm) error {
	routerFile := filepath.Join(d.LogDir, "router-"+v.VM+".json")
	controllerFile := filepath.Join(d.LogDir, "controller-"+v.VM+".json")
	err := writeJSON(routerFile, settings.Router{
		Identity:     v.Identity,
		CallerListen: v.at("8080"),
		PeerListen:   v.at("7300"),
		AdminListen:  v.at("9090"),
		Peers:        d.peerSettings(),
		Store:        storeSettings(),
		Drain:        settings.Drain{TimeoutMillis: 5000},
		LogLevel:     "info",
	})
	if err != nil {
		return trace.Wrap(err)
	}
	err = writeJSON(controllerFile, settings.Controller{
		Identity:    v.Identity,
		Listen:      v.at("7400"),
		AdminListen: v.at("9091"),
		Peers:       d.peerSettings(),
		Store:       storeSettings(),
		LogLevel:    "info",
	})
	if err != nil {
		return trace.Wrap(err)
	}
	if v.controller, err = d.Start("controller-"+v.VM, "blcontroller", controllerFile); err != nil {
		return trace.Wrap(err)
	}
	v.router, err = d.Start("router-"+v.VM, "blrouter", routerFile)
	return trace.Wrap(err)
}

func (d *deployment) peerSettings() []settings.Peer {
	peers := make([]settings.Peer, len(d.vms))
	for i, v := range d.vms {
		peers[i] = settings.Peer{VM: v.VM, Router: v.at("7300"), Controller: v.at("7400"), Cell: v.Cell}
	}
	return peers
}

func storeSettings() settings.Store {
	return settings.Store{
		TableEndpoint:  "http://" + platformAddress,
		ObjectEndpoint: "http://" + platformAddress,
		Region:         "local",
		Table:          "bronzelever",
		Bucket:         "bronzelever",
		AccessKeyEnv:   accessKeyEnv,
		SecretKeyEnv:   secretKeyEnv,
	}
}

func (d *deployment) cells() []operator.Cell {
	var cells []operator.Cell
	for _, region := range d.config.Regions {
		cell := operator.Cell{Name: region.Name}
		for _, v := range d.vms {
			if v.Cell == region.Name {
				cell.Controllers = append(cell.Controllers, v.at("7400"))
			}
		}
		cells = append(cells, cell)
	}
	return cells
}

func (d *deployment) served(ctx context.Context) bool {
	for _, v := range d.vms {
		response, err := d.client.Get("http://" + v.at("9090") + "/readyz")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return false
		}
	}
	for _, cell := range d.operator.Status(ctx).Cells {
		if cell.Error != "" || cell.Groups == 0 || len(cell.GroupsUnheld) > 0 || cell.SlicesUnowned > 0 {
			return false
		}
	}
	return true
}

// status asks the active controller of a cell for its status.
func (d *deployment) status(ctx context.Context, cell string) (*wire.StatusReply, error) {
	for _, v := range d.vms {
		if v.Cell != cell {
			continue
		}
		var reply wire.StatusReply
		err := d.peers.Call(ctx, v.at("7400"), wire.TypeStatus, wire.Status{}, wire.TypeStatusReply, &reply)
		if err == nil && reply.Active && reply.Table != nil {
			return &reply, nil
		}
	}
	return nil, trace.NotFound("no active controller in cell %s", cell)
}

// gateway returns the entry VM that holds a group.
func (d *deployment) gateway(table *topology.Table, group topology.GroupID) (*vm, error) {
	g, ok := table.Group(group)
	if !ok {
		return nil, trace.NotFound("no group %s", group)
	}
	for _, v := range d.vms {
		if v.VM == g.Gateway {
			return v, nil
		}
	}
	return nil, trace.NotFound("group %s has no gateway", group)
}

func (d *deployment) leads(v *vm, s *wire.StatusReply) bool {
	return s.Leader == v.at("7400")
}

// counts returns the operations of the store so far.
func (d *deployment) counts() (platform.Counts, error) {
	var counts platform.Counts
	return counts, d.getJSON("http://"+platformAddress+"/counts", &counts)
}

// summaries returns the records' summaries of all targets.
func (d *deployment) summaries() ([]target.Summary, error) {
	var all []target.Summary
	for i := range d.config.Pools {
		for n := range d.config.Pools[i].Targets {
			var record target.Record
			// A sequence number beyond the last one leaves the executions out.
			url := "http://" + controlAddress(&d.config.Pools[i].Targets[n]) + "/record?since=9000000000000000000"
			if err := d.getJSON(url, &record); err != nil {
				return nil, trace.Wrap(err)
			}
			all = append(all, record.Summary)
		}
	}
	return all, nil
}

// counter sums a counter of the routers' metrics.
func (d *deployment) counter(name string) (int64, error) {
	var sum int64
	for _, v := range d.vms {
		response, err := d.client.Get("http://" + v.at("9090") + "/metrics")
		if err != nil {
			return 0, trace.Wrap(err)
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			return 0, trace.Wrap(err)
		}
		for line := range strings.Lines(string(body)) {
			var n float64
			if strings.HasPrefix(line, name) {
				if _, err := fmt.Sscan(line[strings.LastIndexByte(line, ' ')+1:], &n); err != nil {
					return 0, trace.Wrap(err)
				}
				sum += int64(n)
			}
		}
	}
	return sum, nil
}

func (d *deployment) executed() (uint64, error) {
	all, err := d.summaries()
	var sum uint64
	for i := range all {
		sum += all[i].Executed
	}
	return sum, trace.Wrap(err)
}

// control changes settings of a target stand-in.
func (d *deployment) control(t *config.Target, change string) error {
	return d.put("http://"+controlAddress(t)+"/control", change)
}

// put sends a change of settings or faults to a stand-in.
func (d *deployment) put(url, change string) error {
	request, err := http.NewRequest(http.MethodPut, url, strings.NewReader(change))
	if err != nil {
		return trace.Wrap(err)
	}
	response, err := d.client.Do(request)
	if err != nil {
		return trace.Wrap(err)
	}
	_ = response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return trace.BadParameter("%s: status %d", url, response.StatusCode)
	}
	return nil
}

func (d *deployment) getJSON(url string, value any) error {
	response, err := d.client.Get(url)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	return trace.Wrap(json.NewDecoder(response.Body).Decode(value))
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}

func waitFor(ctx context.Context, timeout time.Duration, what string, condition func() bool) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) && ctx.Err() == nil {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return trace.LimitExceeded("%s: not within %s", what, timeout)
}

// pause waits, or returns early if the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
