package gossip

import "slices"

// maxRecent is how many of the newest changes are kept at least. Nodes that ask several
// times a second lack a few dozen, and a map holds thousands of rows.
const maxRecent = 512

// loggedChange is a change of a row at a position of the log.
type loggedChange struct {
	position uint64
	id       rowID
}

// logChange records the newest change. The caller holds mu.
func (m *Map) logChange(id rowID) {
	if len(m.recent) >= 2*maxRecent {
		m.recent = append(m.recent[:0], m.recent[len(m.recent)-maxRecent:]...)
	}
	m.recent = append(m.recent, loggedChange{m.position, id})
}

// recentSince returns the changes after a position, and whether they are all kept. The
// caller holds mu.
func (m *Map) recentSince(position uint64) ([]loggedChange, bool) {
	if len(m.recent) == 0 || m.recent[0].position > position+1 {
		return nil, false
	}
	i, _ := slices.BinarySearchFunc(m.recent, position+1, func(x loggedChange, p uint64) int {
		switch {
		case x.position < p:
			return -1
		case x.position > p:
			return 1
		}
		return 0
	})
	return m.recent[i:], true
}
