package soak

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// stopGrace is the grace period of the processes, as on the platform.
	stopGrace = 6 * time.Second
	// lateOrderTime is how long an order takes that is sent lateOrderAt after SIGTERM: longer than the process runs on.
	lateOrderTime = 1300 * time.Millisecond
	lateOrderAt   = 4 * time.Second
	// lateConnAt is when a connection is opened on which the first request is a late order. The VM still accepts connections then.
	lateConnAt = 2800 * time.Millisecond
	// readAheadTime is how long a pipelined read takes that was sent readAheadBefore before SIGTERM. It is being handled when the late
	// orders are sent.
	readAheadTime   = 4700 * time.Millisecond
	readAheadBefore = 200 * time.Millisecond
)

// heldConn is a caller's connection to a VM that stays open until the VM closes it.
type heldConn struct {
	net.Conn
	reader *bufio.Reader
	run    *run
	name   string
}

func (r *run) dialVM(t *testing.T, vm int, name string) *heldConn {
	t.Helper()
	c, err := net.Dial("tcp", r.vms[vm].callerLink.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &heldConn{Conn: c, reader: bufio.NewReader(c), run: r, name: name}
}

// write sends a request with the connection's name and a number as its ID. It fails if the connection is closed.
func (h *heldConn) write(method, path string, n int, deadline time.Duration) error {
	id := fmt.Sprintf("%s-%d", h.name, n)
	request, err := http.NewRequest(method, "http://shop.example"+path+id, nil)
	if err != nil {
		return err
	}
	standin.SetRequestHeader(request.Header, id, deadline, 0)
	h.run.deployment.Checker.OnSend(id, h.name)
	return request.Write(h)
}

// read returns the status of the next response and the error that ended the connection, if any.
func (h *heldConn) read() (status int, err error) {
	response, err := http.ReadResponse(h.reader, nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// sendOrder sends an order of the usual duration on a connection that stays open.
func (h *heldConn) sendOrder(t *testing.T) {
	t.Helper()
	if err := h.write(http.MethodPost, standin.PathOrder, 1, requestTimeout); err != nil {
		t.Fatal(err)
	}
	if status, err := h.read(); status != http.StatusOK {
		t.Fatalf("the first order on connection %q gets %d, %v", h.name, status, err)
	}
}

// Guards against orders that a stopping VM takes too late to wait for their answers, and breaks off when it ends. It took them on
// connections that had carried no request yet and, as long as a pipelined read was being handled ahead, on all others, too.
func TestStoppingVMTakesNoLateOrders(t *testing.T) {
	t.Parallel()
	r := startGracefulRun(t, 6, stopGrace)
	const calmVM, pipeliningVM = 0, 1
	stopping := []int{calmVM, pipeliningVM}
	var held []*heldConn
	for _, vm := range stopping {
		kept := r.dialVM(t, vm, fmt.Sprintf("kept-%d", vm))
		kept.sendOrder(t)
		held = append(held, kept, r.dialVM(t, vm, fmt.Sprintf("early-%d", vm)))
	}
	pipelined := r.dialVM(t, pipeliningVM, "pipelined")
	for n, work := range []time.Duration{500 * time.Millisecond, readAheadTime} {
		if err := pipelined.write(http.MethodGet, standin.PathSlow+standin.WorkPath(work), n, 8*time.Second); err != nil {
			t.Fatal(err)
		}
	}
	wait(t.Context(), readAheadBefore)
	stopped := time.Now()
	for _, vm := range stopping {
		r.signal(r.vms[vm], syscall.SIGTERM)
	}
	wait(t.Context(), lateConnAt)
	for _, vm := range stopping {
		held = append(held, r.dialVM(t, vm, fmt.Sprintf("late-%d", vm)))
	}
	wait(t.Context(), time.Until(stopped.Add(lateOrderAt)))
	for _, h := range held {
		// A write to a closed connection may fail.
		_ = h.write(http.MethodPost, standin.PathOrder+standin.WorkPath(lateOrderTime), 2, requestTimeout)
	}
	for n := range 2 {
		if status, err := pipelined.read(); status != http.StatusOK || err != nil {
			t.Errorf("pipelined read %d gets %d, %v", n, status, err)
		}
	}
	for _, h := range held {
		status, err := h.read()
		if runs := r.deployment.Checker.Executions(h.name + "-2"); runs > 0 {
			t.Errorf("a late order on connection %q was passed on and gets %d, %v, %v after SIGTERM", h.name, status, err, time.Since(stopped))
		}
	}
	r.reportViolations(t)
}
