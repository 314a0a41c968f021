package replica

import (
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// placeRequestArray is a PlaceRequest without its custom encoding. The number of its fields must not change: earlier versions refuse
// an array of another length.
type placeRequestArray PlaceRequest

// flagHedge is the bit of PlaceRequest.Hedge in the flags of a place request.
const flagHedge = 1

// EncodeMsgpack implements msgpack.CustomEncoder. The organisation, a string, and the flags, an integer, follow the array as values of
// their own, each only if it isn't empty: earlier versions ignore what follows the values that they know. Without them the encoding is
// that of earlier versions.
func (a PlaceRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	array := placeRequestArray(a)
	if err := e.Encode(&array); err != nil {
		return err
	}
	if a.Organisation != "" {
		if err := e.EncodeString(a.Organisation); err != nil {
			return err
		}
	}
	if flags := a.flags(); flags != 0 {
		return e.EncodeUint(flags)
	}
	return nil
}

// flags returns the flags of the request. Both encodings of a place request contain them.
func (a *PlaceRequest) flags() (flags uint64) {
	if a.Hedge {
		flags |= flagHedge
	}
	return flags
}

// setFlags sets what the flags tell. Unknown ones, which a later version may send, are ignored.
func (a *PlaceRequest) setFlags(flags uint64) {
	a.Hedge = flags&flagHedge != 0
}

// DecodeMsgpack implements msgpack.CustomDecoder. Values of another kind or further values after the array are ignored, so that later
// versions can add some. It must decode the last value of a payload.
func (a *PlaceRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	var array placeRequestArray
	if err := d.Decode(&array); err != nil {
		return err
	}
	*a = PlaceRequest(array)
	code, ok, err := nextCode(d)
	if ok && msgpcode.IsString(code) {
		if a.Organisation, err = decodeName(d); err != nil {
			return err
		}
		code, ok, err = nextCode(d)
	}
	if !ok || !isUnsigned(code) {
		return err
	}
	flags, err := d.DecodeUint64()
	a.setFlags(flags)
	return err
}

// nextCode returns the kind of the next value, and whether there is one.
func nextCode(d *msgpack.Decoder) (code byte, ok bool, err error) {
	code, err = d.PeekCode()
	if errors.Is(err, io.EOF) {
		return 0, false, nil
	}
	return code, err == nil, err
}

func isUnsigned(code byte) bool {
	return code <= msgpcode.PosFixedNumHigh || code >= msgpcode.Uint8 && code <= msgpcode.Uint64
}
