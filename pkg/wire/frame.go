// Package wire defines the frames and messages between bronzelever's own processes.
//
// A frame consists of a 4-byte big-endian length of the rest of the frame, a version byte, a type byte and a msgpack payload. A payload is a
// map keyed by field name. Unknown fields are ignored, so that processes of adjacent releases can communicate.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Version is the protocol version that this build writes.
	Version = 1
	// MinVersion is the oldest protocol version that this build supports.
	MinVersion = 1
	// MaxFrameBytes bounds the length of a frame without its length field.
	MaxFrameBytes = 1 << 20
	// BodyChunkBytes is the maximum size of the data that a sender puts into a body frame.
	BodyChunkBytes = 32 << 10

	headerBytes = 6
)

var (
	// ErrFrameTooLarge means that a frame's length exceeds MaxFrameBytes.
	ErrFrameTooLarge = errors.New("frame exceeds the maximum length")
	// ErrFrameTooShort means that a frame's length doesn't cover the version and the type.
	ErrFrameTooShort = errors.New("frame is shorter than its header")
)

// Type identifies the message in a frame's payload.
type Type uint8

// Frame is the unit of transmission: a message with its version and type.
type Frame struct {
	Version uint8
	Type    Type
	Payload []byte
}

// Size returns the number of bytes that the frame takes on the connection.
func (f Frame) Size() int {
	return headerBytes + len(f.Payload)
}

// WriteFrame writes a frame with the given payload in a single call of Write.
func WriteFrame(w io.Writer, version uint8, t Type, payload []byte) error {
	n := len(payload) + 2
	if n > MaxFrameBytes {
		return fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, n)
	}
	buf := make([]byte, headerBytes, headerBytes+len(payload))
	binary.BigEndian.PutUint32(buf, uint32(n))
	buf[4] = version
	buf[5] = uint8(t)
	buf = append(buf, payload...)
	_, err := w.Write(buf)
	return err
}

// ReadFrame reads a frame. It returns io.EOF only if the stream ends before the first byte of the frame.
func ReadFrame(r io.Reader) (Frame, error) {
	return ReadFrameInto(r, func(n int) []byte {
		return make([]byte, n)
	})
}

func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// WriteMessage encodes a message and writes it as a frame of the current version.
func WriteMessage(w io.Writer, t Type, message any) error {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	return WriteFrame(w, Version, t, payload)
}

// Decode decodes a frame's payload into message, after checking that its announced lengths and counts fit in the payload.
func (f Frame) Decode(message any) error {
	if err := checkLengths(f.Payload); err != nil {
		return err
	}
	return msgpack.Unmarshal(f.Payload, message)
}
