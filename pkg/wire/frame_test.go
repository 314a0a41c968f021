package wire

import (
	"bytes"
	"errors"
	"io"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
)

// FuzzReadFrame guards against a reader that panics or allocates more than MaxFrameBytes on malformed input, or that changes a frame.
func FuzzReadFrame(f *testing.F) {
	var valid bytes.Buffer
	if err := WriteMessage(&valid, TypeHello, Hello{MinVersion: 1, MaxVersion: 2, VM: "vm-1"}); err != nil {
		f.Fatal(err)
	}
	f.Add(valid.Bytes())
	f.Add([]byte{})
	f.Add([]byte{0, 0, 0, 1, 1})
	f.Add([]byte{0, 0, 0, 2, 1, 1})
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 1, 1})
	f.Add([]byte{0, 0, 0, 9, 1, 31, 0x81})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := ReadFrame(bytes.NewReader(data))
		if err != nil {
			return
		}
		var out bytes.Buffer
		if err := WriteFrame(&out, frame.Version, frame.Type, frame.Payload); err != nil {
			t.Fatalf("WriteFrame of a frame that was read: %v", err)
		}
		if !bytes.HasPrefix(data, out.Bytes()) {
			t.Fatalf("frame %x was read as %x", data, out.Bytes())
		}
	})
}

// FuzzBodyData guards against a decoder of body frames that panics or returns other data than the msgpack library.
func FuzzBodyData(f *testing.F) {
	for _, data := range [][]byte{nil, []byte("x"), bytes.Repeat([]byte("y"), 300)} {
		payload, err := msgpack.Marshal(Body{Data: data})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
		f.Add(bodyFrame(data)[headerBytes:])
	}
	f.Add([]byte{0x81, 0xa1, 'd', 0xc6, 0, 0, 0, 9})
	f.Fuzz(func(t *testing.T, payload []byte) {
		got, err := Frame{Type: TypeBody, Payload: payload}.BodyData()
		var want Body
		wantErr := msgpack.Unmarshal(payload, &want)
		// A payload that announces more than it contains is rejected even if the library doesn't decode that part.
		rejected := errors.Is(err, errMalformed)
		if !rejected && (err == nil) != (wantErr == nil) || err == nil && !bytes.Equal(got, want.Data) {
			t.Fatalf("payload %x: got %x, %v; want %x, %v", payload, got, err, want.Data, wantErr)
		}
	})
}

// TestAnnouncedCountsAreChecked guards against a small frame that makes the decoder allocate memory for an announced count.
func TestAnnouncedCountsAreChecked(t *testing.T) {
	for _, payload := range []string{
		"\x9c\xc5\x00\x00\xff\xdd\xc3Y\x0f\xc8",
		"\x81\xa7headers\xdd\x7f\xff\xff\xff",
		"\x81\xa7headers\xdf\x7f\xff\xff\xff",
		"\x81\xa2id\xdb\x7f\xff\xff\xff",
		"\x81\xa2id\xc1",
		"\x82\xa2id\xa1x",
	} {
		if err := (Frame{Payload: []byte(payload)}).Decode(&Request{}); !errors.Is(err, errMalformed) {
			t.Errorf("%q: %v", payload, err)
		}
	}
}

// TestAllTypesDecode guards against rejecting a valid message because of the types of its values.
func TestAllTypesDecode(t *testing.T) {
	type all struct {
		A int8
		B int64
		C uint64
		D float32
		E float64
		F []string
		G map[string]int
		H []byte
		I *int
		J bool
		K string
	}
	in := all{-1, -1 << 40, 1 << 63, 1.5, 2.5, make([]string, 70_000), map[string]int{"x": 1}, make([]byte, 300), nil, true, string(make([]byte, 70_000))}
	payload, err := msgpack.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	var out all
	if err := (Frame{Payload: payload}).Decode(&out); err != nil || out.C != in.C || len(out.F) != len(in.F) || out.K != in.K {
		t.Errorf("%v", err)
	}
}

// FuzzDecodeMessages guards against a decoder that panics on a malformed message of another process.
func FuzzDecodeMessages(f *testing.F) {
	for _, message := range []any{Request{ID: "1", Headers: []Header{{"a", "b"}}}, Response{ID: "1", Status: 200}, End{Complete: true}, Heartbeat{Cell: "c"}} {
		payload, err := msgpack.Marshal(message)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(payload)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		for _, message := range []any{&Request{}, &Response{}, &End{}, &Heartbeat{}, &HeartbeatReply{}, &Hello{}} {
			_ = Frame{Payload: payload}.Decode(message)
		}
	})
}

func bodyFrame(data []byte) []byte {
	frame := append(make([]byte, BodyHeaderBytes), data...)
	PutBodyHeader(frame, Version)
	return frame
}

// TestBodyFrameDecodesAsMessage guards against a body frame, whose header is encoded by hand, that a msgpack decoder can't decode.
func TestBodyFrameDecodesAsMessage(t *testing.T) {
	frame, err := ReadFrame(bytes.NewReader(bodyFrame([]byte("chunk"))))
	if err != nil {
		t.Fatal(err)
	}
	var body Body
	if err := frame.Decode(&body); err != nil {
		t.Fatal(err)
	}
	if frame.Type != TypeBody || string(body.Data) != "chunk" {
		t.Errorf("type %d, data %q", frame.Type, body.Data)
	}
}

// TestTruncatedFrame guards against taking a truncated frame for a complete one or for the regular end of the stream.
func TestTruncatedFrame(t *testing.T) {
	whole := bodyFrame([]byte("chunk"))
	for n := 4; n < len(whole); n++ {
		if _, err := ReadFrame(bytes.NewReader(whole[:n])); !errors.Is(err, io.ErrUnexpectedEOF) {
			t.Errorf("first %d bytes: %v", n, err)
		}
	}
}

// nextRequest is Request as a later release might define it, with added and removed fields.
type nextRequest struct {
	ID       string   `msgpack:"id"`
	Method   string   `msgpack:"method"`
	Headers  []Header `msgpack:"headers"`
	Priority int      `msgpack:"priority"`
	Trace    struct {
		Parent []byte `msgpack:"parent"`
	} `msgpack:"trace"`
}

// TestAdjacentMessageVersions guards against adjacent releases that can't decode each other's messages.
func TestAdjacentMessageVersions(t *testing.T) {
	next := nextRequest{ID: "7", Method: "GET", Headers: []Header{{"a", "b"}}, Priority: 3}
	next.Trace.Parent = []byte{1}
	payload, err := msgpack.Marshal(next)
	if err != nil {
		t.Fatal(err)
	}
	var old Request
	if err := (Frame{Payload: payload}).Decode(&old); err != nil {
		t.Fatalf("the older release can't decode the newer message: %v", err)
	}
	if old.ID != "7" || old.Method != "GET" || len(old.Headers) != 1 || old.Path != "" || old.Idempotent {
		t.Errorf("decoded %+v", old)
	}
	payload, err = msgpack.Marshal(Request{ID: "8", Path: "/x", Idempotent: true})
	if err != nil {
		t.Fatal(err)
	}
	var newer nextRequest
	if err := (Frame{Payload: payload}).Decode(&newer); err != nil {
		t.Fatalf("the newer release can't decode the older message: %v", err)
	}
	if newer.ID != "8" || newer.Priority != 0 || newer.Trace.Parent != nil {
		t.Errorf("decoded %+v", newer)
	}
}
