// Package quickstart drives a whole deployment of real processes on loopback addresses and checks its outcomes.
package quickstart

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

// process is a child of the driver.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
	err  error
}

// supervisor starts children and stops all of them at the end.
type supervisor struct {
	binDir string
	logDir string

	mu        sync.Mutex
	processes []*process
}

// start runs a binary of binDir with its output in a log file.
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
	go p.wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = append(s.processes, p)
	return p, nil
}

func (p *process) wait() {
	p.err = p.cmd.Wait()
	close(p.done)
}

// signal sends a signal; a process that has ended is no error.
func (p *process) signal(sig syscall.Signal) {
	_ = p.cmd.Process.Signal(sig)
}

// stop asks for a graceful shutdown and returns how the process ended.
func (p *process) stop(timeout time.Duration) error {
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		p.signal(syscall.SIGKILL)
		<-p.done
		return fmt.Errorf("%s did not stop within %s", p.name, timeout)
	}
}

// kill ends the process as a lost VM would.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}

func (p *process) running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// residentBytes returns the resident memory of the process, 0 if it has ended.
func (p *process) residentBytes() int64 {
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

// residentTotal sums the resident memory of all children.
func (s *supervisor) residentTotal() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	var total int64
	for _, p := range s.processes {
		if p.running() {
			total += p.residentBytes()
		}
	}
	return total
}

// stopAll stops the running children whose binary matches, all at once, and collects the failures.
func (s *supervisor) stopAll(timeout time.Duration, match func(*process) bool) error {
	s.mu.Lock()
	all := append([]*process(nil), s.processes...)
	s.mu.Unlock()
	errs := make(chan error, len(all))
	n := 0
	for _, p := range all {
		if !p.running() || !match(p) {
			continue
		}
		n++
		go func() {
			err := p.stop(timeout)
			if err != nil {
				err = fmt.Errorf("%s: %w", p.name, err)
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
