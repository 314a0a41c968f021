package entry

import (
	"encoding/json"
	"net/http/httptest"
	"testing"

	"github.com/bronzelever/bronzelever/pkg/event"
	"github.com/bronzelever/bronzelever/pkg/metric"
)

// Guards against a setting that doesn't reach the broker, and against admission by value that is on although it isn't set.
func TestAdmitByValueReachesTheBroker(t *testing.T) {
	for _, on := range []bool{false, true} {
		registry := metric.NewRegistry("test")
		p := newProcess(Options{Settings: Settings{VM: "vm", AdmitByValue: on}, Log: event.Discard()}, registry)
		response := httptest.NewRecorder()
		p.serveDump(response, nil)
		var shown dump
		if err := json.Unmarshal(response.Body.Bytes(), &shown); err != nil || shown.AdmitsByValue != on {
			t.Errorf("set %v: the dump shows %v (%v)", on, shown.AdmitsByValue, err)
		}
		if err := registry.Close(); err != nil {
			t.Error(err)
		}
	}
}
