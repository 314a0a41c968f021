// Package child starts and signals the processes of a test driver and reads their memory usage from /proc.
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

// Process is a child process of the driver.
type Process struct {
	// Name identifies the process. Its log file is Name with the suffix .log.
	Name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// Supervisor starts child processes and can stop all of them.
type Supervisor struct {
	// BinDir is the directory of the binaries, LogDir that of the log files.
	BinDir string
	LogDir string

	mu        sync.Mutex
	processes []*Process
}

// Start starts a binary of BinDir and appends its output to a log file.
func (s *Supervisor) Start(name, binary string, args ...string) (*Process, error) {
	logFile, err := os.OpenFile(filepath.Join(s.LogDir, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	defer func() { _ = logFile.Close() }()
	cmd := exec.Command(filepath.Join(s.BinDir, binary), args...)
	cmd.Stdout = logFile
	cmd.Stderr = logFile
	// The kernel kills the child if the driver dies.
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

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// Stop sends SIGTERM and returns the exit error of the process. A process that is still running after the timeout is killed.
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

// Kill kills the process without a graceful shutdown, as the loss of its VM would, and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// ResidentBytes returns the resident memory of the process in bytes, or 0 if it can't be read because the process has ended.
func (p *Process) ResidentBytes() int64 {
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

// TotalResidentBytes returns the resident memory of all running children in bytes.
func (s *Supervisor) TotalResidentBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for _, p := range s.processes {
		if p.Running() {
			total += p.ResidentBytes()
		}
	}
	return total
}

// StopAll stops the running children for which match returns true, concurrently, and returns the joined errors.
func (s *Supervisor) StopAll(timeout time.Duration, match func(*Process) bool) error {
	s.mu.Lock()
	children := append([]*Process(nil), s.processes...)
	s.mu.Unlock()
	errs := make(chan error, len(children))
	n := 0
	for _, p := range children {
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
	var errList []error
	for range n {
		errList = append(errList, <-errs)
	}
	return errors.Join(errList...)
}

// CheckAllRunning returns an error if a child has ended, for example because another process uses its address.
func (s *Supervisor) CheckAllRunning() error {
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

// KillAll kills all children and waits for their end.
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
