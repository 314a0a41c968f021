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
	// Default ports of VMs that are named only by the platform's VM list.
	defaultPeerPort       = "7300"
	defaultControllerPort = "7400"
	// vmLeaving is the state of VMs that are being removed and aren't used as peers.
	vmLeaving = "leaving"
)

// listedVM is an entry of the platform's VM list.
type listedVM struct {
	VM      string `json:"vm"`
	Address string `json:"address"`
	Cell    string `json:"cell"`
	State   string `json:"state"`
}

func peersFromSettings(s *settings.Router) []agent.Peer {
	var peers []agent.Peer
	for _, p := range s.Peers {
		if p.VM == s.VM {
			continue
		}
		peers = append(peers, agent.Peer{VM: p.VM, Cell: p.Cell, Router: p.Router, Controller: p.Controller})
	}
	return peers
}

// localController returns the address of the controller on the router's own VM, or an empty string if the settings don't list
// one.
func localController(s *settings.Router) string {
	for _, p := range s.Peers {
		if p.VM == s.VM {
			return p.Controller
		}
	}
	return ""
}

// pollVMList adds the VMs of the platform's VM list to the agent's peers. The list lags behind, so it only determines which
// addresses to contact.
func (r *Router) pollVMList(ctx context.Context) {
	url := r.options.Settings.VMListURL
	if url == "" {
		return
	}
	client := &http.Client{Timeout: vmListTimeout}
	lastFetchOK := true
	for {
		vms, err := fetchVMList(ctx, client, url)
		if err == nil {
			r.agent.SetPeers(ctx, mergePeers(&r.options.Settings, vms))
		}
		if err != nil && lastFetchOK {
			r.options.Log.Emit(event.VMListUnreadable, "error", err.Error())
		}
		lastFetchOK = err == nil
		select {
		case <-r.options.Clock.After(vmListInterval):
		case <-ctx.Done():
			return
		}
	}
}

func fetchVMList(ctx context.Context, client *http.Client, url string) ([]listedVM, error) {
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
	var vms []listedVM
	err = json.NewDecoder(response.Body).Decode(&vms)
	return vms, err
}

// mergePeers combines the peers of the settings with the VM list. Addresses in the settings take precedence.
func mergePeers(s *settings.Router, vms []listedVM) []agent.Peer {
	peers := peersFromSettings(s)
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
