// Package wire defines the frames and messages between bronzelever's own processes.
//
// A frame is a 4-byte big-endian length of what follows, a version byte, a type byte and a msgpack payload. Payloads are
// maps by field name; unknown fields are ignored, so that processes of adjacent versions work together.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

const (
	// Version is the protocol version of this build.
	Version = 1
	// MinVersion is the oldest version that this build understands.
	MinVersion = 1
	// MaxFrameBytes bounds the length of a frame behind its length field.
	MaxFrameBytes = 1 << 20
	// BodyChunkBytes is the payload size of a body chunk.
	BodyChunkBytes = 32 << 10

	headerBytes = 6
)

var (
	// ErrFrameTooLarge means that a frame's length exceeds MaxFrameBytes.
	ErrFrameTooLarge = errors.New("frame exceeds the length bound")
	// ErrFrameTooShort means that a frame's length leaves no room for version and type.
	ErrFrameTooShort = errors.New("frame is shorter than its header")
)

// Type tells how to decode a frame's payload.
type Type uint8

// Frame is one unit of the protocol.
type Frame struct {
	Version uint8
	Type    Type
	Payload []byte
}

// WriteFrame writes a frame with the given payload bytes in one call of Write.
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

// ReadFrame reads a frame.
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

// WriteMessage encodes a message and writes it as a frame.
func WriteMessage(w io.Writer, t Type, message any) error {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		return err
	}
	return WriteFrame(w, Version, t, payload)
}

// Decode decodes a frame's payload.
func (f Frame) Decode(message any) error {
	if err := checkLengths(f.Payload); err != nil {
		return err
	}
	return msgpack.Unmarshal(f.Payload, message)
}
