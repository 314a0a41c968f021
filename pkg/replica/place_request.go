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

// EncodeMsgpack implements msgpack.CustomEncoder. The organisation follows the array as a value of its own, and only if there is one:
// earlier versions ignore what follows the first value of a frame. Without an organisation the encoding is that of earlier versions.
func (a PlaceRequest) EncodeMsgpack(e *msgpack.Encoder) error {
	array := placeRequestArray(a)
	if err := e.Encode(&array); err != nil || a.Organisation == "" {
		return err
	}
	return e.EncodeString(a.Organisation)
}

// DecodeMsgpack implements msgpack.CustomDecoder. Values of another kind or further values after the array are ignored, so that later
// versions can add some. It must decode the last value of a payload.
func (a *PlaceRequest) DecodeMsgpack(d *msgpack.Decoder) error {
	var array placeRequestArray
	if err := d.Decode(&array); err != nil {
		return err
	}
	*a = PlaceRequest(array)
	code, err := d.PeekCode()
	if errors.Is(err, io.EOF) || err == nil && !msgpcode.IsString(code) {
		return nil
	}
	if err != nil {
		return err
	}
	a.Organisation, err = decodeOrganisation(d)
	return err
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
