package gossip

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// minPackSize is the size in bytes from which a row is sent compressed; a
	// configuration shrinks to a sixth.
	minPackSize = 2 << 10
	// maxUnpackedSize bounds the size of a decompressed row in bytes.
	maxUnpackedSize = 16 << 20
)

// pack compresses large rows for sending. It replaces the elements of rows; the
// original data bytes are not modified.
func pack(rows []Row) []Row {
	for i, r := range rows {
		if len(r.Data) < minPackSize || r.Packed {
			continue
		}
		var b bytes.Buffer
		w, err := flate.NewWriter(&b, flate.BestSpeed)
		if err != nil {
			continue
		}
		if _, err = w.Write(r.Data); err != nil || w.Close() != nil {
			continue
		}
		rows[i].Data, rows[i].Packed = b.Bytes(), true
	}
	return rows
}

// unpack reverses pack.
func unpack(rows []Row) ([]Row, error) {
	for i, r := range rows {
		if !r.Packed {
			continue
		}
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Data)), maxUnpackedSize))
		if err != nil {
			return nil, errors.Wrapf(err, "row %s/%s", r.Table, r.Key)
		}
		rows[i].Data, rows[i].Packed = data, false
	}
	return rows, nil
}
