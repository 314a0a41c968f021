package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/finding"
)

const (
	inForce = "testdata/in-force.json"
	next    = "testdata/next.json"
)

func blcheck(args ...string) (int, string) {
	var out bytes.Buffer
	code := run(args, &out, &out)
	return code, out.String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// Guards against changed exit codes, which scripts rely on, and against input that is cut or passed over without an error.
func TestExitCodes(t *testing.T) {
	settings := writeFile(t, "node=vm-1\n")
	for _, c := range []struct {
		code int
		want string
		args []string
	}{
		{exitOK, "errors: 0, warnings: 0, changes: 0", []string{inForce}},
		{exitErrors, "errors: 4, warnings: 10, changes: 14", []string{next, "--in-force", inForce, "--regions", "north,south"}},
		{exitErrors, "11 isn't higher than that of the version in force, 11", []string{inForce, "--in-force", inForce}},
		{exitErrors, "2:1: error: .: malformed JSON", []string{writeFile(t, "{\n]")}},
		{exitErrors, "the store accepts at most 65536", []string{writeFile(t, `{"version":"r1","x":"`+strings.Repeat("x", 70_000)+`"}`)}},
		{exitOK, "Exit codes: 0 no errors", []string{"--help"}},
		{exitFailed, "no such file", []string{"missing.json"}},
		{exitFailed, "no such file", []string{inForce, "--in-force", "missing.json"}},
		{exitFailed, "isn't a JSON object", []string{inForce, "--in-force", writeFile(t, "[]")}},
		{exitFailed, "is too large", []string{writeFile(t, strings.Repeat(" ", maxFileBytes+1))}},
		{exitFailed, "zone: is missing", []string{inForce, "--settings", settings}},
		{exitFailed, "can't be used together", []string{inForce, "--settings", settings, "--regions", "north"}},
		{exitFailed, "--output must be one of", []string{inForce, "--output", "xml"}},
		{exitFailed, "expected \"<file>\"", nil},
	} {
		code, out := blcheck(c.args...)
		// Help is wrapped at the width of the terminal.
		if code != c.code || !strings.Contains(strings.Join(strings.Fields(out), " "), c.want) {
			t.Errorf("%.200q: exit code %d, want %d; output, want %q:\n%s", c.args, code, c.code, c.want, out)
		}
	}
}

// Guards against regions of the settings file that aren't used, or are taken for the failure domains that they are given for.
func TestRegionsOfSettings(t *testing.T) {
	settings := writeFile(t, "node=vm-1\nip=10.0.0.1\nzone=s-1\nregion=south\nlisten.front=a:1\nlisten.ready=a:2\ninternal_port_range=3,4\nplatform.address=b:1\nzones.north-1=east\n")
	code, out := blcheck("--settings", settings, inForce)
	if want := `names no region of the deployment, so that all requests are refused; it has "east", "south"`; code != exitOK || !strings.Contains(out, want) {
		t.Errorf("exit code %d, output\n%s", code, out)
	}
}

// Guards against output that changes from run to run, and against JSON that tells less than the text.
func TestOutputIsStable(t *testing.T) {
	args := []string{next, "--in-force", inForce}
	_, text := blcheck(args...)
	for range 10 {
		if _, again := blcheck(args...); again != text {
			t.Fatalf("first\n%sthen\n%s", text, again)
		}
	}
	_, out := blcheck(append(args, "--output", "json")...)
	var result struct{ Findings []finding.View }
	if err := json.Unmarshal([]byte(out), &result); err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(text), "\n")
	if len(result.Findings) != len(lines)-1 {
		t.Fatalf("%d findings in JSON, text\n%s", len(result.Findings), text)
	}
	for i, f := range result.Findings {
		if !strings.Contains(lines[i], f.Severity+": "+f.Path+": "+f.Message) || f.Risky != strings.Contains(lines[i], ": risky ") {
			t.Errorf("JSON %+v, text %s", f, lines[i])
		}
	}
}

// Guards against an example in the operators' page that differs from what the command prints.
func TestDocumentedOutput(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	_, out := blcheck(next, "--in-force", inForce, "--regions", "north,south")
	out = strings.ReplaceAll(out, "testdata/", "")
	shown := regexp.MustCompile(`(?m)^    ((next|in-force)\.json:.*|errors: .*)$`).FindAllStringSubmatch(string(page), -1)
	if len(shown) < 5 {
		t.Errorf("the page shows %d lines", len(shown))
	}
	for _, line := range shown {
		if !strings.Contains(out, line[1]+"\n") {
			t.Errorf("the output lacks %q", line[1])
		}
	}
}

// Guards against a credential in the output, also where it was entered in a wrong place or the file is malformed.
func TestNoCredentialIsPrinted(t *testing.T) {
	const key = "zq8vKx03secretLm"
	for _, content := range []string{
		`"tenants":[{"name":"a","api_keys":["` + key + `","` + key + `"]},{"name":"b","api_keys":["` + key + `"]}]`,
		`"tenants":[{"name":"a","api_keys":"` + key + `"}]`,
		`"tenants":[{"name":"a","api_keys":{"` + key + `":1}}]`,
		`"tenants":[{"name":"a","` + key + `":1}]`,
		`"tenants":[{"name":"` + key + `","api_keys":["` + key + `"]},{"name":"` + key + `","api_keys":[]}]`,
		`"tenants":[{"name":"a","api_keys":["` + key + strings.Repeat("x", 300) + `"," ` + key + `"]}]`,
		`"tenants":[{"name":"a","API_KEYS":["` + key + `"],"priority":"` + key + `"}]`,
		`"tenants":{"` + key + `":{}},"services":[{"name":"s","api_keys":["` + key + `"]}]`,
		`"hosts":[{"host":"` + key + `","paths":[{"name":"` + key + `","service":"` + key + `"}]}],"tenants":[{"name":"a","api_keys":["` + key + `"]}]`,
		`"tenants":[{"name":"a","api_keys":["` + key + `"]`,
		`"tenants":[{"name":"a","api_keys":["` + key + `\q"]}]`,
	} {
		file := writeFile(t, "{\"version\":\"r20\",\n"+content+"}")
		for _, args := range [][]string{{file}, {file, "--in-force", inForce}, {inForce, "--in-force", file}, {file, "--output", "json"}} {
			if _, out := blcheck(args...); strings.Contains(out, "secret") || strings.Contains(out, "not-a-real") {
				t.Errorf("%s\nprints\n%s", content, out)
			}
		}
	}
}
