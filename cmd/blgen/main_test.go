package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const answers = "../../examples/vento-sul/questionnaire.json"

func runAndCheckExitCode(t *testing.T, want int, args arguments) string {
	t.Helper()
	var out bytes.Buffer
	if code := run(args, &out, &out); code != want {
		t.Errorf("%+v: exit code %d, want %d:\n%s", args, code, want, out.String())
	}
	return out.String()
}

// Guards against changed exit codes, which scripts rely on, and against a --check that writes the output file or misses a
// difference.
func TestExitCodes(t *testing.T) {
	output := filepath.Join(t.TempDir(), "config.json")
	runAndCheckExitCode(t, exitFailed, arguments{Answers: answers, Output: output, Check: true})
	if out := runAndCheckExitCode(t, exitOK, arguments{Answers: answers, Output: output}); !strings.Contains(out, "unanswered: services[molde-arquivo]") {
		t.Error(out)
	}
	runAndCheckExitCode(t, exitOK, arguments{Answers: answers, Output: output, Check: true})
	if err := os.WriteFile(output, []byte("{}"), 0o600); err != nil {
		t.Fatal(err)
	}
	runAndCheckExitCode(t, exitDiffers, arguments{Answers: answers, Output: output, Check: true})
	runAndCheckExitCode(t, exitFailed, arguments{Answers: "missing.json"})
	if out := runAndCheckExitCode(t, exitFindings, arguments{Answers: output}); !strings.Contains(out, "config.json:1:1: error: regions: no region") {
		t.Error(out)
	}
}
