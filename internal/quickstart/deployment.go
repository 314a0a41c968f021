package quickstart

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/bronzelever/bronzelever/internal/child"
	"github.com/bronzelever/bronzelever/internal/standin/balancer"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/settings"
)

const (
	// defaultPrefix is the first half of the loopback addresses of a deployment. Deployments with different prefixes run
	// side by side.
	defaultPrefix = "127.0"

	accessKeyEnv = "BRONZELEVER_QUICKSTART_ACCESS_KEY"
	secretKeyEnv = "BRONZELEVER_QUICKSTART_SECRET_KEY"

	callerPort          = "8080"
	peerPort            = "7300"
	controllerPort      = "7400"
	routerAdminPort     = "9090"
	controllerAdminPort = "9091"

	// vmsPerRegion makes 10 entry VMs in two regions.
	vmsPerRegion = 5
	platformPort = "7000"

	startTimeout = 10 * time.Second
	pollInterval = 20 * time.Millisecond
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

// layout says where a deployment runs and how many entry VMs it has.
type layout struct {
	prefix       string
	vmsPerRegion int
}

// deployment is the set of processes of one user.
type deployment struct {
	*child.Supervisor
	layout
	dir      string
	config   *config.Config
	vms      []*vm
	targets  map[string]*child.Process
	platform *child.Process
	client   *http.Client
}

// newDeployment moves the configuration's addresses to the layout's prefix.
func newDeployment(binDir, dir string, cfg *config.Config, l layout) *deployment {
	l.moveAddresses(cfg)
	d := &deployment{
		Supervisor: &child.Supervisor{BinDir: binDir, LogDir: dir},
		layout:     l,
		dir:        dir,
		config:     cfg,
		targets:    map[string]*child.Process{},
		client:     &http.Client{Timeout: 2 * time.Second},
	}
	for r, region := range cfg.Regions {
		for i := range l.vmsPerRegion {
			domain := i % len(region.Domains)
			d.vms = append(d.vms, &vm{
				Identity: settings.Identity{
					VM:     fmt.Sprintf("%s-vm%d", region.Name, i+1),
					Cell:   region.Name,
					Region: region.Name,
					Domain: region.Domains[domain],
				},
				address: fmt.Sprintf("%s.%d.%d", l.prefix, 10+r*10+domain, i+1),
			})
		}
	}
	return d
}

// moveAddresses replaces the default prefix in the configuration.
func (l layout) moveAddresses(cfg *config.Config) {
	from, to := defaultPrefix+".", l.prefix+"."
	for i := range cfg.Regions {
		cfg.Regions[i].CallerURL = strings.Replace(cfg.Regions[i].CallerURL, "//"+from, "//"+to, 1)
	}
	for _, pool := range cfg.Pools {
		for i := range pool.Targets {
			if rest, ok := strings.CutPrefix(pool.Targets[i].Address, from); ok {
				pool.Targets[i].Address = to + rest
			}
		}
	}
}

func (l layout) platformAddress() string {
	return l.prefix + ".0.10:" + platformPort
}

// startAll starts platform, targets and entry VMs. The processes become ready on their own.
func (d *deployment) startAll() error {
	var err error
	d.platform, err = d.Start("platform", "platformstandin", "--listen", d.platformAddress())
	if err != nil {
		return trace.Wrap(err)
	}
	if err := d.waitListening("http://" + d.platformAddress() + "/counts"); err != nil {
		return trace.Wrap(err)
	}
	for _, pool := range d.config.Pools {
		for _, t := range pool.Targets {
			if err := d.startTarget(pool, t, false); err != nil {
				return trace.Wrap(err)
			}
		}
	}
	for _, v := range d.vms {
		if err := d.startVM(v); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// startTarget starts a target; a cold one bears only the pool's cold concurrency at first.
func (d *deployment) startTarget(pool config.Pool, t config.Target, cold bool) error {
	args := []string{
		"--listen", t.Address,
		"--control-listen", controlAddress(t.Address),
		"--id", t.ID,
		"--slots", strconv.Itoa(pool.Slots),
		"--connections", strconv.Itoa(pool.Connections),
		"--cold-slots", strconv.Itoa(pool.ColdConcurrency),
	}
	if pool.GrantsChecked {
		args = append(args, "--fenced")
	}
	if cold {
		args = append(args, "--cold")
	}
	p, err := d.Start("target-"+t.ID, "targetstandin", args...)
	if err != nil {
		return trace.Wrap(err)
	}
	d.targets[t.ID] = p
	return nil
}

// controlAddress is where a target stand-in serves its record: the next port.
func controlAddress(address string) string {
	i := strings.LastIndexByte(address, ':')
	port, err := strconv.Atoi(address[i+1:])
	if err != nil {
		return address
	}
	return address[:i+1] + strconv.Itoa(port+1)
}

func (d *deployment) startVM(v *vm) error {
	routerFile, controllerFile, err := d.writeSettings(v)
	if err != nil {
		return trace.Wrap(err)
	}
	v.controller, err = d.Start("controller-"+v.VM, "blcontroller", controllerFile)
	if err != nil {
		return trace.Wrap(err)
	}
	v.router, err = d.Start("router-"+v.VM, "blrouter", routerFile)
	return trace.Wrap(err)
}

func (d *deployment) writeSettings(v *vm) (routerFile, controllerFile string, err error) {
	router := settings.Router{
		Identity:     v.Identity,
		CallerListen: v.at(callerPort),
		PeerListen:   v.at(peerPort),
		AdminListen:  v.at(routerAdminPort),
		Peers:        d.peers(),
		Store:        d.storeSettings(),
		Drain:        settings.Drain{BalancerLagMillis: 600, TimeoutMillis: 20_000},
		LogLevel:     "info",
	}
	controller := settings.Controller{
		Identity:    v.Identity,
		Listen:      v.at(controllerPort),
		AdminListen: v.at(controllerAdminPort),
		Peers:       d.peers(),
		Store:       d.storeSettings(),
		LogLevel:    "info",
		RecordFile:  d.recordFile(v),
	}
	routerFile = filepath.Join(d.dir, "router-"+v.VM+".json")
	controllerFile = filepath.Join(d.dir, "controller-"+v.VM+".json")
	if err := writeJSON(routerFile, router); err != nil {
		return "", "", trace.Wrap(err)
	}
	return routerFile, controllerFile, trace.Wrap(writeJSON(controllerFile, controller))
}

// recordFile is where the controller of a VM records its decisions.
func (d *deployment) recordFile(v *vm) string {
	return filepath.Join(d.dir, "decisions-"+v.VM+".jsonl")
}

func (d *deployment) peers() []settings.Peer {
	peers := make([]settings.Peer, len(d.vms))
	for i, v := range d.vms {
		peers[i] = settings.Peer{VM: v.VM, Router: v.at(peerPort), Controller: v.at(controllerPort), Cell: v.Cell}
	}
	return peers
}

func (l layout) storeSettings() settings.Store {
	return settings.Store{
		TableEndpoint:  "http://" + l.platformAddress(),
		ObjectEndpoint: "http://" + l.platformAddress(),
		Region:         "local",
		Table:          "bronzelever",
		Bucket:         "bronzelever",
		AccessKeyEnv:   accessKeyEnv,
		SecretKeyEnv:   secretKeyEnv,
	}
}

// setCredentials sets the credentials of the platform stand-in for this process and its children.
func setCredentials() error {
	for _, name := range []string{accessKeyEnv, secretKeyEnv} {
		if err := os.Setenv(name, "standin"); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func writeJSON(path string, value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return trace.Wrap(err)
	}
	return trace.ConvertSystemError(os.WriteFile(path, data, 0o600))
}

// balancerBackends lists the entry VMs of a region for the balancer stand-in.
func (d *deployment) balancerBackends(region string) []balancer.Backend {
	var backends []balancer.Backend
	for _, v := range d.vms {
		if v.Region == region {
			backends = append(backends, balancer.Backend{
				Address:  v.at(callerPort),
				ReadyURL: "http://" + v.at(routerAdminPort) + "/readyz",
			})
		}
	}
	return backends
}

// waitListening polls a URL until it answers at all.
func (d *deployment) waitListening(url string) error {
	return waitFor(startTimeout, url+" answers", func() bool {
		response, err := d.client.Get(url)
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return true
	})
}

// waitReady polls an entry VM's readiness.
func (d *deployment) ready(v *vm) bool {
	response, err := d.client.Get("http://" + v.at(routerAdminPort) + "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// waitFor polls a condition.
func waitFor(timeout time.Duration, what string, condition func() bool) error {
	end := time.Now().Add(timeout)
	for time.Now().Before(end) {
		if condition() {
			return nil
		}
		time.Sleep(pollInterval)
	}
	return trace.LimitExceeded("%s: not within %s", what, timeout)
}
