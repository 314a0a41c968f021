package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// machine is a machine of the system with one process.
type machine struct {
	name, zone, ip string
	front, ready   string
	settings, dir  string
	mu             sync.Mutex
	cmd            *exec.Cmd
	done           chan struct{}
	outOfRotation  atomic.Bool
	missed         int
	log            *os.File
}

var zones = []string{"itajai-a", "caxias-a", "itajai-b", "caxias-b"}

func regionOf(zone string) string {
	if strings.HasPrefix(zone, "itajai") {
		return "litoral-norte"
	}
	return "serra-gaucha"
}

// Ports of machines are taken from below the range from which the kernel takes ports for connections.
const firstPort, lastPort = 12000, 32000

// freePorts returns the first of n free ports of an address in a row.
func freePorts(ip string, n int) int {
	for try := 0; try < 200; try++ {
		first, ok := firstPort+rand.IntN(lastPort-firstPort-n), true
		for p := first; ok && p < first+n; p++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, p))
			if ok = err == nil; ok {
				_ = l.Close()
			}
		}
		if ok {
			return first
		}
	}
	panic("no free ports")
}

// newMachine writes the settings file of a machine, in the format and with the values of a small deployment.
func newMachine(dir string, i int, storeAddress string) *machine {
	ip := "127.0.0.1"
	port := freePorts(ip, 12)
	m := &machine{
		name: fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i/len(zones)+1), zone: zones[i%len(zones)], ip: ip, dir: dir,
		front: fmt.Sprintf("%s:%d", ip, port), ready: fmt.Sprintf("%s:%d", ip, port+1),
	}
	lines := []string{
		"node=" + m.name, "role=entry", "machine_class=front", "serves=front", "ip=" + ip, "zone=" + m.zone, "region=" + regionOf(m.zone),
		"listen.front=" + m.front, "listen.ready=" + m.ready, fmt.Sprintf("internal_port_range=%d,%d", port+4, port+11), "bootstrap=true",
		"loss_counts=false", "limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "limits.link_mbps=1000.0",
		"limits.disk_mb=0", "discovery=platform", "entry=vip", "heartbeat_s=0.87", "bounds.drain_s=2", "bounds.grace_s=6", "bounds.config_apply_s=2",
		"bounds.budget_ratio=0.2", "bounds.budget_window_s=10", "bounds.budget_extra=64", "bounds.recovery_s=15", "bounds.hold_max_s=10", "grants=call",
		"platform.address=" + storeAddress, "platform.form=table", "platform.writes_per_s=400", "platform.reads_per_s=2000", "platform.tx_s=0.005",
		"platform.part_writes_s=200", "platform.row_bytes=65536", "platform.across=false", "platform.history_s=20",
	}
	for _, z := range zones {
		lines = append(lines, "zones."+z+"="+regionOf(z))
	}
	m.settings = filepath.Join(dir, m.name+".conf")
	if err := os.WriteFile(m.settings, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
		panic(err)
	}
	return m
}

// start starts the process with the command of the deploy file.
func (m *machine) start() error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.log == nil {
		f, err := os.Create(filepath.Join(m.dir, m.name+".log"))
		if err != nil {
			return err
		}
		m.log = f
	}
	cmd := exec.Command("target/blentry")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "BRONZELEVER_CONFIG=" + m.settings}
	cmd.Stdout, cmd.Stderr = m.log, m.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	m.cmd, m.done = cmd, make(chan struct{})
	done := m.done
	go func() {
		// How the process has ended doesn't matter to the cases.
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// signal sends a signal to the process.
func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cmd != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// kill kills the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	if done != nil {
		<-done
	}
}

// stop ends the process with SIGTERM, and with SIGKILL after the grace period.
func (m *machine) stop(grace time.Duration) {
	m.signal(syscall.SIGTERM)
	m.mu.Lock()
	done := m.done
	m.mu.Unlock()
	select {
	case <-done:
	case <-time.After(grace):
		m.kill()
	}
}

// watchReady polls the machine's readiness once a second, as the platform does.
func (m *machine) watchReady(stop <-chan struct{}) {
	client := &http.Client{Timeout: 900 * time.Millisecond}
	m.outOfRotation.Store(true)
	for {
		response, err := client.Get("http://" + m.ready + "/-/ready")
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		if ok {
			m.missed = 0
			m.outOfRotation.Store(false)
		} else if m.missed++; m.missed >= 2 {
			m.outOfRotation.Store(true)
		}
		select {
		case <-stop:
			return
		case <-time.After(time.Second):
		}
	}
}
