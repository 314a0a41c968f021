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
	// compressThreshold is the size in bytes above which a table is stored compressed. A slice takes about 60 bytes.
	compressThreshold = 16 << 10
	// maxStoredTableBytes is the maximum size of a stored table. The store limits a row to 64 KiB, and that limit may apply to
	// the base64 encoding of the value.
	maxStoredTableBytes = 48 << 10
	// maxDecompressedTableBytes limits the memory that a stored table may take when decompressed. It allows for 65,536 slices
	// of one key each.
	maxDecompressedTableBytes = 8 << 20
	// compressedMarker is the first byte of a compressed table. MessagePack never uses this byte.
	compressedMarker = 0xc1
)

// errTableTooLarge is returned for a table that does not fit into a row of the store, even compressed.
var errTableTooLarge = errors.New("table is too large for a row of the store")

// encodeTable encodes a table as the value of its row. Large tables are compressed.
func encodeTable(t *keyrange.Table) ([]byte, error) {
	value, err := msgpack.Marshal(t)
	if err != nil || len(value) <= compressThreshold {
		return value, err
	}
	compressed := bytes.NewBuffer([]byte{compressedMarker})
	w, err := flate.NewWriter(compressed, flate.DefaultCompression)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(value); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	if compressed.Len() > maxStoredTableBytes {
		return nil, fmt.Errorf("pool %s, %d slices, %d bytes: %w", t.Pool, len(t.Slices), compressed.Len(), errTableTooLarge)
	}
	return compressed.Bytes(), nil
}

// decodeTable decodes and checks the table in the value of a row.
func decodeTable(value []byte) (*keyrange.Table, error) {
	if len(value) > 0 && value[0] == compressedMarker {
		decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(value[1:])), maxDecompressedTableBytes))
		if err != nil {
			return nil, err
		}
		value = decompressed
	}
	var t keyrange.Table
	if err := msgpack.Unmarshal(value, &t); err != nil {
		return nil, err
	}
	return &t, t.Validate()
}
