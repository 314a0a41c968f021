package main

import (
	"bytes"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// lateGrantsBy and lateReleasesBy are how much later an unanswered grant or release is applied, between the 2 and 12 s of the bench's
	// disruption applied_late.
	lateGrantsBy   = 2600 * time.Millisecond
	lateReleasesBy = 6 * time.Second
	// restartAfter is the delay after which a process that has ended is started again.
	restartAfter = 200 * time.Millisecond
)

// runOwner has an upstream apply a grant late, the coordinator's process end while the keys are being moved away from that upstream, and its
// successor stopped with SIGTERM.
func runOwner(w *world, trouble bool) (bool, error) {
	w.services = []service{{name: "stato", keyed: true}}
	w.routes = []route{{name: "letture", prefix: "/read/", kind: "idempotent", service: "stato", timeout: 1.5, objective: 0.6, attempts: 2}}
	if err := w.configure(); err != nil {
		return false, err
	}
	var table keyTable
	var all []*keys
	for i := range 8 {
		k, err := w.addKeyed(&table, fmt.Sprintf("i-%d", i), "stato", zones[i%len(zones)], 2, 50*time.Millisecond)
		if err != nil {
			return false, err
		}
		all = append(all, k)
	}
	if err := w.addMachines(4); err != nil {
		return false, err
	}
	if err := w.awaitReady(15 * time.Second); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	leader := w.leader()
	if leader == nil {
		return false, fmt.Errorf("no machine leads")
	}
	w.note("%s leads", leader.name)
	if trouble {
		if err := w.disturbOwner(leader, all[0]); err != nil {
			return false, err
		}
	}
	time.Sleep(9 * time.Second)
	w.note("%d times keys were taken with a fence that isn't above all that others had; two upstreams held keys at once for %v at most", table.lowFences, table.longest)
	return table.lowFences > 0, nil
}

func (w *world) disturbOwner(leader *machine, late *keys) error {
	before, _ := late.table.counts()
	second := make(chan struct{})
	var once sync.Once
	calls := 0
	late.setLate(lateGrantsBy, lateReleasesBy, func(keyCall) {
		if calls++; calls == 2 {
			once.Do(func() { close(second) })
		}
	})
	select {
	case <-second:
	case <-time.After(10 * time.Second):
		return fmt.Errorf("no grants")
	}
	// The coordinator notices that the second grant has no answer, and moves the keys.
	time.Sleep(1000 * time.Millisecond)
	late.setLate(0, 0, nil)
	all, unanswered := late.table.counts()
	w.note("%d of %d orders to upstreams got no answer", unanswered, all-before)
	row := w.store.OwnRow("control", "coordinator")
	w.signal(leader, syscall.SIGKILL)
	<-leader.done
	time.Sleep(restartAfter)
	if err := w.start(leader); err != nil {
		return err
	}
	for end := time.Now().Add(8 * time.Second); bytes.Equal(row, w.store.OwnRow("control", "coordinator")); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("no successor")
		}
	}
	successor := w.leader()
	w.note("%s leads", successor.name)
	time.Sleep(150 * time.Millisecond)
	w.signal(successor, syscall.SIGTERM)
	return nil
}
