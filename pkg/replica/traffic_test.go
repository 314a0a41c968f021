package replica

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/rowstore"
)

// exchangeBetween connects a VM to a coordinator, exchanges one message of each type, and returns what both have counted. An empty region
// of the coordinator is that of an earlier version, which doesn't state it.
func exchangeBetween(t *testing.T, vmRegion, coordinatorRegion string) (vm, coordinator *interregion.Counter) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	vm, coordinator = &interregion.Counter{}, &interregion.Counter{}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	left := make(chan struct{})
	go func() {
		_ = Serve(l, Events{
			Traffic: Traffic{Counter: coordinator, Region: coordinatorRegion},
			Joined: func(f *Follower) {
				f.SendUpdate(Update{Deltas: []Delta{{Table: "op", Rows: []rowstore.Row{{Key: "a", Value: make([]byte, 100)}}}}})
				f.SendUpdate(Update{})
			},
			Report:       func(*Follower, Report) {},
			PlaceRequest: func(f *Follower, a PlaceRequest) { f.SendPlaceResponse(PlaceResponse{Seq: a.Seq, Target: "t"}) },
			PlaceRelease: func(*Follower, PlaceRelease) {},
			Left:         func(*Follower) { close(left) },
		})
	}()
	updates := 0
	_, _ = Follow(ctx, l.Addr().String(), Report{VM: "a", Region: vmRegion}, Receiver{
		Traffic:   Traffic{Counter: vm, Region: vmRegion},
		Connected: func(*Link) {},
		Update: func(link *Link, _ Update) {
			if updates++; updates == 2 {
				link.SendPlaceRequest(PlaceRequest{Seq: 1, Pool: "p"})
			}
		},
		PlaceResponse: func(PlaceResponse) { cancel() },
	})
	<-left
	return vm, coordinator
}

// Guards against a counter that misses or doubles bytes: what one end has sent, the other one must have received, by kind, whether or not
// the region was known when it was sent.
func TestBytesBetweenRegionsAreCountedAtBothEnds(t *testing.T) {
	vm, coordinator := exchangeBetween(t, "a", "b")
	for _, k := range []interregion.Kind{interregion.Placement, interregion.Tables, interregion.Reports} {
		v, c := vm.Total(k), coordinator.Total(k)
		if v.Sent != c.Received || v.Received != c.Sent || v.Received == 0 || v.Sent == 0 && k != interregion.Tables {
			t.Errorf("%v: the VM has counted %+v, the coordinator %+v", k, v, c)
		}
	}
	if got := vm.Total(interregion.Tables).Received; got < 100 || got > 200 {
		t.Errorf("%d bytes of tables, want 100 to 200", got)
	}
}

// Guards against counts of traffic within a region, and of traffic whose region an earlier version doesn't state.
func TestOnlyBytesBetweenKnownRegionsAreCounted(t *testing.T) {
	for _, region := range []string{"a", ""} {
		vm, coordinator := exchangeBetween(t, "a", region)
		for _, c := range []*interregion.Counter{vm, coordinator} {
			if fields := c.Fields(); len(fields) > 0 {
				t.Errorf("coordinator in region %q: counted %v", region, fields)
			}
		}
	}
}
