package replica

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/wire"
)

// earlierPlaceRequest is a copy of PlaceRequest as of the version before organisations.
type earlierPlaceRequest struct {
	//lint:ignore U1000 msgpack reads the tag: the fields are sent without their names.
	_msgpack        struct{} `msgpack:",as_array"`
	Seq             uint64
	Pool            string
	Key             int
	Priority        int
	LeftMs          int64
	ObjectiveMs     int64
	Body            int64
	Homes           []string
	Avoid           []string
	Repeat          bool
	Content, Caller uint64
}

func frameOf(t *testing.T, message any) wire.Frame {
	t.Helper()
	encoded, err := wire.AppendMessage(nil, wire.Version, wire.TypePlaceRequest, message)
	if err != nil {
		t.Fatal(err)
	}
	frame, err := wire.ReadFrame(bytes.NewReader(encoded))
	if err != nil {
		t.Fatal(err)
	}
	return frame
}

// Guards against a coordinator and VMs of two versions, as in an upgrade, that can't read each other's place requests.
func TestPlaceRequestIsReadByEarlierAndLaterVersions(t *testing.T) {
	earlier := earlierPlaceRequest{Seq: 7, Pool: "p", Key: 9, Priority: 258, LeftMs: 1500, ObjectiveMs: 600, Body: 12, Homes: []string{"r1"},
		Avoid: []string{"t1", "t2"}, Repeat: true, Content: 1 << 63, Caller: 5}
	current := PlaceRequest{Seq: 7, Pool: "p", Key: 9, Priority: 258, LeftMs: 1500, ObjectiveMs: 600, Body: 12, Homes: []string{"r1"},
		Avoid: []string{"t1", "t2"}, Repeat: true, Content: 1 << 63, Caller: 5}
	if got, want := frameOf(t, current).Payload, frameOf(t, earlier).Payload; !bytes.Equal(got, want) {
		t.Errorf("without an organisation, the encoding has changed:\n%x\n%x", got, want)
	}
	var decoded PlaceRequest
	if err := frameOf(t, earlier).Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, current) {
		t.Errorf("from an earlier version: %+v, %v", decoded, err)
	}
	current.Organisation = "org1"
	var old earlierPlaceRequest
	if err := frameOf(t, current).Decode(&old); err != nil || !reflect.DeepEqual(old, earlier) {
		t.Errorf("at an earlier version: %+v, %v", old, err)
	}
	decoded = PlaceRequest{}
	if err := frameOf(t, current).Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, current) {
		t.Errorf("between current versions: %+v, %v", decoded, err)
	}
	later := frameOf(t, current)
	later.Payload = append(later.Payload, 0x93, 1, 2, 3)
	decoded = PlaceRequest{}
	if err := later.Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, current) {
		t.Errorf("from a later version: %+v, %v", decoded, err)
	}
}

// Guards against memory reserved for an announced length that the frame doesn't contain.
func TestMalformedOrganisationIsAnError(t *testing.T) {
	array, err := msgpack.Marshal(PlaceRequest{Seq: 1})
	if err != nil {
		t.Fatal(err)
	}
	for _, tail := range [][]byte{{0xdb, 0xff, 0xff, 0xff, 0xff}, {0xd9, 0xff, 'a'}, {0xa3, 'a'}, {0xda}} {
		frame := wire.Frame{Version: wire.Version, Type: wire.TypePlaceRequest, Payload: append(bytes.Clone(array), tail...)}
		var a PlaceRequest
		if err := frame.Decode(&a); err == nil {
			t.Errorf("%x: decoded as %+v", tail, a)
		}
	}
}

// Guards against a hedge that a broker takes for another request, and against requests that VMs of two versions can't read from each other
// because of the mark: with an organisation and without, versions before it read the rest.
func TestHedgeMarkIsReadByEarlierVersions(t *testing.T) {
	for _, organisation := range []string{"", "org1"} {
		sent := PlaceRequest{Seq: 7, Pool: "p", Avoid: []string{"t1"}, Repeat: true, Organisation: organisation, Hedge: true}
		var decoded PlaceRequest
		if err := frameOf(t, sent).Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, sent) {
			t.Errorf("%q: decoded %+v, %v", organisation, decoded, err)
		}
		var old earlierPlaceRequest
		if err := frameOf(t, sent).Decode(&old); err != nil || old.Seq != 7 || !old.Repeat {
			t.Errorf("%q: at an earlier version: %+v, %v", organisation, old, err)
		}
		later := frameOf(t, sent)
		// A later version may set other flags and add values.
		later.Payload = append(later.Payload[:len(later.Payload)-1], 0xcc, 0x81, 0x93, 1, 2, 3)
		decoded = PlaceRequest{}
		if err := later.Decode(&decoded); err != nil || !reflect.DeepEqual(decoded, sent) {
			t.Errorf("%q: from a later version: %+v, %v", organisation, decoded, err)
		}
		later.Payload = later.Payload[:len(later.Payload)-5]
		if err := later.Decode(&decoded); err == nil {
			t.Errorf("%q: truncated flags are no error", organisation)
		}
	}
}
