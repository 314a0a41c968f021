package docs

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

var (
	packageName = regexp.MustCompile("`((?:pkg|internal)/[a-z/]+)`")
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
