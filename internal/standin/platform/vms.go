package platform

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

// VM states of the list.
const (
	VMLive    = "live"
	VMLeaving = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	VM            string `json:"vm"`
	Address       string `json:"address"`
	FailureDomain string `json:"failure_domain"`
	Cell          string `json:"cell"`
	State         string `json:"state"`
}

// VMUpdate is the body of PUT /vms.
type VMUpdate struct {
	VMs []VM `json:"vms"`
	// LagMillis changes the lag of the list if it is present.
	LagMillis *int64 `json:"lag_ms,omitempty"`
}

// vmList shows changes after a lag.
type vmList struct {
	mu      sync.Mutex
	lag     time.Duration
	visible []VM
	pending []vmChange
}

type vmChange struct {
	visibleAt time.Time
	vms       []VM
}

func (l *vmList) set(vms []VM, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pending = append(l.pending, vmChange{visibleAt: now.Add(l.lag), vms: vms})
}

func (l *vmList) setLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

func (l *vmList) get(now time.Time) []VM {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 && !l.pending[0].visibleAt.After(now) {
		l.visible = l.pending[0].vms
		l.pending = l.pending[1:]
	}
	return append([]VM{}, l.visible...)
}

func (f *Front) getVMs(w http.ResponseWriter, r *http.Request) {
	if !f.admit(w, r, func(w http.ResponseWriter) { http.Error(w, "internal error", http.StatusInternalServerError) }) {
		return
	}
	f.platform.count(func(c *Counts) { c.VMListReads++ })
	writeJSON(w, f.platform.vms.get(time.Now()))
}

func (f *Front) putVMs(w http.ResponseWriter, r *http.Request) {
	var update VMUpdate
	if err := json.NewDecoder(r.Body).Decode(&update); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if update.LagMillis != nil {
		f.platform.vms.setLag(time.Duration(*update.LagMillis) * time.Millisecond)
	}
	f.platform.SetVMs(update.VMs)
	w.WriteHeader(http.StatusNoContent)
}
