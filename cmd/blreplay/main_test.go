package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// Guards against exit codes and output that hide a decision which differs from the recorded one.
func TestExitCodes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "decisions")
	group := `{"groups": [{"ID": "p/a/0", "Keyed": false, "Gateway": "", "Fixed": false}], "routers": [{"VM": "vm-1", "Domain": "a", "Out": false}]}`
	for decision, want := range map[string]struct {
		code int
		text string
	}{
		`[{"Group": "p/a/0", "To": "vm-1"}]`: {exitOK, "1 lines, 1 as recorded, 0 otherwise"},
		`[{"Group": "p/a/0", "To": "vm-2"}]`: {exitDifferent, `decisions:1: placement.assign-groups: recorded [{"Group": "p/a/0", "To": "vm-2"}]`},
	} {
		line := `{"seq": 1, "at": 5, "kind": "placement.assign-groups", "input": ` + group + `, "decision": ` + decision + "}\n"
		if err := os.WriteFile(path, []byte(line), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if code := run(arguments{Files: []string{path}, Output: "text"}, &out, &out); code != want.code || !strings.Contains(out.String(), want.text) {
			t.Errorf("exit code %d, want %d: %s", code, want.code, out.String())
		}
	}
	var out bytes.Buffer
	if code := run(arguments{Files: []string{"missing"}}, &out, &out); code != exitFailed {
		t.Errorf("exit code %d", code)
	}
}
