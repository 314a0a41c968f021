package replica

import (
	"bufio"
	"context"
	"io"
	"net"
	"time"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// dialTimeout bounds the setup of a connection to another VM.
const dialTimeout = 500 * time.Millisecond

// Link is a VM's connection to the coordinator or a distributor.
type Link struct {
	*sendQueue
}

// SendReport sends a report. It returns false if the connection has ended.
func (l *Link) SendReport(r Report) bool {
	return l.send(wire.TypeRelayReport, r)
}

// SendPlaceRequest sends a request for a target. It returns false if the connection has ended.
func (l *Link) SendPlaceRequest(a PlaceRequest) bool {
	return l.send(wire.TypePlaceRequest, a)
}

// SendPlaceRelease reports how a request ended. A failure is ignored, since without a connection the coordinator no longer
// keeps track of the request.
func (l *Link) SendPlaceRelease(d PlaceRelease) {
	l.send(wire.TypePlaceRelease, d)
}

// Dialer opens a connection to the VM at an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	dialer := net.Dialer{Timeout: dialTimeout}
	return dialer.DialContext(ctx, "tcp", address)
}

// Receiver handles the messages of the coordinator or a distributor. Connected is called first, once the connection is set up.
type Receiver struct {
	Traffic Traffic
	// Dial opens the connection, or is nil for TCP.
	Dial          Dialer
	Connected     func(*Link)
	Update        func(*Link, Update)
	PlaceResponse func(PlaceResponse)
}

// Announce sends a report that names the new coordinator to the VM at an address. It returns once that VM has closed the
// connection, which it does after receiving the report.
func Announce(ctx context.Context, address string, report Report) error {
	conn, err := dialTCP(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	if err := conn.SetDeadline(time.Now().Add(readTimeout)); err != nil {
		return err
	}
	if err := wire.WriteMessage(conn, wire.TypeRelayReport, report); err != nil {
		return err
	}
	// The receiver closes the connection after handling the report.
	if _, err := io.Copy(io.Discard, conn); err != nil {
		return err
	}
	return nil
}

// Follow connects to the coordinator or a distributor and passes its messages to the receiver until the connection ends.
func Follow(ctx context.Context, address string, first Report, receiver Receiver) (*Link, error) {
	dial := receiver.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	link := &Link{sendQueue: newSendQueue(conn, interregion.NewPeer(receiver.Traffic.Counter))}
	defer link.Close()
	stopClose := context.AfterFunc(ctx, link.Close)
	defer stopClose()
	first.Format = formatShort
	link.SendReport(first)
	receiver.Connected(link)
	reader := bufio.NewReader(conn)
	for {
		frame, err := readFrame(conn, reader)
		if err != nil {
			return link, err
		}
		if err := link.handle(frame, receiver); err != nil {
			return link, err
		}
	}
}

// handle passes a message to the receiver. An error ends the connection.
func (l *Link) handle(frame wire.Frame, receiver Receiver) (err error) {
	defer recoverToError(&err)
	switch frame.Type {
	case wire.TypeRelayUpdate:
		var u Update
		if err := frame.Decode(&u); err != nil {
			return err
		}
		l.handleUpdate(frame, u, receiver)
	case wire.TypePlaceResponse:
		var v PlaceResponse
		if err := frame.Decode(&v); err != nil {
			return err
		}
		l.received(frame, v)
		receiver.PlaceResponse(v)
	case wire.TypeShortUpdate:
		var u Update
		if err := decodeShort(frame, &shortUpdate{Update: &u, state: &l.receivedUpdate, decoder: &l.receivedNames}); err != nil {
			return err
		}
		l.handleUpdate(frame, u, receiver)
	case wire.TypeShortPlaceResponse:
		var v PlaceResponse
		if err := decodeShort(frame, &shortPlaceResponse{PlaceResponse: &v, seq: &l.receivedSeq, decoder: &l.receivedNames}); err != nil {
			return err
		}
		l.received(frame, v)
		receiver.PlaceResponse(v)
	default:
		// Ignore unknown messages, which a newer version may send.
	}
	return nil
}

// handleUpdate passes an update to the receiver. The first one on the connection tells the region of the other VM and which messages it
// understands.
func (l *Link) handleUpdate(frame wire.Frame, u Update, receiver Receiver) {
	l.traffic.SetRegions(receiver.Traffic.Region, u.Region)
	l.allowShort(u.Format, receiver.Traffic.Region, u.Region)
	l.received(frame, u)
	receiver.Update(l, u)
}
