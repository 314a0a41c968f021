package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bronzelever/bronzelever/internal/standin/platform"
	"github.com/bronzelever/bronzelever/pkg/finding"
	"github.com/bronzelever/bronzelever/pkg/peer"
	"github.com/bronzelever/bronzelever/pkg/settings"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const example = "../../examples/nastri-caruso/config.json"

// installation is a platform stand-in and one process that answers as the active controller of both cells.
type installation struct {
	front    *platform.Front
	settings string
	// version is what the routers have in force.
	version atomic.Uint64
}

func newInstallation(t *testing.T) *installation {
	t.Helper()
	t.Setenv("BLCTL_TEST_KEY", "key")
	t.Setenv("BLCTL_TEST_SECRET", "secret")
	i := &installation{front: platform.New(platform.Settings{}).NewFront()}
	i.version.Store(1_000)
	server := httptest.NewServer(i.front)
	t.Cleanup(server.Close)
	controller := i.serveController(t)
	recordRosters(t, server.URL)
	i.settings = filepath.Join(t.TempDir(), "blctl.json")
	text := fmt.Sprintf(`{
		"operator": "alice",
		"store": {
			"table_endpoint": %[1]q, "object_endpoint": %[1]q, "region": "test", "table": "t", "bucket": "b",
			"access_key_env": "BLCTL_TEST_KEY", "secret_key_env": "BLCTL_TEST_SECRET",
		},
		"cells": [
			{"cell": "catania", "controllers": [%[2]q]},
			{"cell": "palermo", "controllers": [%[2]q]},
		],
		"store_timeout_ms": 700, "accept_timeout_ms": 100, "log_level": "error",
	}`, server.URL, controller)
	if err := os.WriteFile(i.settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return i
}

// recordRosters writes the term rows, which controllers keep.
func recordRosters(t *testing.T, url string) {
	t.Helper()
	rows, err := openStore(settings.Store{TableEndpoint: url, ObjectEndpoint: url, Region: "test", Table: "t", Bucket: "b",
		AccessKeyEnv: "BLCTL_TEST_KEY", SecretKeyEnv: "BLCTL_TEST_SECRET"})
	if err != nil {
		t.Fatal(err)
	}
	for _, cell := range []string{"catania", "palermo"} {
		if _, err := rows.Put(t.Context(), "cells/"+cell+"/term", []byte(`{"roster": {"members": [{"vm": "vm-1"}]}}`), 0, "t"); err != nil {
			t.Fatal(err)
		}
	}
}

func (i *installation) serveController(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := peer.NewServer("vm-1")
	server.HandleCall(wire.TypeStatus, func(context.Context, string, wire.Frame) (wire.Type, any, error) {
		version := i.version.Load()
		return wire.TypeStatusReply, &wire.StatusReply{Active: true, Leader: "vm-1", Term: 4, ConfigVersion: version,
			Members: []wire.MemberStatus{{Member: wire.Member{VM: "vm-1"}, ConfigVersion: version}}}, nil
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	t.Cleanup(func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = server.Shutdown(ctx)
		<-done
	})
	return listener.Addr().String()
}

// blctl runs a command and returns exit code and output.
func (i *installation) blctl(t *testing.T, args ...string) (int, string) {
	t.Helper()
	var out bytes.Buffer
	code := run(t.Context(), append([]string{"--settings", i.settings}, args...), &out, &out)
	return code, out.String()
}

func (i *installation) expect(t *testing.T, code int, want string, args ...string) {
	t.Helper()
	got, out := i.blctl(t, args...)
	if got != code || !strings.Contains(out, want) {
		t.Errorf("blctl %s: exit code %d, want %d; output, want %q:\n%s", strings.Join(args, " "), got, code, want, out)
	}
}

// Guards against exit codes and texts that scripts and operators rely on, through the real store client.
func TestCommands(t *testing.T) {
	i := newInstallation(t)
	i.expect(t, exitDifferent, "version 0 is in force", "diff", example)
	i.expect(t, exitOK, "accepted: version 1 is in force in catania, palermo", "apply", example, "--reason", "first")
	i.expect(t, exitOK, "0 differences", "diff", example)
	i.expect(t, exitOK, "no difference: version 1", "apply", example)
	i.expect(t, exitOK, "accepted: version 2", "out", "domain", "catania-a", "--reason", "power work")
	i.expect(t, exitOK, "out: domains catania-a", "status")
	i.expect(t, exitConflict, "+ out.failure_domains[catania-a]", "out", "vm", "vm-9", "--seen", "1")
	i.expect(t, exitOK, "version 2 (after 1) by alice", "history")
	i.version.Store(2)
	i.expect(t, exitStored, "stored, not yet accepted: not yet in force in catania, palermo", "in", "domain", "catania-a")
	i.expect(t, exitInvalid, `unknown domain "nowhere"`, "out", "domain", "nowhere")
	i.expect(t, exitUsage, "must be one of", "out", "room", "1")
	i.expect(t, exitFailed, "no such file", "validate", "missing.json")
}

// Guards against a dump that is cut, changed or taken from a process that refuses.
func TestDump(t *testing.T) {
	i := newInstallation(t)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /dump", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, `{"vm": "vm-1"}`) })
	admin := httptest.NewServer(mux)
	defer admin.Close()
	i.expect(t, exitOK, `{"vm": "vm-1"}`, "dump", admin.Listener.Addr().String())
	i.expect(t, exitFailed, "is not an address", "dump", "vm-1")
	other := httptest.NewServer(http.NotFoundHandler())
	defer other.Close()
	i.expect(t, exitFailed, "answered 404", "dump", other.Listener.Addr().String())
}

// Guards against JSON output that can't be decoded or lacks the outcome.
func TestJSONOutput(t *testing.T) {
	i := newInstallation(t)
	code, out := i.blctl(t, "--output", "json", "apply", example)
	var result struct {
		Outcome  string
		Findings []finding.View
		Cells    []struct{ Cell string }
	}
	if err := json.Unmarshal([]byte(out), &result); err != nil || code != exitOK {
		t.Fatalf("exit code %d, %v:\n%s", code, err, out)
	}
	if result.Outcome != "accepted" || len(result.Cells) != 2 || len(result.Findings) != 1 {
		t.Errorf("%+v", result)
	}
}

// Guards against wrong answers during store faults: something accepted while the store is down, or a lost reply that counts as
// a failure. Late writes are tested in pkg/operator.
func TestStoreFaults(t *testing.T) {
	i := newInstallation(t)
	i.expect(t, exitOK, "accepted", "apply", example)
	for _, mode := range []platform.DownMode{platform.DownReset, platform.DownError, platform.DownHang} {
		i.front.SetFaults(platform.Faults{Down: true, DownMode: mode})
		i.expect(t, exitNotAccepted, "nothing was accepted, and nothing will come into force later", "out", "vm", "vm-9")
	}
	i.expect(t, exitFailed, "store: NOT REACHABLE", "status")
	i.front.SetFaults(platform.Faults{LoseReplies: 3})
	i.expect(t, exitOK, "accepted: version 2", "out", "vm", "vm-9")
}

// Guards against a request that can't be explained where only its logs are at hand: no settings and no store are needed.
func TestExplainRequestFromLogs(t *testing.T) {
	name := filepath.Join(t.TempDir(), "vm.log")
	text := `time=2026-12-04T07:00:01.200Z level=info msg="request refused without having run" vm=a event=841 request=r1 status=503 reason=overload` + "\n"
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--request", "r1", "--log", name}, exitOK, "decided by event 841, " + name + ":1"},
		{[]string{"--request", "r2", "--log", name}, exitFailed, "no line of the logs names the request r2"},
		{[]string{"--request", "r1"}, exitUsage, "--request takes log files"},
		{[]string{"route"}, exitUsage, "give a route and a key"},
	} {
		var out bytes.Buffer
		code := run(t.Context(), append([]string{"explain"}, c.args...), &out, &out)
		if code != c.code || !strings.Contains(out.String(), c.want) {
			t.Errorf("%v: exit code %d, %s", c.args, code, out.String())
		}
	}
}
