package bench

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// process is a child of the driver.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// supervisor starts children and ends all of them.
type supervisor struct {
	binDir string
	logDir string

	mu        sync.Mutex
	processes []*process
}

func (s *supervisor) start(name, binary string, args ...string) (*process, error) {
	logFile, err := os.OpenFile(filepath.Join(s.logDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(s.binDir, binary), args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	// The kernel ends the child if the driver dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err, "starting %s", name)
	}
	p := &process{name: name, cmd: cmd, done: make(chan struct{})}
	go func() {
		p.err = p.cmd.Wait()
		close(p.done)
	}()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

// allRunning finds children that have ended, for example because another process uses their address.
func (s *supervisor) allRunning() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		select {
		case <-p.done:
			return trace.BadParameter("%s has ended: %v", p.name, p.err)
		default:
		}
	}
	return nil
}

// killAll ends all children and waits for them. Graceful shutdown is not what is measured here.
func (s *supervisor) killAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		_ = p.cmd.Process.Kill()
	}
	for _, p := range s.processes {
		<-p.done
	}
	s.processes = nil
}

// usage is what the kernel counted for a process.
type usage struct {
	cpu      time.Duration
	sent     int64
	received int64
	resident int64
	at       time.Time
}

// clockTick is the unit of processor time in /proc on Linux.
const clockTick = 10 * time.Millisecond

// usage reads the counters of /proc. Bytes are those of all read and write calls: sockets, and a few bytes for log lines and
// wake-ups, so that they are an upper bound of what was sent and received.
func (p *process) usage() (usage, error) {
	u := usage{at: time.Now()}
	dir := fmt.Sprintf("/proc/%d/", p.cmd.Process.Pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, trace.ConvertSystemError(err)
	}
	if u.cpu, err = parseCPU(string(stat)); err != nil {
		return u, trace.Wrap(err)
	}
	io, err := os.ReadFile(dir + "io")
	if err != nil {
		return u, trace.ConvertSystemError(err)
	}
	if _, err := fmt.Sscanf(string(io), "rchar: %d\nwchar: %d", &u.received, &u.sent); err != nil {
		return u, trace.Wrap(err)
	}
	u.resident = p.resident()
	return u, nil
}

// parseCPU returns user and system time from /proc/PID/stat. The name of the command may contain spaces and brackets.
func parseCPU(stat string) (time.Duration, error) {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	// utime and stime are the fields 14 and 15 of the file, counted from 1; the fields after the name begin with 3.
	if len(fields) < 13 {
		return 0, errors.New("/proc/PID/stat has another format")
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// resident returns the resident memory in bytes, 0 if the process has ended.
func (p *process) resident() int64 {
	var size, pages int64
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(data), &size, &pages); err != nil {
		return 0
	}
	return pages * int64(os.Getpagesize())
}

// rates are differences of two usages per second; resident is the later one.
type rates struct {
	// cpu is the share of a core.
	cpu      float64
	sent     float64
	received float64
	resident int64
}

func between(a, b usage) rates {
	seconds := b.at.Sub(a.at).Seconds()
	return rates{
		cpu:      (b.cpu - a.cpu).Seconds() / seconds,
		sent:     float64(b.sent-a.sent) / seconds,
		received: float64(b.received-a.received) / seconds,
		resident: b.resident,
	}
}

func (r rates) plus(o rates) rates {
	return rates{cpu: r.cpu + o.cpu, sent: r.sent + o.sent, received: r.received + o.received, resident: r.resident + o.resident}
}

// String implements fmt.Stringer.
func (r rates) String() string {
	return fmt.Sprintf("%.2f%% of a core, %.1f MB, sent %.0f B/s, received %.0f B/s", 100*r.cpu, megabytes(r.resident), r.sent, r.received)
}
