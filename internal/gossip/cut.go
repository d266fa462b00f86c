package gossip

import (
	"cmp"
	"slices"
)

const (
	// maxAnswerSize bounds the rows in an answer or a question in bytes before compression.
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
// into one message. It is called before the map is shared.
func (m *Map) SetFirstTables(tables ...string) {
	for _, t := range tables {
		m.firstTables[t] = true
	}
}

// cut sets the rows of a change to those entries that fit into one message, in the order
// of the log. If they do not all fit, the change's position is that of the last one, from
// which the next message goes on, and it has no cursors: without the remaining rows the
// tables are not complete. The caller holds mu.
func (m *Map) cut(c *change, entries []entry) {
	total := 0
	for _, e := range entries {
		total += e.size()
	}
	if total <= maxAnswerSize {
		for _, e := range entries {
			c.rows = append(c.rows, e.Row)
		}
		return
	}
	slices.SortFunc(entries, func(a, b entry) int { return cmp.Compare(a.position, b.position) })
	size := 0
	for _, e := range entries {
		if m.firstTables[e.Table] {
			c.rows, size = append(c.rows, e.Row), size+e.size()
		}
	}
	c.isPartial, c.cursors = true, nil
	taken := 0
	for _, e := range entries {
		if !m.firstTables[e.Table] {
			if taken > 0 && size+e.size() > maxAnswerSize {
				return
			}
			c.rows, size, taken = append(c.rows, e.Row), size+e.size(), taken+1
		}
		c.position = e.position
	}
	// Rows of first tables alone exceed the bound.
	c.isPartial, c.cursors, c.position = false, m.copyCursors(), m.position
}
