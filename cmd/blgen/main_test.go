package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const answers = "../../examples/vento-sul/questionnaire.json"

func generate(t *testing.T, want int, args arguments) string {
	t.Helper()
	var out bytes.Buffer
	if code := run(args, &out, &out); code != want {
		t.Errorf("%+v: exit code %d, want %d:\n%s", args, code, want, out.String())
	}
	return out.String()
}

// Guards against exit codes that scripts rely on, and against --check that writes or misses a difference.
func TestExitCodes(t *testing.T) {
	output := filepath.Join(t.TempDir(), "config.json")
	generate(t, exitFailed, arguments{Answers: answers, Output: output, Check: true})
	if out := generate(t, exitOK, arguments{Answers: answers, Output: output}); !strings.Contains(out, "unanswered: services[molde-arquivo]") {
		t.Error(out)
	}
	generate(t, exitOK, arguments{Answers: answers, Output: output, Check: true})
	if err := os.WriteFile(output, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	generate(t, exitDiffers, arguments{Answers: answers, Output: output, Check: true})
	generate(t, exitFailed, arguments{Answers: "missing.json"})
	if out := generate(t, exitFindings, arguments{Answers: output}); !strings.Contains(out, "config.json:1:1: error: regions: no region") {
		t.Error(out)
	}
}
