package event

import (
	"bytes"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
)

const cataloguePage = "../../docs/events.md"

// row matches a row of the tables in docs/events.md: number, level, message, meaning.
var row = regexp.MustCompile(`(?m)^\| (\d{3}) \| (\w+) \| (.*?) \| (.+) \|$`)

// TestCatalogueMatchesPage guards against events that operators can't look up, and against documented events that no longer exist or have
// another level or message.
func TestCatalogueMatchesPage(t *testing.T) {
	page, err := os.ReadFile(cataloguePage)
	if err != nil {
		t.Fatal(err)
	}
	documented := map[ID]string{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		if _, ok := documented[ID(n)]; ok {
			t.Errorf("event %d has two rows", n)
		}
		documented[ID(n)] = m[2] + " | " + m[3]
	}
	for _, d := range Catalogue() {
		want := fmt.Sprintf("%s | %s", d.Level, d.Text)
		got, ok := documented[d.ID]
		switch {
		case !ok:
			t.Errorf("missing row: | %d | %s | meaning |", d.ID, want)
		case got != want:
			t.Errorf("event %d is documented as %q, defined as %q", d.ID, got, want)
		}
		delete(documented, d.ID)
	}
	for id, text := range documented {
		t.Errorf("event %d (%s) is documented but not defined", id, text)
	}
}

// TestNumbersAreInRange guards against an event number outside the ranges that are documented for the processes.
func TestNumbersAreInRange(t *testing.T) {
	for _, d := range Catalogue() {
		if d.ID < 100 || d.ID > 899 {
			t.Errorf("event %d is outside the documented ranges", d.ID)
		}
	}
}

// TestRecoverPanic guards against a panic that ends the process although RecoverPanic is deferred, as a function value.
func TestRecoverPanic(t *testing.T) {
	var out bytes.Buffer
	recoverPanic := NewLogger(&out, log.InfoLevel).RecoverPanic
	func() {
		defer recoverPanic("a test")
		panic("planted")
	}()
	if text := out.String(); !strings.Contains(text, "event=846") || !strings.Contains(text, "planted") || !strings.Contains(text, "a test") {
		t.Errorf("the event is %q", text)
	}
}
