package replica

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// TestInvalidMessagesCloseOnlyTheirConnection checks that a single message can't terminate the process: whatever arrives, only
// its own connection is closed, and the others continue to work.
func TestInvalidMessagesCloseOnlyTheirConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	failed, asked := make(chan error, 16), make(chan PlaceRequest, 16)
	go func() {
		_ = Serve(l, Events{
			Joined: func(*Follower) {}, Left: func(*Follower) {}, Report: func(*Follower, Report) { panic("test panic") },
			PlaceRequest: func(_ *Follower, a PlaceRequest) { asked <- a }, PlaceRelease: func(*Follower, PlaceRelease) {},
			Failed: func(_ string, err error) { failed <- err },
		})
	}()
	open := func() net.Conn {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
	openJoined := func() net.Conn {
		c := open()
		if err := wire.WriteMessage(c, wire.TypeRelayReport, Report{VM: "a"}); err != nil {
			t.Fatal(err)
		}
		return c
	}
	healthy := openJoined()
	for _, first := range [][]byte{
		{0xff, 0xff, 0xff, 0xff, 1, 1}, {0, 0, 0, 3, 1, byte(wire.TypePlaceRequest), 0xc1}, {0, 0, 0, 0}, []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		// The receiver may close the connection while the bytes are being written.
		_, _ = open().Write(first)
	}
	if _, err := openJoined().Write([]byte{0, 0, 0, 3, byte(wire.Version), byte(wire.TypePlaceRequest), 0xc1}); err != nil {
		t.Fatal(err)
	}
	expectFailure(t, failed, false)
	if err := wire.WriteMessage(openJoined(), wire.TypeRelayReport, Report{}); err != nil {
		t.Fatal(err)
	}
	expectFailure(t, failed, true)
	if err := wire.WriteMessage(healthy, wire.TypePlaceRequest, PlaceRequest{Seq: 7}); err != nil {
		t.Fatal(err)
	}
	select {
	case a := <-asked:
		if a.Seq != 7 {
			t.Errorf("got %+v, want Seq 7", a)
		}
	case <-time.After(2 * time.Second):
		t.Error("healthy connection was closed")
	}
}

func expectFailure(t *testing.T, failed chan error, panicked bool) {
	t.Helper()
	select {
	case err := <-failed:
		var p *PanicError
		if errors.As(err, &p) != panicked {
			t.Errorf("got error %v", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("failure was not reported")
	}
}

// TestPanicInUpdateHandlerReturnsError checks that a message of the coordinator can't terminate the process of a VM.
func TestPanicInUpdateHandlerReturnsError(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	link := &Link{sendQueue: newSendQueue(near, nil)}
	defer link.Close()
	frame, err := wire.AppendMessage(nil, wire.Version, wire.TypeRelayUpdate, Update{})
	if err != nil {
		t.Fatal(err)
	}
	go func() { _, _ = far.Write(frame) }()
	got, err := wire.ReadFrame(near)
	if err != nil {
		t.Fatal(err)
	}
	var p *PanicError
	if err := link.handle(got, Receiver{Update: func(*Link, Update) { panic("test panic") }}); !errors.As(err, &p) {
		t.Errorf("got error %v, want a PanicError", err)
	}
}
