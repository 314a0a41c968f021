package replica

import (
	"bytes"
	"encoding/hex"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net"
	"reflect"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/bronzelever/bronzelever/pkg/placing"
	"github.com/bronzelever/bronzelever/pkg/ratelimit"
	"github.com/bronzelever/bronzelever/pkg/sharedrate"
	"github.com/bronzelever/bronzelever/pkg/wire"
)

// shortEnds returns both ends of one direction of a connection on which short messages are sent.
func shortEnds() (sender, receiver *sendQueue) {
	sender, receiver = &sendQueue{}, &sendQueue{}
	sender.allowShort(formatShort, "a", "b")
	return sender, receiver
}

// encode returns the frame of a message.
func (q *sendQueue) encode(kind wire.Type, message any) ([]byte, error) {
	kind, form, _ := q.form(kind, message)
	return wire.AppendMessage(nil, wire.Version, kind, form)
}

// transfer encodes a message and decodes it into a new value of the same type. It returns that value and the frame.
func transfer(t *testing.T, sender, receiver *sendQueue, kind wire.Type, message any) (any, wire.Frame) {
	t.Helper()
	encoded, err := sender.encode(kind, message)
	if err != nil {
		t.Fatal(err)
	}
	frame, err := wire.ReadFrame(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	decoded := reflect.New(reflect.TypeOf(message))
	target := decoded.Interface()
	switch m := target.(type) {
	case *PlaceRequest:
		if frame.Type == wire.TypeShortPlaceRequest {
			target = &shortPlaceRequest{PlaceRequest: m, seq: &receiver.receivedSeq, decoder: &receiver.receivedNames}
		}
	case *PlaceResponse:
		if frame.Type == wire.TypeShortPlaceResponse {
			target = &shortPlaceResponse{PlaceResponse: m, seq: &receiver.receivedSeq, decoder: &receiver.receivedNames}
		}
	case *Update:
		if frame.Type == wire.TypeShortUpdate {
			target = &shortUpdate{Update: m, state: &receiver.receivedUpdate, decoder: &receiver.receivedNames}
		}
	case *Report:
		if frame.Type == wire.TypeShortReport {
			target = &shortReport{Report: m, state: &receiver.receivedReport}
		}
	case *PlaceRelease:
		if frame.Type == wire.TypeShortPlaceRelease {
			target = &shortPlaceRelease{m, &receiver.receivedSeq}
		}
	}
	if err := frame.Decode(target); err != nil {
		t.Fatalf("%+v: %v", message, err)
	}
	return decoded.Elem().Interface(), frame
}

// fill sets each field of a struct that the random source chooses to a random value, so that fields that are added later are covered.
func fill(v reflect.Value, random *rand.Rand) {
	for i := range v.NumField() {
		if f := v.Field(i); f.CanSet() && random.IntN(3) > 0 {
			fillValue(f, random)
		}
	}
}

func fillValue(f reflect.Value, random *rand.Rand) {
	switch f.Kind() {
	case reflect.String:
		f.SetString(fmt.Sprintf("name-%d", random.IntN(2*maxNames)))
	case reflect.Bool:
		f.SetBool(true)
	case reflect.Float64:
		f.SetFloat([]float64{1.15, 1, 0.07, -1, math.Pi, 1e300}[random.IntN(6)])
	case reflect.Slice:
		f.Set(reflect.MakeSlice(f.Type(), 1+random.IntN(3), 3))
		for i := range f.Len() {
			fillValue(f.Index(i), random)
		}
	case reflect.Struct:
		fill(f, random)
	case reflect.Pointer:
		f.Set(reflect.New(f.Type().Elem()))
		fillValue(f.Elem(), random)
	case reflect.Map:
		key, value := reflect.New(f.Type().Key()).Elem(), reflect.New(f.Type().Elem()).Elem()
		fillValue(key, random)
		fillValue(value, random)
		f.Set(reflect.MakeMap(f.Type()))
		f.SetMapIndex(key, value)
	default:
		if f.CanInt() {
			f.SetInt(int64(random.Uint64()>>random.IntN(64)) >> (64 - f.Type().Bits()))
			return
		}
		f.SetUint(random.Uint64() >> random.IntN(64) >> (64 - f.Type().Bits()))
	}
}

// Guards against a field, present or of a later change, that the short form of a message loses or alters, also once there are more names
// than are numbered.
func TestShortMessagesLoseNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	sender, receiver := shortEnds()
	for range 5000 {
		var request PlaceRequest
		var response PlaceResponse
		var release PlaceRelease
		for _, m := range []any{&request, &response, &release} {
			fill(reflect.ValueOf(m).Elem(), random)
		}
		if !release.HasReport {
			release.Report = placing.Report{}
		}
		for kind, sent := range map[wire.Type]any{wire.TypePlaceRequest: request, wire.TypePlaceResponse: response, wire.TypePlaceRelease: release} {
			if got, _ := transfer(t, sender, receiver, kind, sent); !reflect.DeepEqual(got, sent) {
				t.Fatalf("sent %+v\nreceived %+v", sent, got)
			}
		}
	}
	if n := len(sender.sentNames.numbers); n != maxNames || len(receiver.receivedNames.names) != maxNames {
		t.Errorf("%d names are numbered by the sender and %d by the receiver, want %d", n, len(receiver.receivedNames.names), maxNames)
	}
}

// Guards against a field of an update or report, present or of a later change, that the short form loses or alters, or that it takes from
// an earlier message: the result must be that of the usual form.
func TestShortUpdatesAndReportsLoseNothing(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	sender, receiver := shortEnds()
	short := 0
	for i := range 3000 {
		var update Update
		var report Report
		fill(reflect.ValueOf(&update).Elem(), random)
		fill(reflect.ValueOf(&report).Elem(), random)
		if i%2 == 0 {
			update.Packed, update.Routes, update.Deltas = nil, nil, nil
			for range random.IntN(maxShortVersions + 2) {
				update.Deltas = append(update.Deltas, Delta{Table: []string{"op", "servers"}[random.IntN(2)], Version: random.Uint64()})
			}
		}
		for kind, sent := range map[wire.Type]any{wire.TypeRelayUpdate: update, wire.TypeRelayReport: report} {
			got, frame := transfer(t, sender, receiver, kind, sent)
			want, _ := transfer(t, &sendQueue{}, &sendQueue{}, kind, sent)
			if !reflect.DeepEqual(got, want) {
				t.Fatalf("sent %+v\nreceived %+v", want, got)
			}
			if frame.Type != kind {
				short++
			}
		}
	}
	// Every second update has no rows and routes, and reports never have any.
	if short < 4500 {
		t.Errorf("%d of 6000 messages had the short form, want 4500 at least", short)
	}
}

// Guards against a change of the short messages that VMs of two versions read differently, such as another order of fields or numbers: the
// names, sequence numbers and differences that they take from it would be wrong. Another encoding needs another format number.
func TestShortFormatIsStable(t *testing.T) {
	sender, _ := shortEnds()
	request := PlaceRequest{Seq: 300, Pool: "p", Key: 4, Priority: 5, LeftMs: 6, ObjectiveMs: 7, Body: 8, Homes: []string{"r"}, Avoid: []string{"t", "p"},
		Repeat: true, Content: 9, Caller: 10, Organisation: "o", Hedge: true}
	update := Update{Deltas: []Delta{{Table: "x", Version: 1}, {Table: "y", Version: 2}}, Distributor: "d", MinElectionDelayMs: 3, LeaseVersion: 4,
		StoreAge: 5, ConfigurationAgeMs: 6, Index: 7, Count: 8, Format: formatShort,
		Quota: &sharedrate.Offer{Coordinator: 9, Process: 10, Stamp: 11, Echo: 12, Serial: 13, Fraction: 1}}
	report := Report{DelayMs: 1, Unreachable: "u",
		Quota: &sharedrate.Answer{Process: 2, Coordinator: 3, Stamp: 4, Echo: 5, GrantedBy: 6, Serial: 7, LeftMs: 8, Fraction: 1}}
	release := PlaceRelease{Seq: 301, Cancelled: true, ElapsedMs: 2, Ending: 1, HasReport: true,
		Report: placing.Report{Running: 3, Waiting: 4, Slots: 5, Pace: 1.15, ClosedFor: 6}}
	exact := release
	exact.Seq, exact.Report.Pace, exact.Report.RateLimit = 299, math.Pi, ratelimit.Notice{Rate: 1}
	for i, c := range []struct {
		message any
		want    string
	}{
		{request, "377fcd012ca170050607090a040891a17292a17400a16f01"},
		{request, "377f0000050607090a040891019202000301"},
		{PlaceResponse{Seq: 300, Target: "t", Reason: "p", ExpectedMs: 1, WaitedMs: 2}, "380fcd012c02000102"},
		{PlaceResponse{Seq: 299, Target: "n"}, "3801ffa16e"},
		{release, "392fcd012d02010304057306"},
		{exact, "397ffe0201030405cb400921fb54442d180681a452617465cb3ff0000000000000"},
		{update, "3ace0007ffff050b0c01020406030708090a0dcf3ff0000000000000a16492a178a179c41185a2666d01a16c00a16100a16900a16e00"},
		{update, "3a13c41185a2666d01a16c00a16100a16900a16e00"},
		{report, "3bcd3ff1040501080203cf3ff00000000000000607c40581a175a175"},
		{report, "3b11c40581a175a175"},
	} {
		encoded, err := sender.encode(wire.TypeRelayUpdate, c.message)
		if err != nil {
			t.Fatal(err)
		}
		// The type and the payload follow the length and the version.
		if got := hex.EncodeToString(encoded[5:]); got != c.want {
			t.Errorf("message %d, %T:\ngot  %s\nwant %s", i, c.message, got, c.want)
		}
	}
}

// Guards the costs that docs/CAPACITY.md states for the heartbeats and reports of a VM in another region with quotas.
func TestHeartbeatSizes(t *testing.T) {
	// Heartbeats are sent every 300 ms, reports every 250 ms.
	const most, perMinute, heartbeats, reports = 300, 60, 200, 240
	now := int64(1_765_000_000_000_000_000)
	cost := func(sender, receiver *sendQueue) (usual, total int) {
		for i := range max(heartbeats, reports) {
			offer := sharedrate.Offer{Coordinator: 1 << 40, Stamp: now + int64(i)*300e6, Process: now, Echo: now + int64(i)*299e6, Serial: 1000, Fraction: 1. / 86}
			answer := sharedrate.Answer{Process: now, Stamp: now + int64(i)*250e6, Coordinator: 1 << 40, Echo: now + int64(i)*251e6, Fraction: 1. / 86, GrantedBy: 1 << 40, Serial: 1000, LeftMs: 29700}
			for kind, m := range map[wire.Type]any{
				wire.TypeRelayUpdate: Update{MinElectionDelayMs: 65, LeaseVersion: 1446 + uint64(i/3), StoreAge: int64(120 + i%7), Index: 12, Count: 64, Distributor: "10.12.34.56:7000",
					Deltas: []Delta{{Table: "op", Version: uint64(90000 + 80*i)}, {Table: "servers", Version: uint64(90000 + 80*i)}}, Quota: &offer},
				wire.TypeRelayReport: Report{DelayMs: int64(16 + i%3), Quota: &answer},
			} {
				if kind == wire.TypeRelayUpdate && i >= heartbeats {
					continue
				}
				encoded, err := wire.AppendMessage(nil, wire.Version, kind, m)
				if err != nil {
					t.Fatal(err)
				}
				_, frame := transfer(t, sender, receiver, kind, m)
				usual, total = usual+len(encoded), total+frame.Size()
			}
		}
		return usual / perMinute, total / perMinute
	}
	usual, compact := cost(&sendQueue{}, &sendQueue{})
	_, short := cost(shortEnds())
	t.Logf("heartbeats and reports of a VM cost %d bytes a second, %d with integers as short as possible, %d in short form", usual, compact, short)
	if short > most {
		t.Errorf("heartbeats and reports of a VM take %d bytes a second, want %d at most", short, most)
	}
}

// Guards the costs that docs/CAPACITY.md states, with names as long as those of the present deployments, and against names that are never
// replaced by numbers.
func TestPlacementMessageSizes(t *testing.T) {
	const most = 100
	earlier := 0
	size := func(sender, receiver *sendQueue) (total int) {
		for _, seq := range []uint64{40000, 40001} {
			total, earlier = 0, 0
			for kind, m := range map[wire.Type]any{
				wire.TypePlaceRequest: PlaceRequest{Seq: seq, Pool: "stock", Key: 40000, Priority: 258, LeftMs: 2900, ObjectiveMs: 500, Body: 400,
					Homes: []string{"catania"}, Content: 1 << 63, Caller: 1 << 62, Organisation: "yefi830"},
				wire.TypePlaceResponse: PlaceResponse{Seq: seq, Target: "stock-catania-a-21", ExpectedMs: 300, WaitedMs: 200},
				wire.TypePlaceRelease: PlaceRelease{Seq: seq, ElapsedMs: 250, HasReport: true,
					Report: placing.Report{Running: 2, Waiting: 1, Slots: 2, Pace: 1.07}},
			} {
				_, frame := transfer(t, sender, receiver, kind, m)
				total += frame.Size()
				encoded, err := wire.AppendMessage(nil, wire.Version, kind, m)
				if err != nil {
					t.Fatal(err)
				}
				earlier += len(encoded)
			}
		}
		return total
	}
	long := size(&sendQueue{}, &sendQueue{})
	short := size(shortEnds())
	t.Logf("a request costs %d bytes of placement messages, %d with integers as short as possible, %d in short form", earlier, long, short)
	if short > most {
		t.Errorf("the short messages of a request take %d bytes, want %d at most", short, most)
	}
}

// Guards against names that a short message can't carry, which must be sent in the usual form, and against announced sizes or numbers that
// the receiver trusts.
func TestShortMessagesAreBounded(t *testing.T) {
	sender, receiver := shortEnds()
	long := PlaceRequest{Seq: 1, Pool: strings.Repeat("p", maxNameBytes+1), Avoid: []string{"t"}}
	if got, _ := transfer(t, sender, receiver, wire.TypePlaceRequest, long); !reflect.DeepEqual(got, long) {
		t.Errorf("received %+v", got)
	}
	for name, c := range map[string]struct {
		payload []byte
		want    error
	}{
		"no value":       {nil, errNoPresence},
		"nil":            {[]byte{0xc0}, errNoPresence},
		"unknown number": {[]byte{1, 1, 5}, errNameUnknown},
		"long name":      {[]byte{1, 1, 0xdb, 0xff, 0xff, 0xff, 0xff}, errNameTooLong},
		"long list":      {[]byte{8, 1, 0xa1, 'p', 1, 1, 1, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff}, errListTooLong},
	} {
		frame := wire.Frame{Version: wire.Version, Type: wire.TypeShortPlaceRequest, Payload: c.payload}
		if err := decodeShort(frame, &shortPlaceRequest{PlaceRequest: &PlaceRequest{}, seq: &lastSeq{}, decoder: &nameDecoder{}}); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
}

// Guards against a malformed short message that panics instead of failing. The seed is fixed.
func TestMalformedShortMessagesAreErrors(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 3))
	events := Events{Report: func(*Follower, Report) {}, PlaceRequest: func(*Follower, PlaceRequest) {}, PlaceRelease: func(*Follower, PlaceRelease) {}}
	receiver := Receiver{Update: func(*Link, Update) {}, PlaceResponse: func(PlaceResponse) {}}
	failed := 0
	for range 10000 {
		sender, _ := shortEnds()
		kinds := []any{PlaceRequest{}, PlaceResponse{}, PlaceRelease{}, Update{}, Report{}}
		message := reflect.New(reflect.TypeOf(kinds[random.IntN(len(kinds))])).Elem()
		fill(message, random)
		encoded, err := sender.encode(wire.TypeRelayUpdate, message.Interface())
		if err != nil {
			t.Fatal(err)
		}
		frame, err := wire.ReadFrame(bytes.NewReader(encoded))
		if err != nil {
			t.Fatal(err)
		}
		if frame.Type == wire.TypeRelayUpdate {
			continue
		}
		for range 1 + random.IntN(3) {
			frame.Payload[random.IntN(len(frame.Payload))] = byte(random.Uint32())
		}
		frame.Payload = frame.Payload[:len(frame.Payload)-random.IntN(1+len(frame.Payload)/2)]
		follower, link := &Follower{sendQueue: &sendQueue{}}, &Link{sendQueue: &sendQueue{}}
		for _, err := range []error{follower.handle(frame, events), link.handle(frame, receiver)} {
			if errors.As(err, new(*PanicError)) {
				t.Fatalf("type %d, %x: %v", frame.Type, frame.Payload, err)
			}
			if err != nil {
				failed++
			}
		}
	}
	if failed == 0 {
		t.Error("no message was malformed")
	}
}

// Guards against a short message whose announced length is trusted: 6 bytes must not make the receiver allocate 4 GB.
func TestShortMessagesAllocateNoAnnouncedLength(t *testing.T) {
	events := Events{Report: func(*Follower, Report) {}}
	receiver := Receiver{Update: func(*Link, Update) {}}
	payload := []byte{byte(partRest), 0xc6, 0xff, 0xff, 0xff, 0xff}
	for kind, handle := range map[wire.Type]func(wire.Frame) error{
		wire.TypeShortReport: func(f wire.Frame) error { return (&Follower{sendQueue: &sendQueue{}}).handle(f, events) },
		wire.TypeShortUpdate: func(f wire.Frame) error { return (&Link{sendQueue: &sendQueue{}}).handle(f, receiver) },
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := handle(wire.Frame{Version: wire.Version, Type: kind, Payload: payload})
		runtime.ReadMemStats(&after)
		if allocated := after.TotalAlloc - before.TotalAlloc; !errors.Is(err, errRestTooLong) || allocated > wire.MaxFrameBytes {
			t.Errorf("type %d: %d bytes allocated, %v", kind, allocated, err)
		}
	}
}

// Guards against a message in its usual form that panics instead of failing if it is nil, or if it was altered to contain nil or another
// value. The seed is fixed.
func TestMalformedUsualMessagesDontPanic(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 4))
	events := Events{Report: func(*Follower, Report) {}, PlaceRequest: func(*Follower, PlaceRequest) {}, PlaceRelease: func(*Follower, PlaceRelease) {}}
	receiver := Receiver{Update: func(*Link, Update) {}, PlaceResponse: func(PlaceResponse) {}}
	handle := func(frame wire.Frame) (failed bool) {
		follower, link := &Follower{sendQueue: &sendQueue{}}, &Link{sendQueue: &sendQueue{}}
		for _, err := range []error{follower.handle(frame, events), link.handle(frame, receiver)} {
			if errors.As(err, new(*PanicError)) {
				t.Fatalf("type %d, %x: %v", frame.Type, frame.Payload, err)
			}
			failed = failed || err != nil
		}
		return failed
	}
	const null = 0xc0
	failed := 0
	for kind, empty := range map[wire.Type]any{
		wire.TypeRelayReport: Report{}, wire.TypeRelayUpdate: Update{}, wire.TypePlaceRequest: PlaceRequest{},
		wire.TypePlaceResponse: PlaceResponse{}, wire.TypePlaceRelease: PlaceRelease{},
	} {
		handle(wire.Frame{Version: wire.Version, Type: kind, Payload: []byte{null}})
		handle(wire.Frame{Version: wire.Version, Type: kind, Payload: []byte{null, null}})
		for range 2000 {
			message := reflect.New(reflect.TypeOf(empty)).Elem()
			fill(message, random)
			encoded, err := wire.AppendMessage(nil, wire.Version, kind, message.Interface())
			if err != nil {
				t.Fatal(err)
			}
			frame, err := wire.ReadFrame(bytes.NewReader(encoded))
			if err != nil {
				t.Fatal(err)
			}
			for range 1 + random.IntN(3) {
				frame.Payload[random.IntN(len(frame.Payload))] = []byte{null, byte(random.Uint32())}[random.IntN(2)]
			}
			if handle(frame) {
				failed++
			}
		}
	}
	if failed == 0 {
		t.Error("no message was malformed")
	}
}

// earlierMessages are the frame types that versions before the short messages handle.
var earlierMessages = map[wire.Type]bool{
	wire.TypeRelayReport: true, wire.TypeRelayUpdate: true, wire.TypePlaceRequest: true, wire.TypePlaceResponse: true, wire.TypePlaceRelease: true,
}

// readEarlier reads frames as a version before the short messages does, and returns those of one type.
func readEarlier(t *testing.T, conn net.Conn, awaited wire.Type) wire.Frame {
	t.Helper()
	if err := conn.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	for {
		frame, err := wire.ReadFrame(conn)
		if err != nil {
			t.Fatal(err)
		}
		if !earlierMessages[frame.Type] {
			t.Fatalf("an earlier version was sent a message of type %d", frame.Type)
		}
		if frame.Type == awaited {
			return frame
		}
	}
}

// Guards against a coordinator that sends a VM of an earlier version what it can't read: the VM gets the usual messages, whose integers
// it decodes although they take fewer bytes.
func TestEarlierVMGetsTheUsualMessages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	requests := make(chan PlaceRequest, 1)
	go func() {
		_ = Serve(l, Events{
			Traffic: Traffic{Region: "b"},
			Joined: func(f *Follower) {
				f.SendUpdate(Update{LeaseVersion: 1 << 40, StoreAge: 7})
				f.SendUpdate(Update{Count: 3})
			},
			Report: func(*Follower, Report) {},
			PlaceRequest: func(f *Follower, a PlaceRequest) {
				f.SendPlaceResponse(PlaceResponse{Seq: a.Seq, Target: "t", ExpectedMs: 70000})
				requests <- a
			},
			Left: func(*Follower) {},
		})
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	sent := earlierPlaceRequest{Seq: 3, Pool: "p", LeftMs: 5}
	if err := errors.Join(wire.WriteMessage(conn, wire.TypeRelayReport, Report{VM: "v", Region: "a"}), wire.WriteMessage(conn, wire.TypePlaceRequest, sent)); err != nil {
		t.Fatal(err)
	}
	var u struct {
		LeaseVersion uint64 `msgpack:"l"`
		StoreAge     int64  `msgpack:"a"`
	}
	if err := readEarlier(t, conn, wire.TypeRelayUpdate).Decode(&u); err != nil || u.LeaseVersion != 1<<40 || u.StoreAge != 7 {
		t.Errorf("update %+v, %v", u, err)
	}
	var v PlaceResponse
	if err := readEarlier(t, conn, wire.TypePlaceResponse).Decode(&v); err != nil || v.Target != "t" || v.ExpectedMs != 70000 {
		t.Errorf("response %+v, %v", v, err)
	}
	if a := <-requests; a.Seq != 3 || a.Pool != "p" || a.LeftMs != 5 {
		t.Errorf("request %+v", a)
	}
}

// Guards against a VM that sends a coordinator of an earlier version what it can't read.
func TestEarlierCoordinatorGetsTheUsualMessages(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		_, _ = Follow(t.Context(), l.Addr().String(), Report{VM: "v", Region: "a"}, Receiver{
			Traffic: Traffic{Region: "a"}, Connected: func(*Link) {},
			Update: func(link *Link, _ Update) {
				link.SendReport(Report{DelayMs: 300})
				link.SendPlaceRequest(PlaceRequest{Seq: 1 << 40, Pool: "p"})
			},
			PlaceResponse: func(PlaceResponse) {},
		})
	}()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	if err := wire.WriteMessage(conn, wire.TypeRelayUpdate, map[string]any{"l": 5, "a": 1, "i": 1, "n": 2}); err != nil {
		t.Fatal(err)
	}
	var request earlierPlaceRequest
	if err := readEarlier(t, conn, wire.TypePlaceRequest).Decode(&request); err != nil || request.Seq != 1<<40 || request.Pool != "p" {
		t.Errorf("request %+v, %v", request, err)
	}
}
