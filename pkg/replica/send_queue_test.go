package replica

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// messageFunc is a message whose encoding calls a function.
type messageFunc func()

// EncodeMsgpack implements msgpack.CustomEncoder.
func (f messageFunc) EncodeMsgpack(e *msgpack.Encoder) error {
	f()
	return e.EncodeNil()
}

// newShortQueue returns a queue that sends short messages to a peer which discards them.
func newShortQueue(t *testing.T) *sendQueue {
	t.Helper()
	near, far := net.Pipe()
	q := newSendQueue(near, nil)
	q.allowShort(formatShort, "a", "b")
	t.Cleanup(func() {
		q.Close()
		_ = far.Close()
	})
	go func() {
		for buffer := make([]byte, 1024); ; {
			if _, err := far.Read(buffer); err != nil {
				return
			}
		}
	}()
	return q
}

// Guards against a place response that waits while a large update is encoded. The broker sends it with its lock held, so that all other
// requests would wait, too.
func TestLargeMessagesDontDelayPlaceResponses(t *testing.T) {
	q := newShortQueue(t)
	begun, proceed, sent := make(chan struct{}), make(chan struct{}), make(chan bool, 1)
	defer close(proceed)
	go q.send(wire.TypeRelayUpdate, messageFunc(func() {
		close(begun)
		<-proceed
	}))
	<-begun
	go func() { sent <- q.send(wire.TypePlaceResponse, PlaceResponse{Seq: 1, Target: "t"}) }()
	select {
	case ok := <-sent:
		if !ok {
			t.Error("the place response wasn't queued")
		}
	case <-time.After(2 * time.Second):
		t.Error("the place response waits for the encoding of another message")
	}
}

// Guards against a connection that is used after a panic while a message was encoded: names may have been numbered that were never sent,
// and the peer would take the next numbers for other names.
func TestPanicWhileEncodingEndsTheConnection(t *testing.T) {
	q := newShortQueue(t)
	func() {
		defer func() { _ = recover() }()
		q.send(wire.TypeRelayUpdate, messageFunc(func() { panic("test panic") }))
	}()
	select {
	case <-q.Done():
	default:
		t.Error("the connection is still open")
	}
}

// Guards against names and sequence numbers that the two ends of a connection understand differently if several goroutines send at once,
// cancellations are sent between the requests, and there are more names than are numbered. A request would be placed for another pool or
// sent to another target.
func TestConcurrentSendersStayInStep(t *testing.T) {
	// Few requests of each sender are unanswered at a time, so that no queue overflows.
	const senders, requests = 8, 400
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	pool := func(seq uint64) string { return fmt.Sprintf("pool-%d", seq%(maxNames*3/2)) }
	target := func(seq uint64) string { return fmt.Sprintf("target-%d", seq%(maxNames*3/2)) }
	go func() {
		_ = Serve(l, Events{
			Traffic: Traffic{Region: "b"},
			Joined:  func(f *Follower) { f.SendUpdate(Update{}) },
			Report:  func(*Follower, Report) {},
			PlaceRequest: func(f *Follower, a PlaceRequest) {
				if a.Pool != pool(a.Seq) || len(a.Avoid) != 1 || a.Avoid[0] != target(a.Seq) {
					t.Errorf("request %d is for pool %s and avoids %v", a.Seq, a.Pool, a.Avoid)
				}
				go f.SendPlaceResponse(PlaceResponse{Seq: a.Seq, Target: target(a.Seq)})
			},
			PlaceRelease: func(_ *Follower, d PlaceRelease) {
				if d.Cancelled != (d.Seq%2 == 0) || d.Seq >= senders*requests {
					t.Errorf("release %+v", d)
				}
			},
			Left:   func(*Follower) {},
			Failed: func(_ string, err error) { t.Error(err) },
		})
	}()
	responses := make([]chan string, senders*requests)
	for i := range responses {
		responses[i] = make(chan string, 1)
	}
	linked := make(chan *Link, 1)
	go func() {
		_, _ = Follow(t.Context(), l.Addr().String(), Report{VM: "v", Region: "a"}, Receiver{
			Traffic: Traffic{Region: "a"}, Connected: func(*Link) {},
			Update: func(link *Link, _ Update) { linked <- link },
			PlaceResponse: func(v PlaceResponse) {
				if v.Seq < senders*requests {
					responses[v.Seq] <- v.Target
				}
			},
		})
	}()
	link := <-linked
	defer link.Close()
	timeout := time.After(20 * time.Second)
	var group sync.WaitGroup
	for sender := range uint64(senders) {
		group.Go(func() {
			for i := range uint64(requests) {
				seq := i*senders + sender
				link.SendPlaceRequest(PlaceRequest{Seq: seq, Pool: pool(seq), Avoid: []string{target(seq)}})
				link.SendPlaceRelease(PlaceRelease{Seq: seq, Cancelled: seq%2 == 0})
				select {
				case got := <-responses[seq]:
					if got != target(seq) {
						t.Errorf("request %d was sent to %s", seq, got)
					}
				case <-link.Done():
					t.Error("the connection has ended")
					return
				case <-timeout:
					t.Errorf("request %d got no response", seq)
					link.Close()
					return
				}
			}
		})
	}
	group.Wait()
}
