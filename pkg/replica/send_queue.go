package replica

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bronzelever/bronzelever/pkg/interregion"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

const (
	// sendQueueSize bounds the messages that wait to be sent to a peer. A peer that falls further behind is disconnected.
	sendQueueSize = 512
	// readTimeout is the time without a message after which a connection is closed. Reports and updates are sent several times
	// a second.
	readTimeout = 1500 * time.Millisecond
	// writeTimeout bounds the writing of one batch of messages.
	writeTimeout = time.Second
)

// sendQueue sends messages over a connection without blocking the caller.
type sendQueue struct {
	conn   net.Conn
	frames chan queuedFrame
	done   chan struct{}
	once   sync.Once
	// traffic counts the bytes in both directions. It may be nil.
	traffic *interregion.Peer
	// short is set once short messages may be sent.
	short atomic.Bool
	// encoding is held while a short message is encoded and queued, since it depends on the short messages that are sent before it. Other
	// messages don't need it, so that a large update doesn't delay place responses.
	encoding   sync.Mutex
	sentNames  nameEncoder
	sentSeq    lastSeq
	sentUpdate updateState
	sentReport reportState
	// receivedNames and the following fields are the same for the short messages from the peer. They are owned by the goroutine
	// that reads them.
	receivedNames  nameDecoder
	receivedSeq    lastSeq
	receivedUpdate updateState
	receivedReport reportState
}

// queuedFrame is an encoded message.
type queuedFrame struct {
	bytes []byte
	kind  interregion.Kind
}

func newSendQueue(c net.Conn, traffic *interregion.Peer) *sendQueue {
	q := &sendQueue{conn: c, frames: make(chan queuedFrame, sendQueueSize), done: make(chan struct{}), traffic: traffic}
	go q.run()
	return q
}

// send queues a message. It returns false if the connection has ended. If the message can't be encoded or the queue is full, the connection
// is closed, since the peer would misread later short messages without this one.
func (q *sendQueue) send(messageType wire.Type, message any) (queued bool) {
	messageType, form, short := q.form(messageType, message)
	if short {
		q.encoding.Lock()
		defer q.encoding.Unlock()
	}
	// The connection is closed before the lock is released, so that no message that depends on a lost one is sent.
	defer func() {
		if !queued {
			q.Close()
		}
	}()
	frame, err := wire.AppendMessage(nil, wire.Version, messageType, form)
	if err != nil {
		return false
	}
	select {
	case <-q.done:
		return false
	case q.frames <- queuedFrame{frame, kindOf(message)}:
		return true
	default:
		return false
	}
}

// run writes the queued messages, and combines those that are waiting into one write.
func (q *sendQueue) run() {
	for {
		select {
		case <-q.done:
			return
		case first := <-q.frames:
			frame := first.bytes
			q.traffic.AddSent(first.kind, len(first.bytes))
			for pending := true; pending; {
				select {
				case next := <-q.frames:
					frame = append(frame, next.bytes...)
					q.traffic.AddSent(next.kind, len(next.bytes))
				default:
					pending = false
				}
			}
			if q.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) != nil {
				q.Close()
				return
			}
			if _, err := q.conn.Write(frame); err != nil {
				q.Close()
				return
			}
		}
	}
}

// Done returns a channel that is closed once the connection has ended.
func (q *sendQueue) Done() <-chan struct{} {
	return q.done
}

// Close closes the connection. Messages still in the queue are lost.
func (q *sendQueue) Close() {
	q.once.Do(func() {
		close(q.done)
		_ = q.conn.Close()
	})
}
