package config

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/infra"
)

// Keys of the platform's services that hold the configuration.
const (
	// HeadKey is the table row with the newest revision.
	HeadKey = "config/head"
	// RevisionPrefix begins the table rows of all accepted revisions.
	RevisionPrefix = "config/revision/"
	// ObjectPrefix begins the names of the contents, by hash.
	ObjectPrefix = "config-"
)

// RaceError means that another operator's change came first.
type RaceError struct {
	// Base is the revision that the change was made on, Newest the one in
	// place.
	Base   uint64
	Newest *Revision
	// Changes lists what changed in between, as far as the store still tells.
	Changes []Difference
}

// maxChangesTold bounds the changes that a RaceError lists.
const maxChangesTold = 20

// Error implements error.
func (e *RaceError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d is no longer the newest: %s made revision %d at %s (%s); nothing was applied; look at it with \"config show\" and \"config diff\", then apply again",
		e.Base, e.Newest.Author, e.Newest.Number, e.Newest.At.Format(time.RFC3339), e.Newest.Note)
	for i, d := range e.Changes {
		if i == maxChangesTold {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Changes)-i)
			break
		}
		b.WriteString("\n  " + d.String())
	}
	return b.String()
}

// Store keeps the accepted revisions on the platform.
type Store struct {
	table   infra.Table
	objects infra.ObjectStore
}

// NewStore returns a store of revisions.
func NewStore(table infra.Table, objects infra.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the newest revision without its content, and its row's
// version; revision 0 and version 0 if there is none.
func (s *Store) Head(ctx context.Context) (*Revision, uint64, error) {
	row, err := s.table.Get(ctx, HeadKey)
	if errors.Is(err, infra.ErrNotFound) {
		return &Revision{}, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	rev := &Revision{}
	if err := json.Unmarshal(row.Value, rev); err != nil {
		return nil, 0, errors.Wrap(err, "decode revision")
	}
	return rev, row.Version, nil
}

// Content fetches a revision's configuration.
func (s *Store) Content(ctx context.Context, hash string) (*Config, error) {
	body, err := s.objects.GetObject(ctx, ObjectPrefix+hash)
	if err != nil {
		return nil, err
	}
	return DecodeConfig(body, hash)
}

// Newest returns the newest revision with its content, or nil if there is
// none.
func (s *Store) Newest(ctx context.Context) (*Revision, error) {
	rev, _, err := s.Head(ctx)
	if err != nil || rev.Number == 0 {
		return nil, err
	}
	rev.Config, err = s.Content(ctx, rev.Hash)
	return rev, err
}

// Change is one change of the configuration.
type Change struct {
	// Base is the revision that the operator saw; the change is refused if
	// it is no longer the newest.
	Base uint64
	// Author tells who makes the change, Note in a few words what it is.
	Author string
	Note   string
	// Edit makes the new revision out of a copy of the newest; its content
	// may be replaced, not altered.
	Edit func(*Revision) error
}

// Apply makes a new revision by a conditional write. It returns *RaceError if
// another change came first, and infra.ErrUnavailable if the outcome is
// unknown; applying the same change again is then safe.
func (s *Store) Apply(ctx context.Context, c Change) (*Revision, error) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Number < c.Base {
		return nil, errors.Wrapf(infra.ErrUnavailable, "the store shows revision %d, older than the base %d", head.Number, c.Base)
	}
	if head.Number > c.Base {
		return s.raced(ctx, head, c)
	}
	next, err := s.prepare(ctx, head, c)
	if err != nil {
		return nil, err
	}
	value, err := json.Marshal(next)
	if err != nil {
		return nil, errors.Wrap(err, "encode revision")
	}
	_, err = s.table.Commit(ctx,
		infra.Op{Key: HeadKey, Value: value, Expect: version},
		infra.Op{Key: RevisionKey(next.Number), Value: value})
	if err == nil {
		return next, nil
	}
	return s.settle(ctx, c, next, err)
}

// RevisionKey returns the table key of an accepted revision.
func RevisionKey(number uint64) string { return fmt.Sprintf("%s%020d", RevisionPrefix, number) }

// raced answers a change whose base is no longer the newest: it is accepted
// if the newest revision was made by it, as when the reply of an earlier try
// was lost.
func (s *Store) raced(ctx context.Context, head *Revision, c Change) (*Revision, error) {
	base, err := s.revision(ctx, c.Base)
	if err != nil {
		return nil, &RaceError{Base: c.Base, Newest: head}
	}
	if head.Number == c.Base+1 && head.Author == c.Author && head.Note == c.Note {
		again, err := s.prepare(ctx, base, c)
		if err != nil {
			return nil, err
		}
		if sameChange(again, head) {
			again.At = head.At
			return again, nil
		}
	}
	return nil, &RaceError{Base: c.Base, Newest: head, Changes: s.changes(ctx, base, head)}
}

func sameChange(a, b *Revision) bool {
	return a.Hash == b.Hash && maps.Equal(a.Withdrawn, b.Withdrawn) && maps.Equal(a.Stages, b.Stages)
}

// changes lists what differs between two revisions' contents; nothing if the
// store does not tell.
func (s *Store) changes(ctx context.Context, old, next *Revision) []Difference {
	before := &Config{}
	if old.Number > 0 {
		content, err := s.Content(ctx, old.Hash)
		if err != nil {
			return nil
		}
		before = content
	}
	after, err := s.Content(ctx, next.Hash)
	if err != nil {
		return nil
	}
	list, err := Diff(before, after)
	if err != nil {
		return nil
	}
	return list
}

// revision returns an accepted revision without its content; revision 0 is
// empty.
func (s *Store) revision(ctx context.Context, number uint64) (*Revision, error) {
	if number == 0 {
		return &Revision{}, nil
	}
	row, err := s.table.Get(ctx, RevisionKey(number))
	if err != nil {
		return nil, err
	}
	rev := &Revision{}
	return rev, errors.Wrap(json.Unmarshal(row.Value, rev), "decode revision")
}

// prepare edits a copy of the newest revision and stores its content.
func (s *Store) prepare(ctx context.Context, head *Revision, c Change) (*Revision, error) {
	next := *head
	next.Stages = cloneMap(head.Stages)
	next.Withdrawn = cloneMap(head.Withdrawn)
	next.Config = &Config{}
	if head.Number > 0 {
		content, err := s.Content(ctx, head.Hash)
		if err != nil {
			return nil, err
		}
		next.Config = content
	}
	if err := c.Edit(&next); err != nil {
		return nil, err
	}
	body, hash, err := next.Config.Encode()
	if err != nil {
		return nil, err
	}
	if hash != head.Hash {
		if err := s.objects.PutObject(ctx, ObjectPrefix+hash, body); err != nil {
			return nil, err
		}
	}
	next.Number = head.Number + 1
	next.Hash = hash
	next.Author = c.Author
	next.Note = c.Note
	next.At = time.Now().UTC()
	return &next, nil
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	out := make(map[K]V, len(m))
	for k, v := range m {
		out[k] = v
	}
	return out
}

// settle finds out what became of a write that failed or whose reply was
// lost.
func (s *Store) settle(ctx context.Context, c Change, next *Revision, cause error) (*Revision, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, cause
	}
	mine := head.Number == next.Number && head.Hash == next.Hash && head.Author == next.Author && head.At.Equal(next.At)
	switch {
	case mine:
		return next, nil
	case head.Number >= next.Number:
		return s.raced(ctx, head, c)
	default:
		return nil, cause
	}
}
