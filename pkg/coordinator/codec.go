package coordinator

import (
	"bytes"
	"compress/flate"
	"errors"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/bronzelever/bronzelever/pkg/keyrange"
)

const (
	// packTableAbove is the size in bytes from which on a table is stored compressed. A slice takes about 60 bytes.
	packTableAbove = 16 << 10
	// maxTableBytes is the most that a stored table may have: the store's bound for a row is 64 KiB, which may hold for the value in
	// base64.
	maxTableBytes = 48 << 10
	// maxUnpackedTable bounds what a stored table may grow to in memory: 65,536 slices of one key.
	maxUnpackedTable = 8 << 20
	// packedMark begins a compressed table. MessagePack never uses this byte.
	packedMark = 0xc1
)

// errTableTooLarge means that a table doesn't fit into a row.
var errTableTooLarge = errors.New("the table is too large for a row")

// encodeTable returns the value of a table's row.
func encodeTable(t *keyrange.Table) ([]byte, error) {
	value, err := msgpack.Marshal(t)
	if err != nil || len(value) <= packTableAbove {
		return value, err
	}
	out := bytes.NewBuffer([]byte{packedMark})
	w, err := flate.NewWriter(out, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if out.Len() > maxTableBytes {
		return nil, fmt.Errorf("pool %s, %d slices, %d bytes: %w", t.Pool, len(t.Slices), out.Len(), errTableTooLarge)
	}
	return out.Bytes(), nil
}

// decodeTable returns the table of a row's value.
func decodeTable(value []byte) (*keyrange.Table, error) {
	if len(value) > 0 && value[0] == packedMark {
		unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxUnpackedTable))
		if err != nil {
			return nil, err
		}
		value = unpacked
	}
	var t keyrange.Table
	if err := msgpack.Unmarshal(value, &t); err != nil {
		return nil, err
	}
	return &t, t.Check()
}
