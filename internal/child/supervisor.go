// Package child starts the processes of a driver, signals them and reads what the kernel counted for them.
package child

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Process is a child of the driver.
type Process struct {
	// Name is that of the log file.
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Supervisor starts children and stops all of them at the end.
type Supervisor struct {
	// BinDir holds the binaries, LogDir receives the logs.
	BinDir string
	LogDir string

	mu        sync.Mutex
	processes []*Process
}

// Start runs a binary of BinDir with its output in a log file.
func (s *Supervisor) Start(name, binary string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(s.LogDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(s.BinDir, binary), args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	// The kernel ends the child if the driver dies.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, trace.Wrap(err, "starting %s", name)
	}
	p := &Process{Name: name, cmd: cmd, done: make(chan struct{})}
	go p.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

func (p *Process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// PID returns the process ID.
func (p *Process) PID() int {
	return p.cmd.Process.Pid
}

// Signal sends a signal; a process that has ended is no error.
func (p *Process) Signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// Stop asks for a graceful shutdown and returns how the process ended.
func (p *Process) Stop(timeout time.Duration) error {
	p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.Signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("%s did not stop within %s", p.Name, timeout)
	}
}

// Kill ends the process as a lost VM would.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Running tells whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Resident returns the resident memory of the process, 0 if it has ended.
func (p *Process) Resident() int64 {
	var size, resident int64
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// ResidentTotal sums the resident memory of all children.
func (s *Supervisor) ResidentTotal() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for _, p := range s.processes {
		if p.Running() {
			total += p.Resident()
		}
	}
	return total
}

// StopAll stops the running children whose binary matches, all at once, and collects the failures.
func (s *Supervisor) StopAll(timeout time.Duration, match func(*Process) bool) error {
	s.mu.Lock()
	all := append([]*Process(nil), s.processes...)
	s.mu.Unlock()
	errs := make(chan error, len(all))
	n := 0
	for _, p := range all {
		if !p.Running() || !match(p) {
			continue
		}
		n++
		go func() {
			err := p.Stop(timeout)
			if err != nil {
				err = fmt.Errorf("%s: %w", p.Name, err)
			}
			errs <- err
		}()
	}
	var failed []error
	for range n {
		failed = append(failed, <-errs)
	}
	return errors.Join(failed...)
}

// AllRunning finds children that have ended, for example because another process uses their address.
func (s *Supervisor) AllRunning() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		select {
		case <-p.done:
			return trace.BadParameter("%s has ended: %v", p.Name, p.err)
		default:
		}
	}
	return nil
}

// KillAll ends all children and waits for them.
func (s *Supervisor) KillAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.processes {
		p.Signal(syscall.SIGKILL)
	}
	for _, p := range s.processes {
		<-p.done
	}
}
