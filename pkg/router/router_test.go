package router

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/problem"
)

// Guards against a route, a body or an outcome that gets lost between caller and target, with local and remote gateways.
func TestServes(t *testing.T) {
	w := newWorld(t, 2, echo)
	large := strings.Repeat("0123456789abcdef", 20_000)
	for _, n := range w.routers {
		for path, body := range map[string]string{"/archivio/x": large, "/stato/key-1": "small", "/archivio/empty": ""} {
			response := send(t, "POST", n.url(path), body, "X-Request-Id", "id-1")
			got, err := io.ReadAll(response.Body)
			if err != nil || string(got) != body || response.StatusCode != http.StatusOK {
				t.Errorf("%s: %d, %d bytes, %v", path, response.StatusCode, len(got), err)
			}
			if response.Header.Get(problem.HeaderOutcome) != string(problem.Ran) || response.Header.Get("X-Request-Id") != "id-1" {
				t.Errorf("%s: headers %v", path, response.Header)
			}
		}
	}
}
