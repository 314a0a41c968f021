package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/config"
)

// Guards against a grant whose lifetime begins only when a frozen target reads it: the gateway has counted it as lapsed by
// then, and another target may own the keys.
func TestGrantsCountFromTheTargetsClock(t *testing.T) {
	var mu sync.Mutex
	var bodies []grantBody
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /bronzelever/grants", func(w http.ResponseWriter, r *http.Request) {
		var body grantBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Error(err)
		}
		mu.Lock()
		defer mu.Unlock()
		bodies = append(bodies, body)
		_ = json.NewEncoder(w).Encode(grantAnswer{GroupEpoch: body.GroupEpoch, Now: decimal(uint64(1000 + len(bodies)))})
	})
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"status": "ok"}`))
	})
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	o := defaultPool(0)
	o.pool.GrantsChecked = true
	f := newFixture(t, o)
	f.pool.Targets = []config.Target{{ID: "t", Address: strings.TrimPrefix(server.URL, "http://"), Domain: testDomain}}
	f.table.Groups[0].Targets = []string{"t"}
	f.apply()
	eventually(t, "three grants have been sent", func() bool {
		mu.Lock()
		defer mu.Unlock()
		return len(bodies) >= 3
	})
	mu.Lock()
	defer mu.Unlock()
	if bodies[0].AsOf != "" || len(bodies[0].Slices) != 0 {
		t.Errorf("the first grant gives something without the target's clock: %+v", bodies[0])
	}
	for i, body := range bodies[1:] {
		if want := decimal(uint64(1001 + i)); body.AsOf != want || len(body.Slices) == 0 {
			t.Errorf("grant %d: %+v, want as_of %s and slices", i+1, body, want)
		}
	}
	g := f.group()
	g.mu.Lock()
	defer g.mu.Unlock()
	// A grant can't outlive the reading of the target's clock that it counts from.
	if grant := &g.targets[0].grant; grant.validUntil > grant.clockAsked.Add(time.Duration(grantTTL)) {
		t.Errorf("valid until %v, counted from a clock read after %v", grant.validUntil, grant.clockAsked)
	}
}
