package gossip

import "cmp"

// Revision is a state of the store, and of a row in it. A store that was restored from a
// copy gives out versions again, under a higher era: versions are ordered within one
// era only.
type Revision struct {
	Era     uint64
	Version uint64
}

// Compare returns -1 if r is older than other, 1 if it is newer, and 0 if they are equal.
func (r Revision) Compare(other Revision) int {
	return cmp.Or(cmp.Compare(r.Era, other.Era), cmp.Compare(r.Version, other.Version))
}

// Before reports whether r is older than other.
func (r Revision) Before(other Revision) bool { return r.Compare(other) < 0 }

// IsZero reports whether r is no state at all.
func (r Revision) IsZero() bool { return r == Revision{} }

// precedence orders the copies of one row: the one with the highest rank wins, among
// equal ranks the newest revision.
type precedence struct {
	rank     uint64
	revision Revision
}

func (p precedence) compare(other precedence) int {
	return cmp.Or(cmp.Compare(p.rank, other.rank), p.revision.Compare(other.revision))
}
