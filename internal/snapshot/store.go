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
	// Prefix begins the keys of head rows and the names of objects.
	Prefix = "snapshot/"
	// keep is how many generations the head row names.
	keep = 3
	// slots is the number of objects of one kind and lane. It is more than
	// keep, so that a write never touches an object that the head row names.
	slots = keep + 1
	// lanes keep a writer that was paused before its write away from the
	// objects of those that took over since, up to so many less one; beyond
	// that the sum in the head row tells, and an older snapshot is used.
	lanes = 4
)

// ErrFenced means that another writer has taken over since.
var ErrFenced = errors.New("another node writes these snapshots now: read the newest before writing again")

// head is the row that names the snapshots of a kind.
type head struct {
	// Fence is the present writer's number, Writer its process.
	Fence  uint64 `json:"fence"`
	Writer string `json:"writer"`
	// Newest names the generations, the newest first.
	Newest []generation `json:"newest"`
}

// generation names one snapshot.
type generation struct {
	Number uint64 `json:"number"`
	Fence  uint64 `json:"fence"`
	Object string `json:"object"`
	Sum    string `json:"sum"`
}

// Store is where snapshots are kept.
type Store struct {
	Table   infra.Table
	Objects infra.ObjectStore
}

// read returns the head row of a kind, empty if there is none.
func (s Store) read(ctx context.Context, kind string) (head, uint64, error) {
	row, err := s.Table.Get(ctx, Prefix+kind)
	if errors.Is(err, infra.ErrNotFound) {
		return head{}, 0, nil
	}
	if err != nil {
		return head{}, 0, err
	}
	var h head
	return h, row.Version, errors.Wrap(json.Unmarshal(row.Value, &h), "decode the head of snapshots")
}

// Newest returns the newest usable snapshot of a kind whose schema is at most
// the given one, or infra.ErrNotFound.
func (s Store) Newest(ctx context.Context, kind string, schema int) (Content, error) {
	h, _, err := s.read(ctx, kind)
	if err != nil {
		return Content{}, err
	}
	return s.newest(ctx, kind, schema, h)
}

// newest tries the generations in turn. An object store that does not answer
// is an error: an older snapshot would not be better known.
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

// open decodes a stored snapshot and holds it against what the head row says.
func (g generation) open(kind string, schema int, stored []byte) (Content, error) {
	if sumOf(stored) != g.Sum {
		return Content{}, ErrTorn
	}
	c, err := Decode(stored)
	switch {
	case err != nil:
		return Content{}, err
	case c.Schema > schema:
		return Content{}, ErrNewer
	case c.Kind != kind || c.Generation != g.Number || c.Fence != g.Fence:
		return Content{}, ErrForeign
	}
	return c, nil
}

func sumOf(stored []byte) string {
	sum := sha256.Sum256(stored)
	return hex.EncodeToString(sum[:])
}

// Writer writes the snapshots of one kind. It is used by one goroutine.
type Writer struct {
	store   Store
	kind    string
	process string

	held    bool
	head    head
	version uint64
}

// NewWriter returns a writer for one process; it must take over first.
func (s Store) NewWriter(kind, process string) *Writer {
	return &Writer{store: s, kind: kind, process: process}
}

// Held tells whether the writer took over and was not fenced since, as far as
// it knows.
func (w *Writer) Held() bool { return w.held }

// TakeOver makes this the only writer and returns the newest usable snapshot,
// or an empty one if there is none. With an error nothing is held.
func (w *Writer) TakeOver(ctx context.Context, schema int) (Content, error) {
	w.held = false
	h, version, err := w.store.read(ctx, w.kind)
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
		w.held = false
		return Content{}, err
	}
	w.held = true
	return c, nil
}

// Write stores body as the next generation. It returns ErrFenced if another
// writer took over, and any other error if the outcome does not matter: the
// next call writes again.
func (w *Writer) Write(ctx context.Context, schema int, body json.RawMessage) error {
	if err := w.sure(ctx); err != nil {
		return err
	}
	g := w.next()
	stored, err := Encode(Content{Kind: w.kind, Schema: schema, Fence: g.Fence, Generation: g.Number, Body: body})
	if err != nil {
		return err
	}
	g.Sum = sumOf(stored)
	if err := w.store.Objects.PutObject(ctx, g.Object, stored); err != nil {
		return err
	}
	next := w.head
	next.Newest = append([]generation{g}, w.head.Newest[:min(len(w.head.Newest), keep-1)]...)
	return w.commit(ctx, next, w.version)
}

// sure reads the head row before a write: after a lost reply it may name more
// than this writer knows of, and another writer may have taken over.
func (w *Writer) sure(ctx context.Context) error {
	if !w.held {
		return ErrFenced
	}
	now, version, err := w.store.read(ctx, w.kind)
	if err != nil {
		return err
	}
	return w.follow(now, version, w.head.Fence)
}

// follow takes the head row as it stands, if this writer still has its number.
func (w *Writer) follow(now head, version, fence uint64) error {
	if now.Writer != w.process || now.Fence != fence {
		w.held = false
		return ErrFenced
	}
	w.head, w.version = now, version
	return nil
}

// next names the generation to write.
func (w *Writer) next() generation {
	g := generation{Number: 1, Fence: w.head.Fence}
	if len(w.head.Newest) > 0 {
		g.Number = w.head.Newest[0].Number + 1
	}
	g.Object = fmt.Sprintf("%s%s/%d-%d", Prefix, w.kind, g.Fence%lanes, g.Number%slots)
	return g
}

// commit writes the head row if it is as last seen. After a lost reply the row
// itself tells whether the write took effect.
func (w *Writer) commit(ctx context.Context, next head, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the head of snapshots")
	}
	versions, err := w.store.Table.Commit(ctx, infra.Op{Key: Prefix + w.kind, Value: value, Expect: version})
	switch {
	case err == nil:
		w.head, w.version = next, versions[0]
		return nil
	case errors.Is(err, infra.ErrConflict):
		return w.settle(ctx, value, next)
	default:
		return err
	}
}

// settle tells a write of this writer whose reply was lost from one of another.
func (w *Writer) settle(ctx context.Context, value []byte, next head) error {
	now, found, err := w.store.read(ctx, w.kind)
	if err != nil {
		return err
	}
	if err := w.follow(now, found, next.Fence); err != nil {
		return err
	}
	if same, err := json.Marshal(now); err == nil && string(same) == string(value) {
		return nil
	}
	return errors.Wrap(infra.ErrUnavailable, "an earlier write had taken effect")
}
