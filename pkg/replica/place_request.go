package replica

import (
	"errors"
	"io"

	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// maxOrganisationBytes bounds the name of an organisation in a message.
const maxOrganisationBytes = 256

// errOrganisationTooLong means that the name of an organisation in a message exceeds maxOrganisationBytes.
var errOrganisationTooLong = errors.New("name of an organisation is too long")

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
	if a.Hedge {
		return e.EncodeUint(flagHedge)
	}
	return nil
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
		if a.Organisation, err = decodeOrganisation(d); err != nil {
			return err
		}
		code, ok, err = nextCode(d)
	}
	if !ok || !isUnsigned(code) {
		return err
	}
	flags, err := d.DecodeUint64()
	a.Hedge = flags&flagHedge != 0
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

// decodeOrganisation decodes a string without trusting its announced length, which wire.Frame.Decode checks only for the first value.
func decodeOrganisation(d *msgpack.Decoder) (string, error) {
	n, err := d.DecodeBytesLen()
	if err != nil {
		return "", err
	}
	if n > maxOrganisationBytes {
		return "", errOrganisationTooLong
	}
	name := make([]byte, n)
	if err := d.ReadFull(name); err != nil {
		return "", err
	}
	return string(name), nil
}
