package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// noteRun notes that a request began to run.
func (w *world) noteRun(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ran[id]++
}

// runs returns how often a request began to run.
func (w *world) runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

// route is one route of the operator's configuration.
type route struct {
	name, prefix, kind, service string
	timeout, objective          float64
	attempts                    int
	split                       map[string]float64
}

// service is one service of the configuration.
type service struct {
	name  string
	keyed bool
}

// machine is an entry process with its addresses.
type machine struct {
	name, ip, zone, settings string
	// starts counts the starts of the process.
	starts  int
	command *exec.Cmd
	done    chan struct{}
}

// world is a small deployment: the store, upstreams and the processes under test, all on loopback addresses.
type world struct {
	*record
	dir       string
	store     *standin.Store
	storeAddr string
	port      int
	machines  []*machine
	version   int
	// ran counts how often requests began to run, by ID. It is guarded by mu.
	ran      map[string]int
	services []service
	routes   []route
}

const (
	hostName     = "front.example"
	graceSeconds = 6.0
	// storeAnswer is the time that the store takes for an answer on the small deployments of the pages.
	storeAnswer = 4 * time.Millisecond
)

// zones are those of a small deployment: two regions with two zones each.
var zones = []string{"catania-a", "palermo-a", "catania-b", "palermo-b"}

func regionOf(zone string) string { return strings.Split(zone, "-")[0] }

// newWorld starts the store.
func newWorld(folder string) (*world, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	w := &world{record: &record{file: file, start: time.Now()}, dir: dir, store: standin.NewStore(), version: 3, ran: map[string]int{}}
	w.store.SetSlow(storeAnswer)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.storeAddr = listener.Addr().String()
	server := &http.Server{Handler: w.store}
	go func() { _ = server.Serve(listener) }()
	w.port, err = freePorts()
	return w, err
}

// freePorts returns the first of eight consecutive ports that are free on all machines' addresses.
func freePorts() (int, error) {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		first := l.Addr().(*net.TCPAddr).Port
		_ = l.Close()
		if first < 60000 && portsFree(first) {
			return first, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsFree(first int) bool {
	for machine := range 8 {
		for port := range 8 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machineIP(machine), first+port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func machineIP(i int) string { return fmt.Sprintf("127.0.0.%d", 21+i) }

// configure writes the operator's configuration with the next version.
func (w *world) configure() error {
	w.version += 2
	var services, paths []any
	for _, s := range w.services {
		services = append(services, map[string]any{"name": s.name, "health_path": "/health", "max_conns": 120, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 2.5, "sharded": s.keyed, "warm_s": 3.0, "grants": "call"})
	}
	for _, r := range w.routes {
		p := map[string]any{"name": r.name, "prefix": r.prefix, "kind": r.kind, "timeout_s": r.timeout, "target_latency_s": r.objective,
			"priority": 1, "max_attempts": r.attempts, "allowed_regions": []string{}}
		if r.split != nil {
			var split []any
			for name, weight := range r.split {
				split = append(split, map[string]any{"service": name, "weight": weight})
			}
			p["split"] = split
		} else {
			p["service"] = r.service
		}
		paths = append(paths, p)
	}
	w.note("operator writes version r%d", w.version)
	return w.store.Put("op", "config", map[string]any{"version": fmt.Sprintf("r%d", w.version), "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_s": 3, "idle_timeout_s": 15},
		"hosts":  []any{map[string]any{"host": hostName, "paths": paths}}})
}

// addMachines writes the settings of the machines and starts their processes with the command of the deploy file.
func (w *world) addMachines(n int) error {
	for i := range n {
		zone := zones[i%len(zones)]
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i), ip: machineIP(i), zone: zone}
		m.settings = filepath.Join(w.dir, m.name+".conf")
		w.machines = append(w.machines, m)
		if err := w.start(m); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) settingsOf(m *machine) string {
	lines := []string{
		"node=" + m.name, "role=entry", "machine_class=front", "serves=front", "ip=" + m.ip, "zone=" + m.zone, "region=" + regionOf(m.zone),
		"listen.front=" + w.front(m), fmt.Sprintf("listen.ready=%s:%d", m.ip, w.port+1),
		fmt.Sprintf("internal_port_range=%d,%d", w.port+2, w.port+6), fmt.Sprintf("bootstrap=%v", m.starts == 0), "loss_counts=false", "limits.cpu_share=0.32",
		"limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0", "limits.disk_mb=0", "discovery=platform",
		"entry=vip", "heartbeat_s=0.87", "contracts=base,drain,config,cost,retry,recover,own,places,platform", "bounds.seed_lag_s=3",
		"bounds.addr_reuse_s=2", "bounds.contact_s=3", "bounds.ack_s=4", "bounds.catch_up_s=4", "bounds.drain_s=2",
		fmt.Sprintf("bounds.grace_s=%g", graceSeconds), "bounds.loss_slack_s=0.2", "bounds.config_apply_s=2", "bounds.rollback_slack_s=0.25",
		"bounds.max_stretch_s=5", "bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=60", "bounds.cold_over=1.5",
		"bounds.cold_slack=5", "bounds.evacuate_s=5", "bounds.recovery_s=15", "bounds.hold_max_s=10", "bounds.thaw_slack_s=0.3", "grants=call",
		"platform.address=" + w.storeAddr, "platform.form=table", "platform.row_bytes=65536", "platform.history_s=20",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"="+regionOf(z))
	}
	return strings.Join(lines, "\n") + "\n"
}

func (w *world) front(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, w.port) }

// start starts a machine's process. Its output goes to a file in the temporary folder.
func (w *world) start(m *machine) error {
	if err := os.WriteFile(m.settings, []byte(w.settingsOf(m)), 0o600); err != nil {
		return err
	}
	m.starts++
	out, err := os.OpenFile(filepath.Join(w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command("target/blentry")
	c.Env = []string{"BRONZELEVER_CONFIG=" + m.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	c.Stdout, c.Stderr = out, out
	// The kernel ends the process if this one ends.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	m.command, m.done = c, done
	go func() {
		_ = c.Wait()
		close(done)
	}()
	w.note("start %s, process %d", m.name, c.Process.Pid)
	return nil
}

// signal sends a signal to a machine's process.
func (w *world) signal(m *machine, s syscall.Signal) {
	w.note("%v to %s", s, m.name)
	_ = m.command.Process.Signal(s)
}

// close ends all processes that were started and removes the temporary folder.
func (w *world) close() {
	for _, m := range w.machines {
		_ = m.command.Process.Kill()
		<-m.done
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
	_ = w.file.Close()
}

// awaitReady waits until all machines say that they are ready.
func (w *world) awaitReady(within time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, m := range w.machines {
			response, err := client.Get(fmt.Sprintf("http://%s:%d/-/ready", m.ip, w.port+1))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		if ready == len(w.machines) {
			w.note("all %d machines are ready", ready)
			return nil
		}
	}
	return fmt.Errorf("not all machines are ready within %v", within)
}

// leader returns the machine that the coordinator's row names, or nil.
func (w *world) leader() *machine {
	row := string(w.store.OwnRow("control", "coordinator"))
	for _, m := range w.machines {
		if strings.Contains(row, m.name) {
			return m
		}
	}
	return nil
}
