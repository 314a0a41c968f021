package wire

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"
)

// bodyPrefix is the start of an encoded Body: a map with the single field "d", whose value is a byte string with a 4-byte length. The
// length and the data follow.
var bodyPrefix = [4]byte{0x81, 0xa1, 'd', 0xc6}

// BodyHeaderBytes is the number of bytes in a body frame before its data.
const BodyHeaderBytes = headerBytes + len(bodyPrefix) + 4

// PutBodyHeader writes the header of a body frame into the first BodyHeaderBytes bytes of frame. The rest of frame holds the data already,
// so that a chunk is sent without being copied.
func PutBodyHeader(frame []byte, version uint8) {
	data := len(frame) - BodyHeaderBytes
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4))
	frame[4] = version
	frame[5] = uint8(TypeBody)
	copy(frame[headerBytes:], bodyPrefix[:])
	binary.BigEndian.PutUint32(frame[headerBytes+len(bodyPrefix):], uint32(data))
}

// BodyData returns the data of a body frame. The result may alias the payload.
func (f Frame) BodyData() ([]byte, error) {
	p := f.Payload
	const start = len(bodyPrefix) + 4
	if len(p) >= start && [4]byte(p[:4]) == bodyPrefix {
		if int(binary.BigEndian.Uint32(p[4:])) == len(p)-start {
			return p[start:], nil
		}
	}
	// Another release may encode the message differently or add fields.
	var body Body
	if err := f.Decode(&body); err != nil {
		return nil, err
	}
	return body.Data, nil
}

// AppendMessage appends the frame of a message to buf.
func AppendMessage(buf []byte, version uint8, t Type, message any) ([]byte, error) {
	start := len(buf)
	out := bytes.NewBuffer(append(buf, 0, 0, 0, 0, version, uint8(t)))
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(out)
	if err := encoder.Encode(message); err != nil {
		return buf, err
	}
	frame := out.Bytes()
	n := len(frame) - start - 4
	if n > MaxFrameBytes {
		return buf, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, n)
	}
	binary.BigEndian.PutUint32(frame[start:], uint32(n))
	return frame, nil
}

// Encoded End messages, which are encoded only once because each exchange sends two of them.
var (
	endComplete   = mustEncode(End{Complete: true})
	endIncomplete = mustEncode(End{Complete: false})
)

func mustEncode(message any) []byte {
	payload, err := msgpack.Marshal(message)
	if err != nil {
		panic(err)
	}
	return payload
}

// AppendEnd appends the frame of an End message to buf.
func AppendEnd(buf []byte, version uint8, complete bool) []byte {
	payload := endIncomplete
	if complete {
		payload = endComplete
	}
	buf = binary.BigEndian.AppendUint32(buf, uint32(len(payload)+2))
	buf = append(buf, version, uint8(TypeEnd))
	return append(buf, payload...)
}

// IsComplete reports whether a frame is an End message for a complete body.
func (f Frame) IsComplete() bool {
	if f.Type != TypeEnd {
		return false
	}
	if bytes.Equal(f.Payload, endComplete) {
		return true
	}
	// Another release may encode the message differently or add fields.
	var end End
	return f.Decode(&end) == nil && end.Complete
}

// ReadFrameInto reads a frame like ReadFrame, but reads the payload into the slice that alloc returns. alloc is called with the length of
// the payload and must return a slice of exactly that length.
func ReadFrameInto(r io.Reader, alloc func(n int) []byte) (Frame, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:4]); err != nil {
		return Frame{}, err
	}
	n := binary.BigEndian.Uint32(header[:4])
	if n > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%w: %d bytes", ErrFrameTooLarge, n)
	}
	if n < 2 {
		return Frame{}, ErrFrameTooShort
	}
	if _, err := io.ReadFull(r, header[4:]); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	payload := alloc(int(n - 2))
	if _, err := io.ReadFull(r, payload); err != nil {
		return Frame{}, unexpectedEOF(err)
	}
	return Frame{Version: header[4], Type: Type(header[5]), Payload: payload}, nil
}
