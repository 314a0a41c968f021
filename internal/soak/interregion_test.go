package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/platform/standin"
)

const (
	// interRegionPeriod is how long the bytes between regions are counted, and interRegionPause the time between two requests of a caller.
	interRegionPeriod = 8 * time.Second
	interRegionPause  = 50 * time.Millisecond
	interRegionSeed   = 1
	// maxPlacementBytes is what docs/CAPACITY.md permits for the placement messages of a request.
	maxPlacementBytes = 100
	// maxReportBytes is what it permits for the heartbeats and reports of a VM each second.
	maxReportBytes = 300
)

// interRegionBytes returns what each VM has counted.
func (r *run) interRegionBytes(t *testing.T) []map[string]interregion.Volume {
	t.Helper()
	list := make([]map[string]interregion.Volume, r.VMs)
	for i := range list {
		var d struct {
			Bytes map[string]interregion.Volume `json:"inter_region_bytes"`
		}
		if err := json.Unmarshal(r.fetch(t, i, "/dump"), &d); err != nil {
			t.Fatal(err)
		}
		list[i] = d.Bytes
	}
	return list
}

// sendEvenly sends requests of all routes through all VMs, one caller each, and returns how many each VM got and how many were served.
func (r *run) sendEvenly(t *testing.T, credential string) (sent []int64, served int64) {
	sent = make([]int64, r.VMs)
	var count atomic.Int64
	ctx, cancel := context.WithTimeout(t.Context(), interRegionPeriod)
	defer cancel()
	var group sync.WaitGroup
	for vm := range r.VMs {
		group.Go(func() {
			random := rand.New(rand.NewPCG(interRegionSeed, uint64(vm)))
			for ; ctx.Err() == nil; wait(ctx, interRegionPause) {
				path := []string{standin.PathRead, standin.PathHome, standin.PathOrder}[random.IntN(3)]
				if r.sendKeyed(t, vm, path, credential, random.IntN(keyCount)) == http.StatusOK {
					count.Add(1)
				}
				sent[vm]++
			}
		})
	}
	group.Wait()
	return sent, count.Load()
}

// sendKeyed sends a request through a VM and returns the status of the response, 0 if there is none.
func (r *run) sendKeyed(t *testing.T, vm int, path, credential string, key int) int {
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.vms[vm].callerLink.Address()+path, nil)
	if err != nil {
		t.Error(err)
		return 0
	}
	request.Host = "shop.example"
	standin.SetRequestHeader(request.Header, fmt.Sprintf("i-%d", senders.Add(1)), requestTimeout, key)
	standin.SetCredential(request.Header, credential)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// logLines returns the number of log lines of all VMs that contain a text.
func (r *run) logLines(t *testing.T, text string) (lines int) {
	t.Helper()
	for vm := range r.VMs {
		content, err := os.ReadFile(filepath.Join(r.LogDir, fmt.Sprintf("blentry-%d.log", vm)))
		if err != nil {
			t.Fatal(err)
		}
		lines += strings.Count(string(content), text)
	}
	return lines
}

// crossed returns the bytes of each kind that have crossed between the regions between two calls of interRegionBytes. The coordinator has
// counted those of messages between VMs in both directions, and each VM those of its requests, grants and store calls.
func crossed(before, after []map[string]interregion.Volume, coordinator int) map[string]int64 {
	bytes := map[string]int64{}
	for vm := range after {
		for kind, v := range after[vm] {
			switch kind {
			case interregion.Placement.String(), interregion.Tables.String(), interregion.Reports.String():
				if vm != coordinator {
					continue
				}
			}
			bytes[kind] += v.Sent + v.Received - before[vm][kind].Sent - before[vm][kind].Received
		}
	}
	return bytes
}

// Guards the costs that docs/CAPACITY.md states for the messages between regions: what a request of a VM in the other region costs in
// placement messages, and what such a VM costs in heartbeats and reports. Guards also against kinds of bytes that aren't counted.
func TestBytesBetweenRegions(t *testing.T) {
	r := startCrashRun(t, 8, "--log-inter-region-bytes")
	const credential = "plain-a1"
	if err := r.deployment.ConfigureQuotas(8, map[string][]string{"org-a": {credential}}, 1000, 1000); err != nil {
		t.Fatal(err)
	}
	wait(t.Context(), 3*configApplyTime)
	coordinator := r.leader(t).index
	before, started := r.interRegionBytes(t), time.Now()
	sent, served := r.sendEvenly(t, credential)
	bytes, seconds := crossed(before, r.interRegionBytes(t), coordinator), time.Since(started).Seconds()
	total, far, farVMs := int64(0), int64(0), 0.0
	for vm, n := range sent {
		total += n
		// Neighbouring VMs are in different regions.
		if (vm-coordinator)%2 != 0 {
			far += n
			farVMs++
		}
	}
	placement, reports := float64(bytes["placement"])/float64(far), float64(bytes["reports"])/farVMs/seconds
	t.Logf("%d requests, %d of them of %v VMs in the other region, %d served in %.1f s; %.0f bytes of placement messages for each of those, %.0f bytes of reports for each of those VMs and second; bytes by kind %v",
		total, far, farVMs, served, seconds, placement, reports, bytes)
	if placement > maxPlacementBytes || reports > maxReportBytes {
		t.Errorf("%.0f bytes of placement messages for each request, %.0f bytes of reports for each VM and second, want %d and %d at most",
			placement, reports, maxPlacementBytes, maxReportBytes)
	}
	for _, kind := range []interregion.Kind{
		interregion.Placement, interregion.Reports, interregion.Grants, interregion.KeyedRequests, interregion.HomeRequests, interregion.Store,
	} {
		if bytes[kind.String()] == 0 {
			t.Errorf("no bytes of the kind %v were counted", kind)
		}
	}
	if served < total*9/10 {
		t.Errorf("%d of %d requests were served", served, total)
	}
	if logged := r.logLines(t, "event=890"); logged < r.VMs {
		t.Errorf("%d log lines with the bytes between regions, want one of each VM at least", logged)
	}
}
