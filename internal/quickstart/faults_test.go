package quickstart

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/internal/standin/target"
	"github.com/bronzelever/bronzelever/pkg/config"
	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Guards against a judgement that overlooks a refusal not-run of an executed request, or an answer to another order.
func TestJudgeCallers(t *testing.T) {
	records := []target.Record{{Executions: []target.Execution{{RequestID: "a-1", OrderKey: "a"}, {RequestID: "b-1", OrderKey: "b"}}}}
	for name, c := range map[string]struct {
		sending sending
		failed  int
	}{
		"answered":        {sending{id: "a-1", order: "a", status: http.StatusOK, body: `{"order":"a","runs":1}`}, 0},
		"crossed":         {sending{id: "a-1", order: "a", status: http.StatusOK, body: `{"order":"b","runs":1}`}, 1},
		"second run":      {sending{id: "a-1", order: "a", status: http.StatusOK, body: `{"order":"a","runs":2}`}, 1},
		"true refusal":    {sending{id: "a-2", order: "a", status: 503, outcome: problem.NotRun}, 0},
		"untrue refusal":  {sending{id: "b-1", order: "b", status: 503, outcome: problem.NotRun}, 1},
		"unknown outcome": {sending{id: "b-1", order: "b", status: 504, outcome: problem.Unknown}, 0},
	} {
		r := &report{out: io.Discard}
		callers := newCallers()
		callers.sendings = []sending{c.sending}
		callers.judge(r, records)
		if r.failed != c.failed {
			t.Errorf("%s: %d outcomes are wrong, want %d", name, r.failed, c.failed)
		}
	}
}

// Guards against a list of known red outcomes that hides others than the listed ones.
func TestKnownRed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "red.txt")
	text := "# comment\nmake faults | 3 user: a key is served | bin/faults 3, seed 1 | 2 of 5 | issue 4\nmake test | TestX | seed 1 | failed | issue 5\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	known, err := readKnownRed(file)
	if err != nil {
		t.Fatal(err)
	}
	r := &report{out: io.Discard, known: known, scenario: "3 user"}
	r.add(outcome{name: "a key is served"})
	if r.red != 1 || r.failed != 0 {
		t.Errorf("the known outcome counts as failed: %+v", r)
	}
	r.add(outcome{name: "TestX"})
	r.scenario = "4 user"
	r.add(outcome{name: "a key is served"})
	if r.red != 1 || r.failed != 2 {
		t.Errorf("other outcomes are hidden: %+v", r)
	}
}

// Guards against a smaller deployment whose configuration is invalid or keeps addresses of another deployment.
func TestShrunkExamples(t *testing.T) {
	for _, user := range []string{"nastri-caruso", "vento-sul"} {
		file := filepath.Join("..", "..", "examples", user, "config.json")
		data, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		cfg, findings := config.Parse(data, file)
		if err := findings.Err(); err != nil {
			t.Fatal(err)
		}
		shrink(cfg)
		d := newDeployment("", "", cfg, layout{prefix: "127.9", vmsPerRegion: faultVMsPerRegion})
		if err := cfg.Validate().Err(); err != nil {
			t.Errorf("%s: %v", user, err)
		}
		if len(d.vms) != 2*faultVMsPerRegion {
			t.Errorf("%s: %d entry VMs", user, len(d.vms))
		}
		targets := 0
		for _, pool := range cfg.Pools {
			for _, target := range pool.Targets {
				targets++
				if !strings.HasPrefix(target.Address, "127.9.") {
					t.Errorf("%s: target %s at %s", user, target.ID, target.Address)
				}
			}
		}
		if targets != 16 {
			t.Errorf("%s: %d targets", user, targets)
		}
	}
}

// Guards against a page of proofs that names other scenarios than those that run.
func TestPromisesNameScenarios(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "PROMISES.md"))
	if err != nil {
		t.Fatal(err)
	}
	users := []string{"unchecked", "checked"}
	for _, spec := range faultSpecs() {
		configurations := "both"
		if !spec.both {
			configurations = users[spec.number%len(users)]
		}
		row := fmt.Sprintf("| %d %s | %s |", spec.number, spec.name, configurations)
		if !strings.Contains(string(page), row) {
			t.Errorf("the page lacks %s", row)
		}
	}
}
