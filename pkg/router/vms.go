package router

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/bronzelever/bronzelever/pkg/agent"
	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/settings"
)

const (
	vmListInterval = 2 * time.Second
	vmListTimeout  = time.Second
	// Default ports of VMs that only the platform's list names.
	defaultPeerPort       = "7300"
	defaultControllerPort = "7400"
	// vmLeaving is the state of VMs that are not asked any more.
	vmLeaving = "leaving"
)

// vm is an entry of the platform's list.
type vm struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Cell    string `json:"cell"`
	State   string `json:"state"`
}

func settingsPeers(s *settings.Router) []agent.Peer {
	var out []agent.Peer
	for _, p := range s.Peers {
		if p.VM == s.VM {
			continue
		}
		out = append(out, agent.Peer{VM: p.VM, Cell: p.Cell, Router: p.Router, Controller: p.Controller})
	}
	return out
}

// ownController returns the controller of the own VM, if the settings name it among the peers.
func ownController(s *settings.Router) string {
	for _, p := range s.Peers {
		if p.VM == s.VM {
			return p.Controller
		}
	}
	return ""
}

// watchVMs adds the VMs of the platform's list to the peers. The list lags, so it only tells whom to ask.
func (r *Router) watchVMs(ctx context.Context) {
	url := r.o.Settings.VMListURL
	if url == "" {
		return
	}
	client := &http.Client{Timeout: vmListTimeout}
	readable := true
	for {
		vms, err := readVMs(ctx, client, url)
		if err == nil {
			r.agent.SetPeers(ctx, mergePeers(&r.o.Settings, vms))
		}
		if err != nil && readable {
			r.o.Log.Emit(event.VMListUnreadable, "error", err.Error())
		}
		readable = err == nil
		select {
		case <-r.o.Clock.After(vmListInterval):
		case <-ctx.Done():
			return
		}
	}
}

func readVMs(ctx context.Context, client *http.Client, url string) ([]vm, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status %d", response.StatusCode)
	}
	var vms []vm
	err = json.NewDecoder(response.Body).Decode(&vms)
	return vms, err
}

// mergePeers combines the settings with the list. Addresses in the settings have precedence.
func mergePeers(s *settings.Router, vms []vm) []agent.Peer {
	peers := settingsPeers(s)
	known := map[string]bool{s.VM: true}
	for _, p := range peers {
		known[p.VM] = true
	}
	for _, v := range vms {
		if known[v.VM] || v.State == vmLeaving || v.Address == "" {
			continue
		}
		known[v.VM] = true
		host := v.Address
		if h, _, err := net.SplitHostPort(v.Address); err == nil {
			host = h
		}
		peers = append(peers, agent.Peer{
			VM:         v.VM,
			Cell:       v.Cell,
			Router:     net.JoinHostPort(host, defaultPeerPort),
			Controller: net.JoinHostPort(host, defaultControllerPort),
		})
	}
	return peers
}
