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

// Table keys and object names of the configuration.
const (
	// HeadKey is the key of the row with the newest revision.
	HeadKey = "config/head"
	// RevisionPrefix is the key prefix of the rows of all accepted revisions.
	RevisionPrefix = "config/revision/"
	// ObjectPrefix is the name prefix of the contents; the hash follows.
	ObjectPrefix = "config-"
)

// RaceError means that another operator's change was accepted first.
type RaceError struct {
	// Base is the revision that the change is based on, Newest the revision in
	// force.
	Base   uint64
	Newest *Revision
	// Changes lists the differences between the two; empty if the store cannot
	// provide them.
	Changes []Difference
}

// maxListedChanges bounds the differences that RaceError.Error lists.
const maxListedChanges = 20

// Error implements error.
func (e *RaceError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "revision %d is no longer the newest: %s made revision %d at %s (%s); nothing was applied; look at it with \"config show\" and \"config diff\", then apply again",
		e.Base, e.Newest.Author, e.Newest.Number, e.Newest.At.Format(time.RFC3339), e.Newest.Note)
	for i, d := range e.Changes {
		if i == maxListedChanges {
			fmt.Fprintf(&b, "\n  and %d more", len(e.Changes)-i)
			break
		}
		b.WriteString("\n  " + d.String())
	}
	return b.String()
}

// Store publishes and reads configuration revisions on the platform.
type Store struct {
	table   infra.Table
	objects infra.ObjectStore
}

// NewStore returns a store that keeps revisions in table and contents in objects.
func NewStore(table infra.Table, objects infra.ObjectStore) *Store {
	return &Store{table: table, objects: objects}
}

// Head returns the newest revision without its content, and the version of its
// row. It returns revision 0 and version 0 if there is none.
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

// Content reads the configuration with the given hash.
func (s *Store) Content(ctx context.Context, hash string) (*Config, error) {
	body, err := s.objects.GetObject(ctx, ObjectPrefix+hash)
	if err != nil {
		return nil, err
	}
	return DecodeConfig(body, hash)
}

// Newest returns the newest revision with its content, or nil if there is none.
func (s *Store) Newest(ctx context.Context) (*Revision, error) {
	rev, _, err := s.Head(ctx)
	if err != nil || rev.Number == 0 {
		return nil, err
	}
	rev.Config, err = s.Content(ctx, rev.Hash)
	return rev, err
}

// Change is one operator's change of the configuration.
type Change struct {
	// Base is the revision that the operator saw. The change is refused if it is
	// no longer the newest.
	Base uint64
	// Author is the operator who makes the change, Note a short description.
	Author string
	Note   string
	// Edit turns a copy of the newest revision into the new one. It may replace
	// Config but must not modify it.
	Edit func(*Revision) error
}

// Apply publishes a new revision with a conditional write. It returns *RaceError
// if another change was accepted first, and infra.ErrUnavailable if the outcome
// is unknown; applying the same change again is then safe.
func (s *Store) Apply(ctx context.Context, c Change) (*Revision, error) {
	head, version, err := s.Head(ctx)
	if err != nil {
		return nil, err
	}
	if head.Number < c.Base {
		return nil, errors.Wrapf(infra.ErrUnavailable, "the store shows revision %d, older than the base %d", head.Number, c.Base)
	}
	if head.Number > c.Base {
		return s.resolveRace(ctx, head, c)
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
	return s.resolveCommit(ctx, c, next, err)
}

// RevisionKey returns the table key of an accepted revision.
func RevisionKey(number uint64) string { return fmt.Sprintf("%s%020d", RevisionPrefix, number) }

// resolveRace handles a change whose base is no longer the newest. It returns the
// newest revision if an earlier try of the same change made it and the reply was
// lost, and *RaceError if another change made it.
func (s *Store) resolveRace(ctx context.Context, head *Revision, c Change) (*Revision, error) {
	base, err := s.revision(ctx, c.Base)
	if err != nil {
		return nil, &RaceError{Base: c.Base, Newest: head}
	}
	if head.Number == c.Base+1 && head.Author == c.Author && head.Note == c.Note {
		repeated, err := s.prepare(ctx, base, c)
		if err != nil {
			return nil, err
		}
		if isSameChange(repeated, head) {
			repeated.At = head.At
			return repeated, nil
		}
	}
	return nil, &RaceError{Base: c.Base, Newest: head, Changes: s.changes(ctx, base, head)}
}

// isSameChange reports whether two revisions have the same content, withdrawn
// versions and stages.
func isSameChange(a, b *Revision) bool {
	return a.Hash == b.Hash && maps.Equal(a.Withdrawn, b.Withdrawn) && maps.Equal(a.Stages, b.Stages)
}

// changes returns the differences between the contents of two revisions; nil if
// the store cannot provide them.
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

// revision returns an accepted revision without its content. Revision 0 is empty.
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

// prepare applies the change to a copy of head, the newest revision, and stores
// the new content if it differs.
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

// resolveCommit determines the outcome of a commit that returned cause: its reply
// may have been lost.
func (s *Store) resolveCommit(ctx context.Context, c Change, next *Revision, cause error) (*Revision, error) {
	head, _, err := s.Head(ctx)
	if err != nil {
		return nil, cause
	}
	isOwn := head.Number == next.Number && head.Hash == next.Hash && head.Author == next.Author && head.At.Equal(next.At)
	switch {
	case isOwn:
		return next, nil
	case head.Number >= next.Number:
		return s.resolveRace(ctx, head, c)
	default:
		return nil, cause
	}
}
