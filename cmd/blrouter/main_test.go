package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

func settingsFile(t *testing.T, callerListen string) string {
	t.Helper()
	text := fmt.Sprintf(`{
	"vm": "vm-1", "cell": "catania", "region": "catania", "failure_domain": "catania-a",
	"caller_listen": %q, "peer_listen": %q, "admin_listen": %q,
	"peers": [{"vm": "vm-2", "router": "127.0.0.1:9", "controller": "127.0.0.1:9", "cell": "catania"}],
	"store": {
		"table_endpoint": "http://127.0.0.1:9", "object_endpoint": "http://127.0.0.1:9", "region": "local",
		"table": "bronzelever", "bucket": "bronzelever", "access_key_env": "KEY", "secret_key_env": "SECRET",
	},
	"drain": {"balancer_lag_ms": 1, "timeout_ms": 1000},
}`, callerListen, freeAddress(t), freeAddress(t))
	path := filepath.Join(t.TempDir(), "router.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against exit codes that differ from the documented ones and against output on the wrong stream.
func TestExitCodes(t *testing.T) {
	broken := filepath.Join(t.TempDir(), "broken.json")
	if err := os.WriteFile(broken, []byte(`{"vm": 3}`), 0o600); err != nil {
		t.Fatal(err)
	}
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = taken.Close() }()
	valid := settingsFile(t, freeAddress(t))
	for _, c := range []struct {
		name   string
		args   []string
		code   int
		out    string
		errOut string
	}{
		{"version", []string{"--version"}, exitOK, "devel", ""},
		{"help", []string{"--help"}, exitOK, "Exit codes", ""},
		{"no settings", nil, exitInvalid, "", "settings"},
		{"missing file", []string{"/nonexistent"}, exitInvalid, "", "nonexistent"},
		{"unknown flag", []string{"--colour", valid}, exitInvalid, "", "--colour"},
		{"broken settings", []string{broken}, exitInvalid, "", "broken.json:1:8: error: vm"},
		{"check", []string{"--check", valid}, exitOK, "valid", ""},
		{"address in use", []string{settingsFile(t, taken.Addr().String())}, exitFailed, "", "address already in use"},
		{"graceful shutdown", []string{valid}, exitOK, "", "process stopped"},
	} {
		// With a canceled context, the router shuts down as soon as it runs.
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		var out, errOut bytes.Buffer
		if code := run(ctx, c.args, &out, &errOut); code != c.code {
			t.Errorf("%s: exit code %d, want %d\n%s", c.name, code, c.code, errOut.String())
		}
		if !strings.Contains(out.String(), c.out) || !strings.Contains(errOut.String(), c.errOut) {
			t.Errorf("%s: output %q, errors %q", c.name, out.String(), errOut.String())
		}
	}
}
