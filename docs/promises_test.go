package docs

import (
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	packageName = regexp.MustCompile("`((?:pkg|internal)/[a-z/]+|platform(?:/[a-z]+)?)`")
	testName    = regexp.MustCompile(`\bTest[A-Z]\w*`)
)

// Guards against a page that claims a proof by a test that doesn't exist, or that was moved to another package.
func TestPromisesNameTests(t *testing.T) {
	checked := 0
	for entry := range strings.SplitSeq(page(t, "PROMISES.md"), "\n- ") {
		if !strings.HasPrefix(entry, "Tests:") {
			continue
		}
		parts := packageName.FindAllStringSubmatchIndex(entry, -1)
		for i, part := range parts {
			end := len(entry)
			if i+1 < len(parts) {
				end = parts[i+1][0]
			}
			source := testSource(t, entry[part[2]:part[3]])
			for _, name := range testName.FindAllString(entry[part[1]:end], -1) {
				checked++
				if !strings.Contains(source, "\nfunc "+name+"(") {
					t.Errorf("%s has no %s", entry[part[2]:part[3]], name)
				}
			}
		}
	}
	if checked == 0 {
		t.Error("the page names no test")
	}
}

// testSource returns the test files of a package.
func testSource(t *testing.T, name string) string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", name, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	var source strings.Builder
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		source.Write(text)
	}
	return source.String()
}

// Guards against a promise that is claimed of the deployed program and proved on another one: requests that crash their targets were
// refused by gateways that it doesn't link. Each row names such a proof, or says plainly that the promise isn't kept, and the issue.
func TestDeployedPromisesAreProvedOnTheDeployedProgram(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "../cmd/blentry").Output()
	if err != nil {
		t.Fatal(err)
	}
	const module = "github.com/bronzelever/bronzelever/"
	// The soak and its stand-ins run the program.
	proving := map[string]bool{"internal/soak": true, "platform/standin": true}
	for name := range strings.FieldsSeq(string(out)) {
		if local, ok := strings.CutPrefix(name, module); ok {
			proving[local] = true
		}
	}
	_, section, _ := strings.Cut(page(t, "PROMISES.md"), "## The deployed program, promise by promise")
	section, _, _ = strings.Cut(section, "\n## ")
	rows := 0
	for line := range strings.SplitSeq(section, "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 5 || strings.HasPrefix(strings.TrimSpace(cells[1]), "promise") || strings.Contains(cells[1], "---") {
			continue
		}
		rows++
		kept, proof := strings.TrimSpace(cells[2]), cells[3]
		if strings.HasPrefix(kept, "not kept") {
			if !strings.Contains(kept, "(issue ") {
				t.Errorf("%s: no issue", cells[1])
			}
			continue
		}
		if !strings.HasPrefix(kept, "yes") || !testName.MatchString(proof) {
			t.Errorf("%s: neither a proof nor \"not kept\"", cells[1])
		}
		checkProofs(t, cells[1], proof, proving)
	}
	if rows < 20 {
		t.Errorf("%d rows", rows)
	}
}

var provingPackage = regexp.MustCompile("`((?:pkg|internal|platform)(?:/[a-z]+)*)`")

// checkProofs checks that each named test is in the package before it, and that the package is among those that prove something.
func checkProofs(t *testing.T, promise, proof string, proving map[string]bool) {
	t.Helper()
	parts := provingPackage.FindAllStringSubmatchIndex(proof, -1)
	for i, part := range parts {
		end := len(proof)
		if i+1 < len(parts) {
			end = parts[i+1][0]
		}
		name := proof[part[2]:part[3]]
		if !proving[name] {
			t.Errorf("%s: the deployed program doesn't link %s", promise, name)
		}
		source := testSource(t, name)
		for _, test := range testName.FindAllString(proof[part[1]:end], -1) {
			if !strings.Contains(source, "\nfunc "+test+"(") {
				t.Errorf("%s: %s has no %s", promise, name, test)
			}
		}
	}
}
