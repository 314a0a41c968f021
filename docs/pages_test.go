// Package docs keeps the pages in step with the code.
package docs

import (
	"net/http/httptest"
	"os"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/operator"
	"github.com/bronzelever/bronzelever/pkg/problem"
	"github.com/bronzelever/bronzelever/pkg/questionnaire"
	"github.com/bronzelever/bronzelever/pkg/settings"
)

func page(t *testing.T, name string) string {
	t.Helper()
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// fields returns the JSON names of a type of this project and of the types in it.
func fields(t reflect.Type) []string {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	if t.Kind() != reflect.Struct {
		return nil
	}
	var names []string
	for i := range t.NumField() {
		f := t.Field(i)
		if name, _, _ := strings.Cut(f.Tag.Get("json"), ","); name != "" {
			names = append(names, name)
		}
		names = append(names, fields(f.Type)...)
	}
	return names
}

// Guards against settings and questions that are not documented.
func TestFieldsAreDocumented(t *testing.T) {
	for name, types := range map[string][]reflect.Type{
		"settings.md": {
			reflect.TypeFor[settings.Router](), reflect.TypeFor[settings.Controller](), reflect.TypeFor[operator.Settings](),
		},
		"questionnaire.md": {reflect.TypeFor[questionnaire.Answers]()},
	} {
		text := page(t, name)
		for _, typ := range types {
			for _, field := range fields(typ) {
				if !regexp.MustCompile("`[^`]*\\b" + field + "\\b[^`]*`").MatchString(text) {
					t.Errorf("%s doesn't mention %s of %v", name, field, typ)
				}
			}
		}
	}
}

var (
	codeConstant = regexp.MustCompile(`(?m)^\tCode\w+\s+Code = "([a-z-]+)"`)
	codeRow      = regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| [^|]+ \\| [^|]+ \\|$")
)

// Guards against problem codes that callers can't look up, and against documented codes that no longer exist.
func TestProblemCodesAreDocumented(t *testing.T) {
	_, errors, found := strings.Cut(page(t, "callers.md"), "## Errors")
	if !found {
		t.Fatal("callers.md has no section Errors")
	}
	documented := map[string]bool{}
	for _, m := range codeRow.FindAllStringSubmatch(errors, -1) {
		documented[m[1]] = true
	}
	for _, m := range codeConstant.FindAllStringSubmatch(page(t, "../pkg/problem/problem.go"), -1) {
		if !documented[m[1]] {
			t.Errorf("code %s is not documented", m[1])
		}
		delete(documented, m[1])
	}
	for code := range documented {
		t.Errorf("code %s is documented but not defined", code)
	}
}

// Guards against an example that differs from what callers receive.
func TestProblemExample(t *testing.T) {
	e := problem.New(503, problem.CodeOverload, problem.NotRun, "the queue is full").After(1200 * time.Millisecond)
	e.RequestID = "r-1"
	recorder := httptest.NewRecorder()
	problem.Write(recorder, e)
	if example := strings.TrimSpace(recorder.Body.String()); !strings.Contains(page(t, "callers.md"), example) {
		t.Errorf("callers.md lacks the example %s", example)
	}
	if got := recorder.Header().Get("Retry-After"); got != "2" {
		t.Errorf("Retry-After is %q", got)
	}
}
