package soak

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/replica"
	"github.com/bronzelever/bronzelever/platform/standin"
)

// configApplyTime is the time in which a change of the configuration must be in force on every VM.
const configApplyTime = 2 * time.Second

// sendWithCredential sends a read with a credential, none if it is empty, to a VM, and returns the status, 0 without a response.
// organisation is what the target must learn.
func (r *run) sendWithCredential(t *testing.T, vm int, path, credential, organisation string) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+r.vms[vm].callerLink.Address()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	id := fmt.Sprintf("c-%d", senders.Add(1))
	request.Host = "shop.example"
	standin.SetRequestHeader(request.Header, id, time.Second, vm)
	if credential != "" {
		standin.SetCredential(request.Header, credential)
	}
	r.deployment.Checker.OnCredential(id, organisation)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// fetch returns what a VM serves to operators under a path.
func (r *run) fetch(t *testing.T, vm int, path string) []byte {
	t.Helper()
	response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", r.FirstPort+portsPerVM*vm+peerPortOffset+1, path))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// relayedRows returns the rows that the coordinator relays to a VM that connects to it.
func (r *run) relayedRows(t *testing.T) []byte {
	t.Helper()
	rows := make(chan []byte, 9)
	address := fmt.Sprintf("127.0.0.1:%d", r.FirstPort+portsPerVM*r.leader(t).index+peerPortOffset)
	_, err := replica.Follow(t.Context(), address, replica.Report{VM: "observer", Domain: "observer", Region: "north"}, replica.Receiver{
		Connected: func(*replica.Link) {},
		Update: func(l *replica.Link, u replica.Update) {
			var text []byte
			if deltas, err := replica.Unpack(u.Packed); err == nil {
				for _, d := range deltas {
					for _, row := range d.Rows {
						text = append(text, row.Value...)
					}
				}
			}
			if len(text) > 0 {
				rows <- text
				l.Close()
			}
		},
	})
	select {
	case text := <-rows:
		return text
	default:
		t.Fatalf("no tables from the coordinator: %v", err)
		return nil
	}
}

// Guards, on running VMs, against a change of credentials that isn't in force in time, against a return of an earlier version, against a
// wrong 401, and against a credential at a target or in a log, a dump or a relayed row.
func TestCredentialsFollowTheConfiguration(t *testing.T) {
	r := startCrashRun(t, 2)
	before := map[string][]string{"org-a": {"plain-a1"}, "org-b": {"plain-b1", "plain-b2"}}
	after := map[string][]string{"org-a": {"plain-a2"}, "org-b": {"plain-b1"}}
	first := true
	configure := func(version int, credentials map[string][]string) {
		t.Helper()
		defer func() { first = false }()
		if err := r.deployment.ConfigureOrganisations(version, credentials); err != nil {
			t.Fatal(err)
		}
		for end := time.Now().Add(configApplyTime); time.Now().Before(end); wait(t.Context(), 10*time.Millisecond) {
			// Until the first version with organisations is in force, header fields are forwarded as they are.
			for vm := range r.VMs {
				if first {
					continue
				}
				if status := r.sendWithCredential(t, vm, standin.PathRead, "plain-b1", "org-b"); status == http.StatusUnauthorized {
					t.Fatalf("VM %d rejects a credential that all versions have", vm)
				}
			}
		}
	}
	check := func(credential, organisation string, want int) {
		t.Helper()
		for vm := range r.VMs {
			if status := r.sendWithCredential(t, vm, standin.PathRead, credential, organisation); status != want {
				t.Errorf("VM %d: status %d for credential %q, want %d", vm, status, credential, want)
			}
		}
	}
	configure(8, before)
	check("plain-a1", "org-a", http.StatusOK)
	check("plain-a2", "", http.StatusUnauthorized)
	check("", "", http.StatusUnauthorized)
	if status := r.sendWithCredential(t, 0, standin.PathHome, "", ""); status != http.StatusOK {
		t.Errorf("status %d on a public route", status)
	}
	// A VM that can't reach the store learns of the change from the coordinator.
	cutOff := r.vms[(r.leader(t).index+1)%r.VMs]
	cutOff.storeLink.Set(Impairment{Refuse: true})
	cutOff.storeLink.Reset()
	configure(9, after)
	changed := func() {
		t.Helper()
		check("plain-a2", "org-a", http.StatusOK)
		check("plain-a1", "", http.StatusUnauthorized)
		check("plain-b2", "", http.StatusUnauthorized)
	}
	changed()
	configure(8, before)
	changed()
	seen := r.relayedRows(t)
	for vm := range r.VMs {
		seen = append(seen, r.fetch(t, vm, "/dump")...)
	}
	r.deployment.Store.SetDown(true)
	changed()
	if err := r.kill(cutOff); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(time.Second); time.Now().Before(end); wait(t.Context(), 10*time.Millisecond) {
		if status := r.sendWithCredential(t, cutOff.index, standin.PathRead, "plain-a2", "org-a"); status == http.StatusUnauthorized {
			t.Fatal("a VM without a configuration rejects a credential")
		}
	}
	logs, err := filepath.Glob(filepath.Join(r.LogDir, "*.log"))
	if err != nil {
		t.Fatal(err)
	}
	for _, path := range logs {
		text, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		seen = append(seen, text...)
	}
	for text, want := range map[string]bool{"plain-": false, "api_key_digests": true, `"Name":"org-a"`: true, "event=856": true} {
		if bytes.Contains(seen, []byte(text)) != want {
			t.Errorf("%q in logs, dumps and relayed rows: %v", text, !want)
		}
	}
	for _, text := range r.deployment.Checker.Violations() {
		t.Error(text)
	}
}
