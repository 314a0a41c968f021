package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// dialTimeout bounds the connection setup to the coordinator.
const dialTimeout = 500 * time.Millisecond

// Link is a connection to the coordinator.
type Link struct {
	*outbox
}

// Report sends a report. It returns false if the connection has ended.
func (l *Link) Report(r Report) bool {
	return l.send(wire.TypeRelayReport, r)
}

// Ask sends an ask. It returns false if the connection has ended.
func (l *Link) Ask(a Ask) bool {
	return l.send(wire.TypeAsk, a)
}

// Tell sends how a request ended. Without a connection nobody needs to know.
func (l *Link) Tell(d Done) {
	l.send(wire.TypeDone, d)
}

// Receiver gets what the coordinator sends.
type Receiver struct {
	Linked  func(*Link)
	Update  func(*Link, Update)
	Verdict func(Verdict)
}

// Announce tells the VM at an address who leads. It returns once the VM has got the message.
func Announce(ctx context.Context, address string, first Report) error {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	if err := c.SetDeadline(time.Now().Add(silence)); err != nil {
		return err
	}
	if err := wire.WriteMessage(c, wire.TypeRelayReport, first); err != nil {
		return err
	}
	// The receiver closes the connection.
	if _, err := io.Copy(io.Discard, c); err != nil {
		return err
	}
	return nil
}

// Follow connects to the coordinator and passes on what it sends until the connection ends.
func Follow(ctx context.Context, address string, first Report, r Receiver) (*Link, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	c, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	link := &Link{outbox: newOutbox(c)}
	defer link.Close()
	stop := context.AfterFunc(ctx, link.Close)
	defer stop()
	link.Report(first)
	r.Linked(link)
	reader := bufio.NewReader(c)
	for {
		frame, err := readFrame(c, reader)
		if err != nil {
			return link, err
		}
		if err := link.receive(frame, r); err != nil {
			return link, err
		}
	}
}

// receive passes a message on. An error ends the connection.
func (l *Link) receive(frame wire.Frame, r Receiver) (err error) {
	defer recovered(&err)
	switch frame.Type {
	case wire.TypeRelayUpdate:
		var u Update
		if err := frame.Decode(&u); err != nil {
			return err
		}
		r.Update(l, u)
	case wire.TypeVerdict:
		var v Verdict
		if err := frame.Decode(&v); err != nil {
			return err
		}
		r.Verdict(v)
	default:
		// A newer version may send messages that this one doesn't know.
	}
	return nil
}
