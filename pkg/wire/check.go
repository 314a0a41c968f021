package wire

import (
	"encoding/binary"
	"errors"
)

// errMalformed means that a payload announces more than it contains.
var errMalformed = errors.New("malformed payload")

// sizes holds the number of bytes behind the codes 0xc4 to 0xd8 that have a fixed size.
var sizes = map[byte]int{
	0xca: 4, 0xcb: 8, 0xcc: 1, 0xcd: 2, 0xce: 4, 0xcf: 8, 0xd0: 1, 0xd1: 2, 0xd2: 4, 0xd3: 8,
	0xd4: 2, 0xd5: 3, 0xd6: 5, 0xd7: 9, 0xd8: 17,
}

// widths holds the number of bytes of the length or count behind the other codes from 0xc4 on.
var widths = map[byte]int{
	0xc4: 1, 0xc5: 2, 0xc6: 4, 0xc7: 1, 0xc8: 2, 0xc9: 4, 0xd9: 1, 0xda: 2, 0xdb: 4, 0xdc: 2, 0xdd: 4, 0xde: 2, 0xdf: 4,
}

// checkLengths verifies that every announced length and count fits in the payload. The msgpack library allocates slices by
// the announced count (its limit has no effect in v5.4.1), so that a frame of 10 bytes could use up all memory.
func checkLengths(p []byte) error {
	for elements := 1; elements > 0; elements-- {
		if len(p) == 0 {
			return errMalformed
		}
		c := p[0]
		skip, more, err := content(c, p[1:])
		if err != nil {
			return err
		}
		if skip > len(p)-1 {
			return errMalformed
		}
		p = p[1+skip:]
		elements += more
		// Each element takes at least one byte.
		if elements-1 > len(p) {
			return errMalformed
		}
	}
	return nil
}

// content returns how many bytes belong to a code and how many elements follow them.
func content(c byte, rest []byte) (skip, more int, err error) {
	switch {
	case c < 0x80 || c >= 0xe0 || c == 0xc0 || c == 0xc2 || c == 0xc3:
		return 0, 0, nil
	case c < 0x90:
		return 0, 2 * int(c&0x0f), nil
	case c < 0xa0:
		return 0, int(c & 0x0f), nil
	case c < 0xc0:
		return int(c & 0x1f), 0, nil
	case c == 0xc1:
		return 0, 0, errMalformed
	}
	if n, ok := sizes[c]; ok {
		return n, 0, nil
	}
	return counted(c, rest)
}

// counted handles the codes that are followed by a length or count of 1, 2 or 4 bytes.
func counted(c byte, rest []byte) (skip, more int, err error) {
	width := widths[c]
	if len(rest) < width {
		return 0, 0, errMalformed
	}
	var wide [4]byte
	copy(wide[4-width:], rest[:width])
	n := int(binary.BigEndian.Uint32(wide[:]))
	switch c {
	case 0xc7, 0xc8, 0xc9:
		// One byte of type precedes the data.
		return width + 1 + n, 0, nil
	case 0xdc, 0xdd:
		return width, n, nil
	case 0xde, 0xdf:
		return width, 2 * n, nil
	default:
		return width + n, 0, nil
	}
}
