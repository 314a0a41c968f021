//go:build review

// Package standin3 has what the scripts of the third review share: entry processes with settings like those of a small deployment, the
// platform's store, upstreams and the record of a run.
package standin3

import (
	"bytes"
	"fmt"
	"io"
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

// Record is the record of a run.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates record.txt in a folder.
func NewRecord(folder string) *Record {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		Fail(err)
	}
	return &Record{file: file, started: time.Now()}
}

// Add writes a line with the time since the start.
func (r *Record) Add(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.started).Seconds()}, values...)...)
}

// Finish writes the result, prints it and ends the program: with 1 if the rule was broken, otherwise with 0.
func (r *Record) Finish(broken bool, format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.Add("%s", text)
	_ = r.file.Close()
	fmt.Println(text)
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

// Fail ends the program with 2, since the case couldn't run.
func Fail(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	KillAll()
	os.Exit(2)
}

// Trouble reports whether the disruption is wanted.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

var (
	processesMu sync.Mutex
	processes   []*exec.Cmd
)

// KillAll ends all processes that this program has started.
func KillAll() {
	processesMu.Lock()
	defer processesMu.Unlock()
	for _, cmd := range processes {
		_ = cmd.Process.Kill()
	}
}

// Machine is an entry machine.
type Machine struct {
	Name, Zone, IP string
	Front, Ready   string
	FirstPort      int
	Settings       string
	Log            string
	cmd            *exec.Cmd
	exited         chan struct{}
}

// Zones are the zones, two in each region.
var Zones = []string{"coast-a", "interior-a", "coast-b", "interior-b"}

func regionOf(zone string) string {
	region, _, _ := strings.Cut(zone, "-")
	return region
}

// Deployment is a platform with entry machines.
type Deployment struct {
	Folder   string
	Record   *Record
	Store    *standin.Store
	Address  string
	Machines []*Machine
}

// New starts the store with a configuration.
func New(record *Record, configuration map[string]any) *Deployment {
	folder, err := os.MkdirTemp("", "review3-")
	if err != nil {
		Fail(err)
	}
	d := &Deployment{Folder: folder, Record: record, Store: standin.NewStore()}
	if err := d.Store.Put("op", "config", configuration); err != nil {
		Fail(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		Fail(err)
	}
	d.Address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: d.Store}).Serve(listener) }()
	return d
}

// Ports are taken from below the range from which the kernel takes those of clients.
const firstPort, lastPort = 12000, 32000

// freePorts returns the first of n consecutive free ports.
func freePorts(n int) int {
	blocks := (lastPort - firstPort) / n
	for i := range blocks {
		first := firstPort + (os.Getpid()+i)%blocks*n
		var open []net.Listener
		for i := range n {
			l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first+i))
			if err != nil {
				break
			}
			open = append(open, l)
		}
		for _, l := range open {
			_ = l.Close()
		}
		if len(open) == n {
			return first
		}
	}
	Fail(fmt.Errorf("no free ports"))
	return 0
}

// AddMachines writes the settings of n machines. store returns the address at which a machine reaches the store.
func (d *Deployment) AddMachines(n int, store func(i int) string) {
	const ports = 12
	first := freePorts(n * ports)
	for i := range n {
		zone, port := Zones[i%len(Zones)], first+i*ports
		m := &Machine{Name: fmt.Sprintf("front-%s-%d", zone, i/len(Zones)+1), Zone: zone, IP: "127.0.0.1",
			Front: fmt.Sprintf("127.0.0.1:%d", port), Ready: fmt.Sprintf("127.0.0.1:%d", port+1), FirstPort: port + 3}
		lines := []string{
			"node=" + m.Name, "role=entry", "machine_class=front", "serves=front", "ip=" + m.IP, "zone=" + zone, "region=" + regionOf(zone),
			"listen.front=" + m.Front, "listen.ready=" + m.Ready, fmt.Sprintf("internal_port_range=%d,%d", m.FirstPort, port+ports-1),
			"bootstrap=true", "limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
			"discovery=platform", "entry=vip", "heartbeat_s=0.87", "contracts=base,drain,config,cost,retry,recover,own,places,platform",
			"bounds.contact_s=3", "bounds.drain_s=2", "bounds.grace_s=6", "bounds.loss_slack_s=0.2", "bounds.config_apply_s=2",
			"bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=60", "bounds.hold_max_s=10", "bounds.thaw_slack_s=0.3",
			"bounds.recovery_s=15", "bounds.evacuate_s=5", "grants=call", "platform.form=table", "platform.address=" + store(i),
			"platform.writes_per_s=400", "platform.reads_per_s=2000",
		}
		for _, z := range Zones {
			lines = append(lines, "zones."+z+"="+regionOf(z))
		}
		m.Settings = filepath.Join(d.Folder, m.Name+".conf")
		m.Log = filepath.Join(d.Folder, m.Name+".log")
		if err := os.WriteFile(m.Settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			Fail(err)
		}
		d.Machines = append(d.Machines, m)
	}
}

// Start starts the process of a machine as the deploy file says.
func (d *Deployment) Start(m *Machine) {
	log, err := os.OpenFile(m.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Fail(err)
	}
	cmd := exec.Command("target/blentry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZELEVER_CONFIG=" + m.Settings}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		Fail(err)
	}
	processesMu.Lock()
	processes = append(processes, cmd)
	processesMu.Unlock()
	m.cmd, m.exited = cmd, make(chan struct{})
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}(m.exited)
	d.Record.Add("%s started", m.Name)
}

// StartAll starts all machines and waits until all are ready.
func (d *Deployment) StartAll() {
	for _, m := range d.Machines {
		d.Start(m)
	}
	for _, m := range d.Machines {
		if !m.AwaitReady(15 * time.Second) {
			Fail(fmt.Errorf("%s is not ready", m.Name))
		}
	}
	d.Record.Add("all machines are ready")
}

// AwaitReady waits until the machine is ready.
func (m *Machine) AwaitReady(limit time.Duration) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if m.IsReady() {
			return true
		}
	}
	return false
}

// IsReady asks the machine as the platform does.
func (m *Machine) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + m.Ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Signal sends a signal to the machine's process.
func (m *Machine) Signal(s syscall.Signal) { _ = m.cmd.Process.Signal(s) }

// Exited is closed once the process has ended.
func (m *Machine) Exited() <-chan struct{} { return m.exited }

// Dump returns what the machine tells about itself.
func (m *Machine) Dump() []byte {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(fmt.Sprintf("http://127.0.0.1:%d/dump", m.FirstPort+1))
	if err != nil {
		return nil
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(response.Body)
	return text
}

// LogHas counts the lines of the machine's log that contain a text.
func (m *Machine) LogHas(text string) int {
	data, _ := os.ReadFile(m.Log)
	return bytes.Count(data, []byte(text))
}

// Close ends all processes and removes the temporary folder, unless KEEP is set.
func (d *Deployment) Close() {
	KillAll()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.Folder)
	} else {
		fmt.Println("logs:", d.Folder)
	}
}

// Register keeps an upstream's entry in the store until stop is closed.
func (d *Deployment) Register(id, service, zone, address string, slots int, born time.Time, stop <-chan struct{}) {
	write := func(seq int) {
		_ = d.Store.Put("servers", id, map[string]any{
			"address": address, "born": born.UnixMilli(),
			"info":   map[string]any{"service": service, "version": "v1", "zone": zone, "slots": slots},
			"status": map[string]any{"state": "ready", "seq": seq, "warmup_left_s": 0.0},
		})
	}
	write(1)
	go func() {
		ticker := time.NewTicker(870 * time.Millisecond)
		defer ticker.Stop()
		for seq := 2; ; seq++ {
			select {
			case <-stop:
				return
			case <-ticker.C:
				write(seq)
			}
		}
	}()
}

// PID returns the process ID.
func (m *Machine) PID() int { return m.cmd.Process.Pid }
