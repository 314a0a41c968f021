package soak

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	quotaRate, quotaBurst = 40, 40
	// quotaWindow, quotaOver and quotaSlack are the platform's allowance.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.1
	quotaSlack  = 20
	// quotaCallers send a request every 50 ms each, together three times the quota or more.
	quotaCallers = 3
)

// quotaLoad sends requests of one organisation through all VMs for a time, and returns when those were sent that were served, and how
// many responses had each status.
func (r *run) quotaLoad(t *testing.T, period time.Duration) (served []time.Time, statuses map[int]int) {
	statuses = map[int]int{}
	var mu sync.Mutex
	var group sync.WaitGroup
	for vm := range r.VMs {
		for range quotaCallers {
			group.Go(func() {
				for end := time.Now().Add(period); time.Now().Before(end); wait(t.Context(), 50*time.Millisecond) {
					sent := time.Now()
					status := r.sendWithCredential(t, vm, standin.PathRead, "plain-a1", "org-a")
					mu.Lock()
					statuses[status]++
					if status == http.StatusOK {
						served = append(served, sent)
					}
					mu.Unlock()
				}
			})
		}
	}
	group.Wait()
	slices.SortFunc(served, time.Time.Compare)
	return served, statuses
}

// mostInWindow returns the largest number of times within quotaWindow.
func mostInWindow(times []time.Time) int {
	most, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= quotaWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards, on running VMs, against quotas that are exceeded or left unused, while nothing fails and while the coordinator and then all VMs
// are replaced.
func TestQuotaIsKeptAndUsed(t *testing.T) {
	r := startCrashRun(t, 8)
	if err := r.deployment.ConfigureQuotas(8, map[string][]string{"org-a": {"plain-a1"}}, quotaRate, quotaBurst); err != nil {
		t.Fatal(err)
	}
	wait(t.Context(), 3*configApplyTime)
	allowed := int((quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOver) + quotaSlack)
	check := func(phase string, period time.Duration, least float64) {
		t.Helper()
		served, statuses := r.quotaLoad(t, period)
		most, used := mostInWindow(served), float64(len(served))/(quotaRate*period.Seconds())
		t.Logf("%s: uses %.2f of the quota, up to %d in a window (%d allowed), responses %v", phase, used, most, allowed, statuses)
		if most > allowed || used < least || statuses[http.StatusTooManyRequests] == 0 {
			t.Errorf("%s: uses %.2f of the quota, want %.2f, and sends %d in a window, at most %d; responses %v", phase, used, least, most, allowed, statuses)
		}
	}
	check("nothing fails", 6*time.Second, 0.9)
	if err := r.kill(r.leader(t)); err != nil {
		t.Fatal(err)
	}
	check("coordinator killed", 10*time.Second, 0.8)
	for _, v := range r.vms {
		if err := r.kill(v); err != nil {
			t.Fatal(err)
		}
	}
	check("all VMs killed", 10*time.Second, 0.5)
	for _, text := range r.deployment.Checker.Violations() {
		t.Error(text)
	}
}
