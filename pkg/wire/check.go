package wire

import (
	"encoding/binary"
	"errors"
)

// errMalformed means that a payload announces more bytes or elements than it contains, or uses the invalid code 0xc1.
var errMalformed = errors.New("malformed payload")

// fixedSizes holds the number of bytes that follow a msgpack code from 0xc4 to 0xd8, for the codes with a fixed size.
var fixedSizes = map[byte]int{
	0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17,
}

// lengthWidths holds the number of bytes of the length or count that follows any other msgpack code from 0xc4 on.
var lengthWidths = map[byte]int{
	0xc4: 1, 0xc5: 2, 0xc6: 4, 0xc7: 1, 0xc8: 2, 0xc9: 4, 0xd9: 1, 0xda: 2, 0xdb: 4, 0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4,
}

// checkLengths verifies that every announced length and count fits in the payload. The msgpack library allocates slices for the announced
// count (its allocation limit has no effect in v5.4.1), so that a frame of 10 bytes could exhaust the memory.
func checkLengths(p []byte) error {
	for elements := 1; elements > 0; elements-- {
		if len(p) == 0 {
			return errMalformed
		}
		code := p[0]
		skip, nested, err := elementSize(code, p[1:])
		if err != nil {
			return err
		}
		if skip > len(p)-1 {
			return errMalformed
		}
		p = p[1+skip:]
		elements += nested
		// Each element takes at least one byte.
		if elements-1 > len(p) {
			return errMalformed
		}
	}
	return nil
}

// elementSize returns how many bytes after a code belong to its element, and how many nested elements follow them.
func elementSize(code byte, rest []byte) (skip, nested int, err error) {
	switch {
	case code < 0x80 || code >= 0xe0 || code == 0xc0 || code == 0xc2 || code == 0xc3:
		return 0, 0, nil
	case code < 0x90:
		return 0, 2 * int(code&0x0f), nil
	case code < 0xa0:
		return 0, int(code & 0x0f), nil
	case code < 0xc0:
		return int(code & 0x1f), 0, nil
	case code == 0xc1:
		return 0, 0, errMalformed
	}
	if n, ok := fixedSizes[code]; ok {
		return n, 0, nil
	}
	return variableElementSize(code, rest)
}

// variableElementSize is elementSize for the codes that are followed by a length or count of 1, 2 or 4 bytes.
func variableElementSize(code byte, rest []byte) (skip, nested int, err error) {
	width := lengthWidths[code]
	if len(rest) < width {
		return 0, 0, errMalformed
	}
	var padded [4]byte
	copy(padded[4-width:], rest[:width])
	n := int(binary.BigEndian.Uint32(padded[:]))
	switch code {
	case 0xc7, 0xc8, 0xc9:
		// The type of the extension takes one byte before the data.
		return width + 1 + n, 0, nil
	case 0xdc, 0xdd:
		return width, n, nil
	case 0xde, 0xdf:
		return width, 2 * n, nil
	default:
		return width + n, 0, nil
	}
}
