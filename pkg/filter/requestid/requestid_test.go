package requestid

import (
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/filter"
	"github.com/bronzelever/bronzelever/pkg/filter/filtertest"
)

// Guards against replacing a valid ID of the caller, and against keeping an ID that could forge log lines.
func TestCallerID(t *testing.T) {
	for given, kept := range map[string]bool{"": false, "abc-1": true, "a b": false, "a\nb": false, strings.Repeat("x", 200): false} {
		x := filtertest.NewExchange(t, "GET", "/plain", nil)
		x.Request.Header[filter.HeaderRequestID] = []string{given}
		filtertest.MustPass(t, New(), x)
		if (x.ID == given) != kept || x.ID == "" || x.Header.Get(filter.HeaderRequestID) != x.ID {
			t.Errorf("%q became %q", given, x.ID)
		}
	}
}

// Guards against assigning the same random ID to two requests.
func TestRandomIDsDiffer(t *testing.T) {
	x, y := filtertest.NewExchange(t, "GET", "/plain", nil), filtertest.NewExchange(t, "GET", "/plain", nil)
	filtertest.MustPass(t, New(), x)
	filtertest.MustPass(t, New(), y)
	if x.ID == y.ID {
		t.Errorf("both requests have the ID %q", x.ID)
	}
}
