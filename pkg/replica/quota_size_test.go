package replica

import (
	"errors"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/sharedrate"
)

// Guards the claims of docs/CAPACITY.md about what the quotas add to each message, and deployments without quotas, to whose messages they
// must add nothing.
func TestQuotaMessageSizes(t *testing.T) {
	size := func(v any) int {
		b, err := msgpack.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		return len(b)
	}
	const nanoseconds = 1_765_000_000_000_000_000
	offer := sharedrate.Offer{Coordinator: 1 << 40, Stamp: nanoseconds, Process: nanoseconds, Echo: nanoseconds, Serial: 1000, Fraction: 1. / 86}
	answer := sharedrate.Answer{Process: nanoseconds, Stamp: nanoseconds, Coordinator: 1 << 40, Echo: nanoseconds, Fraction: 1. / 86, GrantedBy: 1 << 40, Serial: 1000, LeftMs: 30000}
	offered := size(Update{Quota: &offer}) - size(Update{})
	answered := size(Report{Quota: &answer}) - size(Report{})
	t.Logf("an offer adds %d bytes to an update, an answer %d to a report", offered, answered)
	if offered > 75 || answered > 100 {
		t.Errorf("an offer adds %d bytes, an answer %d, want 75 and 100 at most", offered, answered)
	}
	for _, v := range []any{Update{}, Report{}} {
		b, err := msgpack.Marshal(v)
		var fields map[string]any
		if err = errors.Join(err, msgpack.Unmarshal(b, &fields)); err != nil {
			t.Fatal(err)
		}
		if _, sent := fields["b"]; sent {
			t.Errorf("%T has a field for quotas without any", v)
		}
	}
}
