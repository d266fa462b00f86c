package gossip

import (
	"cmp"
	"slices"
)

const (
	// maxAnswerSize bounds the rows in an answer or a question in bytes before compression,
	// without those of first tables.
	// A link of 10 Mbit/s carries it well within catchUpTimeout, and connections keep
	// buffers of the size of their largest message.
	maxAnswerSize = 256 << 10
	// rowOverhead is the size in bytes of a row's numbers in a message.
	rowOverhead = 32
	// maxWanted bounds the rows that an answer requests. Many nodes send their rows to a
	// process that has none, and each needs to send a part only.
	maxWanted = 300
)

// size returns about how many bytes the row takes in a message.
func (r Row) size() int {
	data := len(r.Data)
	if r.packed != nil {
		if packed := r.packed.bytes.Load(); packed != nil {
			data = len(*packed)
		}
	}
	return len(r.Table) + len(r.Key) + data + rowOverhead
}

// SetFirstTables names the tables whose rows are sent before others where not all rows fit
// into one message. Their rows are not bounded, so they are few. It is called before the map is shared.
func (m *Map) SetFirstTables(tables ...string) {
	for _, t := range tables {
		m.firstTables[t] = true
	}
}

// cut sets the rows of a change to those of first tables and those other entries that fit
// into one message, in the order of the log. If they do not all fit, the change's position
// is that of the last one, from which the next message goes on, and it has no cursors:
// without the remaining rows the tables are not complete. The caller holds mu.
func (m *Map) cut(c *change, entries []entry) {
	total := 0
	for _, e := range entries {
		if !m.firstTables[e.Table] {
			total += e.size()
		}
	}
	if total <= maxAnswerSize {
		for _, e := range entries {
			c.rows = append(c.rows, e.Row)
		}
		return
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.position, b.position) })
	c.isPartial, c.cursors = true, nil
	size, isFull := 0, false
	for _, e := range entries {
		// Rows of first tables do not count: a part carries all of them.
		isFirst := m.firstTables[e.Table]
		if !isFirst && !isFull {
			isFull = size > 0 && size+e.size() > maxAnswerSize
			size += e.size()
		}
		if isFirst || !isFull {
			c.rows = append(c.rows, e.Row)
		}
		if !isFull {
			c.position = e.position
		}
	}
}
