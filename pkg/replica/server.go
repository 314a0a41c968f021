package replica

import (
	"bufio"
	"cmp"
	"net"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/clock"
	"github.com/bronzelever/bronzelever/pkg/coordinator"
	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// lastConnection is the number of the last connection accepted by this process.
var lastConnection atomic.Int64

// Follower is a VM that is connected to this one.
type Follower struct {
	VM, Domain, Region string
	// BaseElectionDelay is the estimated delay that the VM's processor and link add if it is the coordinator.
	BaseElectionDelay time.Duration
	// ID distinguishes the connections of a VM.
	ID string
	*sendQueue
	// PlaceDelay is the last reported delay of place responses. It is owned by the receiver of the events.
	PlaceDelay time.Duration
	// Address is where other VMs reach the VM.
	Address string
	// TablesOnly is set if the VM uses this one as its distributor.
	TablesOnly bool
	// NeedsTables is set if the next update to the VM must contain the whole tables. It is owned by the receiver of the events.
	NeedsTables bool
	// Distributor is the address of the VM from which the VM gets the tables, or empty for the coordinator. Until directUntil
	// it gets them from the coordinator. Both fields are owned by Distribution.
	Distributor string
	directUntil clock.Instant
	// SuspectsSent is set if all records of suspects were sent to the VM, and QuarantineStated if those in the store were among them. Both
	// are owned by the receiver of the events.
	SuspectsSent, QuarantineStated bool
	// DistributorChanged is set if the VM hasn't been told its current distributor.
	DistributorChanged bool
	// ownRegion is this VM's region, which the first update to the VM states.
	ownRegion string
}

// SendUpdate sends an update to the VM. It must not be called concurrently.
func (f *Follower) SendUpdate(u Update) {
	if f.ownRegion != "" {
		u.Region, u.Format, f.ownRegion = f.ownRegion, formatShort, ""
	}
	f.send(wire.TypeRelayUpdate, u)
}

// SendPlaceResponse sends a place response to the VM.
func (f *Follower) SendPlaceResponse(v PlaceResponse) {
	f.send(wire.TypePlaceResponse, v)
}

// Events are the callbacks of a server. They are called from the goroutines of the connections.
type Events struct {
	// Traffic is where the bytes of the connections are counted.
	Traffic Traffic
	// Joined is called after the first report of a VM.
	Joined func(*Follower)
	// Leader is called when a new coordinator announces itself.
	Leader       func(coordinator.Notice)
	Report       func(*Follower, Report)
	PlaceRequest func(*Follower, PlaceRequest)
	PlaceRelease func(*Follower, PlaceRelease)
	Left         func(*Follower)
	// Failed is called when an error in the handling of a message has ended a connection.
	Failed func(vm string, err error)
}

// Serve accepts connections from VMs until the listener is closed.
func Serve(listener net.Listener, events Events) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go serveFollower(conn, events)
	}
}

func serveFollower(conn net.Conn, events Events) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	first, frame, err := readFirstReport(conn, reader)
	if err != nil {
		return
	}
	if first.Leader != nil {
		events.Leader(*first.Leader)
		return
	}
	f := &Follower{ID: first.VM + "#" + strconv.FormatInt(lastConnection.Add(1), 10), VM: first.VM, Domain: first.Domain, Region: first.Region, Address: first.Address, TablesOnly: first.TablesOnly, BaseElectionDelay: time.Duration(first.BaseElectionDelayMs) * time.Millisecond, sendQueue: newSendQueue(conn, interregion.NewPeer(events.Traffic.Counter)), NeedsTables: true, ownRegion: events.Traffic.Region}
	f.traffic.SetRegions(events.Traffic.Region, f.Region)
	f.allowShort(first.Format, events.Traffic.Region, f.Region)
	f.received(frame, first)
	events.Joined(f)
	defer func() {
		f.Close()
		events.Left(f)
	}()
	for {
		frame, err := readFrame(conn, reader)
		if err != nil {
			return
		}
		if err := f.handle(frame, events); err != nil {
			events.Failed(f.VM, err)
			return
		}
	}
}

// readFirstReport reads the report that opens a connection.
func readFirstReport(conn net.Conn, reader *bufio.Reader) (first Report, frame wire.Frame, err error) {
	defer recoverToError(&err)
	frame, err = readFrame(conn, reader)
	switch {
	case err != nil:
		return first, frame, err
	case frame.Type != wire.TypeRelayReport:
		return first, frame, errNotReport
	default:
		err = frame.Decode(&first)
		return first, frame, err
	}
}

// handle passes a message to the callbacks. An error ends the connection.
func (f *Follower) handle(frame wire.Frame, events Events) (err error) {
	defer recoverToError(&err)
	switch frame.Type {
	case wire.TypeRelayReport:
		var r Report
		if err := frame.Decode(&r); err != nil {
			return err
		}
		f.received(frame, r)
		events.Report(f, r)
	case wire.TypePlaceRequest:
		var a PlaceRequest
		if err := frame.Decode(&a); err != nil {
			return err
		}
		f.received(frame, a)
		events.PlaceRequest(f, a)
	case wire.TypePlaceRelease:
		var d PlaceRelease
		if err := frame.Decode(&d); err != nil {
			return err
		}
		f.received(frame, d)
		events.PlaceRelease(f, d)
	case wire.TypeShortReport:
		var r Report
		if err := decodeShort(frame, &shortReport{Report: &r, state: &f.receivedReport}); err != nil {
			return err
		}
		f.received(frame, r)
		events.Report(f, r)
	case wire.TypeShortPlaceRequest:
		var a PlaceRequest
		if err := decodeShort(frame, &shortPlaceRequest{PlaceRequest: &a, seq: &f.receivedSeq, decoder: &f.receivedNames}); err != nil {
			return err
		}
		f.received(frame, a)
		events.PlaceRequest(f, a)
	case wire.TypeShortPlaceRelease:
		var d PlaceRelease
		if err := decodeShort(frame, &shortPlaceRelease{&d, &f.receivedSeq}); err != nil {
			return err
		}
		f.received(frame, d)
		events.PlaceRelease(f, d)
	default:
		// Ignore unknown messages, which a newer version may send.
	}
	return nil
}

func readFrame(conn net.Conn, reader *bufio.Reader) (wire.Frame, error) {
	if err := conn.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
		return wire.Frame{}, err
	}
	return wire.ReadFrame(reader)
}

// SortFollowers sorts VMs by name, so that they are numbered in the same order each time.
func SortFollowers(followers []*Follower) {
	slices.SortFunc(followers, func(a, b *Follower) int { return cmp.Compare(a.VM, b.VM) })
}
