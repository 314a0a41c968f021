package replica

import (
	"errors"
	"net"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// Guards against one message that takes the whole process down: whatever arrives, only its connection ends, and others go on.
func TestBadMessagesEndOnlyTheirConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	failed, asked := make(chan error, 16), make(chan Ask, 16)
	go func() {
		_ = Serve(l, Events{
			Joined: func(*Follower) {}, Left: func(*Follower) {}, Report: func(*Follower, Report) { panic("planted") },
			Ask: func(_ *Follower, a Ask) { asked <- a }, Done: func(*Follower, Done) {},
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
	joined := func() net.Conn {
		c := open()
		if err := wire.WriteMessage(c, wire.TypeRelayReport, Report{VM: "a"}); err != nil {
			t.Fatal(err)
		}
		return c
	}
	healthy := joined()
	for _, first := range [][]byte{
		{0xff, 0xff, 0xff, 0xff, 1, 1}, {0, 0, 0, 3, 1, byte(wire.TypeAsk), 0xc1}, {0, 0, 0, 0}, []byte("GET / HTTP/1.1\r\n\r\n"),
	} {
		// The receiver may close while the bytes are written.
		_, _ = open().Write(first)
	}
	if _, err := joined().Write([]byte{0, 0, 0, 3, byte(wire.Version), byte(wire.TypeAsk), 0xc1}); err != nil {
		t.Fatal(err)
	}
	expectFailure(t, failed, false)
	if err := wire.WriteMessage(joined(), wire.TypeRelayReport, Report{}); err != nil {
		t.Fatal(err)
	}
	expectFailure(t, failed, true)
	if err := wire.WriteMessage(healthy, wire.TypeAsk, Ask{Seq: 7}); err != nil {
		t.Fatal(err)
	}
	select {
	case a := <-asked:
		if a.Seq != 7 {
			t.Errorf("ask %+v", a)
		}
	case <-time.After(2 * time.Second):
		t.Error("another connection has ended, too")
	}
}

func expectFailure(t *testing.T, failed chan error, panicked bool) {
	t.Helper()
	select {
	case err := <-failed:
		var p *PanicError
		if errors.As(err, &p) != panicked {
			t.Errorf("reported as %v", err)
		}
	case <-time.After(2 * time.Second):
		t.Error("the failure isn't reported")
	}
}

// Guards against messages of the coordinator that take a VM down.
func TestPanicOverAnUpdateEndsTheLink(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = near.Close() }()
	defer func() { _ = far.Close() }()
	link := &Link{outbox: newOutbox(near)}
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
	if err := link.receive(got, Receiver{Update: func(*Link, Update) { panic("planted") }}); !errors.As(err, &p) {
		t.Errorf("error %v", err)
	}
}
