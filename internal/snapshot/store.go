package snapshot

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

const (
	// Prefix is the prefix of the keys of head rows and of the names of objects.
	Prefix = "snapshot/"
	// keptGenerations is the number of generations that the head row lists.
	keptGenerations = 3
	// objectsPerLane is the number of objects of one kind and lane. It is larger
	// than keptGenerations, so that a write never overwrites an object that the
	// head row lists.
	objectsPerLane = keptGenerations + 1
	// lanes is the number of sets of objects; a fencing number selects the set.
	// A writer that was paused before its write therefore cannot overwrite the
	// objects of the next lanes-1 writers. After more take-overs it can, but
	// the checksum in the head row detects this and an older snapshot is used.
	lanes = 4
)

// ErrFenced means that another writer has taken over.
var ErrFenced = errors.New("another node writes these snapshots now: read the newest before writing again")

// head is the row that lists the snapshots of a kind.
type head struct {
	// Fence is the current writer's fencing number, Writer its process.
	Fence  uint64 `json:"fence"`
	Writer string `json:"writer"`
	// Newest lists the generations, the newest first.
	Newest []generation `json:"newest"`
}

// generation refers to one snapshot.
type generation struct {
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	Object string `json:"object"`
	Sum    string `json:"sum"`
}

// Store reads snapshots from the platform and makes writers for them.
type Store struct {
	Table   infra.Table
	Objects infra.ObjectStore
}

// readHead returns the head row of a kind and the row's version; empty and 0 if
// there is none.
func (s Store) readHead(ctx context.Context, kind string) (head, uint64, error) {
	row, err := s.Table.Get(ctx, Prefix+kind)
	if errors.Is(err, infra.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var h head
	return h, row.Version, errors.Wrap(json.Unmarshal(row.Value, &h), "decode the head row of snapshots")
}

// Newest returns the newest usable snapshot of a kind whose schema is at most the
// given one. It returns infra.ErrNotFound if there is none.
func (s Store) Newest(ctx context.Context, kind string, schema int) (Content, error) {
	h, _, err := s.readHead(ctx, kind)
	if err != nil {
		return Content{}, err
	}
	return s.newest(ctx, kind, schema, h)
}

// newest returns the first usable generation of h. If the object store does not
// answer, it returns the error: an older snapshot must not pass for the newest.
func (s Store) newest(ctx context.Context, kind string, schema int, h head) (Content, error) {
	for _, g := range h.Newest {
		stored, err := s.Objects.GetObject(ctx, g.Object)
		if errors.Is(err, infra.ErrNotFound) {
			continue
		}
		if err != nil {
			return Content{}, err
		}
		if c, err := g.open(kind, schema, stored); err == nil {
			return c, nil
		}
	}
	return Content{}, infra.ErrNotFound
}

// open decodes a stored snapshot and checks it against the head row.
func (g generation) open(kind string, schema int, stored []byte) (Content, error) {
	if checksum(stored) != g.Sum {
		return Content{}, ErrTorn
	}
	c, err := Decode(stored)
	switch {
	case err != nil:
		return Content{}, err
	case c.Schema > schema:
		return Content{}, ErrNewerProgram
	case c.Kind != kind || c.Generation != g.Number || c.Fence != g.Fence:
		return Content{}, ErrMismatch
	}
	return c, nil
}

// checksum returns the hex SHA-256 sum of a stored snapshot.
func checksum(stored []byte) string {
	sum := sha256.Sum256(stored)
	return hex.EncodeToString(sum[:])
}

// Writer writes the snapshots of one kind. It is not safe for concurrent use.
type Writer struct {
	store   Store
	kind    string
	process string

	isCurrent bool
	head      head
	version   uint64
}

// NewWriter returns a writer of a kind for one process. It must take over before
// it writes.
func (s Store) NewWriter(kind, process string) *Writer {
	return &Writer{store: s, kind: kind, process: process}
}

// IsCurrent reports whether the writer took over and has not noticed since that
// another one did.
func (w *Writer) IsCurrent() bool { return w.isCurrent }

// TakeOver makes this the only writer by raising the fencing number. It returns
// the newest usable snapshot, or an empty one if there is none. After an error
// this is not the writer.
func (w *Writer) TakeOver(ctx context.Context, schema int) (Content, error) {
	w.isCurrent = false
	h, version, err := w.store.readHead(ctx, w.kind)
	if err != nil {
		return Content{}, err
	}
	next := h
	next.Fence++
	next.Writer = w.process
	if err := w.commit(ctx, next, version); err != nil {
		return Content{}, err
	}
	c, err := w.store.newest(ctx, w.kind, schema, next)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		w.isCurrent = false
		return Content{}, err
	}
	w.isCurrent = true
	return c, nil
}

// Write stores body as the next generation. It returns ErrFenced if another
// writer took over. After any other error the snapshot may or may not be stored,
// and the next call writes again.
func (w *Writer) Write(ctx context.Context, schema int, body json.RawMessage) error {
	if err := w.refreshHead(ctx); err != nil {
		return err
	}
	g := w.nextGeneration()
	stored, err := Encode(Content{Kind: w.kind, Schema: schema, Fence: g.Fence, Generation: g.Number, Body: body})
	if err != nil {
		return err
	}
	g.Sum = checksum(stored)
	if err := w.store.Objects.PutObject(ctx, g.Object, stored); err != nil {
		return err
	}
	next := w.head
	next.Newest = append([]generation{g}, w.head.Newest[:min(len(w.head.Newest), keptGenerations-1)]...)
	return w.commit(ctx, next, w.version)
}

// refreshHead reads the head row before a write. After a lost reply the row may
// list more generations than this writer has seen. It returns ErrFenced if
// another writer has taken over.
func (w *Writer) refreshHead(ctx context.Context) error {
	if !w.isCurrent {
		return ErrFenced
	}
	current, version, err := w.store.readHead(ctx, w.kind)
	if err != nil {
		return err
	}
	return w.acceptHead(current, version, w.head.Fence)
}

// acceptHead uses the head row as read, or returns ErrFenced if it no longer has
// this writer's process and fencing number.
func (w *Writer) acceptHead(current head, version, fence uint64) error {
	if current.Writer != w.process || current.Fence != fence {
		w.isCurrent = false
		return ErrFenced
	}
	w.head, w.version = current, version
	return nil
}

// nextGeneration returns the generation to write, without its checksum.
func (w *Writer) nextGeneration() generation {
	g := generation{Number: 1, Fence: w.head.Fence}
	if len(w.head.Newest) > 0 {
		g.Number = w.head.Newest[0].Number + 1
	}
	g.Object = fmt.Sprintf("%s%s/%d-%d", Prefix, w.kind, g.Fence%lanes, g.Number%objectsPerLane)
	return g
}

// commit writes the head row if its version is the given one. After a conflict,
// which a lost reply of an earlier try can cause, the row shows whether that
// write took effect.
func (w *Writer) commit(ctx context.Context, next head, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the head row of snapshots")
	}
	versions, err := w.store.Table.Commit(ctx, infra.Op{Key: Prefix + w.kind, Value: value, Expect: version})
	switch {
	case err == nil:
		w.head, w.version = next, versions[0]
		return nil
	case errors.Is(err, infra.ErrConflict):
		return w.resolveConflict(ctx, value, next)
	default:
		return err
	}
}

// resolveConflict reads the head row after a conflict. It returns nil if the row
// holds this write, whose reply was lost, ErrFenced if another writer took over,
// and infra.ErrUnavailable if the row holds an earlier write of this writer.
func (w *Writer) resolveConflict(ctx context.Context, value []byte, next head) error {
	current, found, err := w.store.readHead(ctx, w.kind)
	if err != nil {
		return err
	}
	if err := w.acceptHead(current, found, next.Fence); err != nil {
		return err
	}
	if stored, err := json.Marshal(current); err == nil && string(stored) == string(value) {
		return nil
	}
	return errors.Wrap(infra.ErrUnavailable, "an earlier write took effect and this one did not")
}
