package gateway

import (
	"net/http"
	"testing"
	"time"
)

// Guards against new work at a leaving target by a gateway that has just taken up the group and hasn't polled it yet.
func TestNewGatewayPollsBeforeTheFirstRequest(t *testing.T) {
	o := defaultPool(1)
	o.settings[0].Draining = true
	f := newFixture(t, o)
	f.apply()
	_, _, _ = f.do(within(t, 300*time.Millisecond), newRequest(http.MethodGet, "/status/k"), "")
	if n := len(f.backends[0].executions()); n != 0 {
		t.Errorf("the draining target executed %d requests", n)
	}
}
