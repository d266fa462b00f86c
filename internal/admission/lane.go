package admission

import (
	"cmp"
	"slices"
	"time"
)

// lane is the waiting work of one organisation and rank. Within it, the caller
// that was served least goes first.
type lane struct {
	account *account
	name    string
	weight  float64
	callers []*callerQueue
	// level is what the caller served last had got before.
	level  float64
	tokens int
	count  int
	at     int
}

// callerQueue is the waiting work of one caller in a lane, and what it was
// served there, in tokens.
type callerQueue struct {
	name    string
	virtual float64
	waiting []*Work
	tokens  int
}

// compareWork orders the work of one caller: begun answers, then those that
// came back when told, then by deadline.
func compareWork(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.turn(), b.turn()), a.Deadline.Compare(b.Deadline))
}

// lastTurn is that of work that has neither begun nor been refused before.
const lastTurn = 2

func (w *Work) turn() int {
	switch {
	case w.Resumed:
		return 0
	case w.returned:
		return 1
	default:
		return lastTurn
	}
}

// push adds work.
func (l *lane) push(w *Work) {
	c := l.caller(w.Caller)
	at, _ := slices.BinarySearchFunc(c.waiting, w, compareWork)
	for at < len(c.waiting) && compareWork(c.waiting[at], w) == 0 {
		at++
	}
	c.waiting = slices.Insert(c.waiting, at, w)
	c.tokens += w.Tokens
	w.lane, w.caller = l, c
	l.weight = weight(w)
	l.tokens += w.Tokens
	l.count++
}

// caller returns a caller's queue; one that comes back from idleness starts
// level with the rest.
func (l *lane) caller(name string) *callerQueue {
	for _, c := range l.callers {
		if c.name == name {
			if len(c.waiting) == 0 {
				c.virtual = max(c.virtual, l.level)
			}
			return c
		}
	}
	c := &callerQueue{name: name, virtual: l.level}
	l.callers = append(l.callers, c)
	return c
}

// next returns the work to run next: begun answers, then those that came back
// when told, then that of the caller served least.
func (l *lane) next() *Work {
	var best *Work
	for _, c := range l.callers {
		if len(c.waiting) > 0 && (best == nil || c.waiting[0].before(best)) {
			best = c.waiting[0]
		}
	}
	return best
}

// before tells whether a runs before b, where each is its caller's first.
func (w *Work) before(b *Work) bool {
	if w.turn() == lastTurn && b.turn() == lastTurn && w.caller.virtual != b.caller.virtual {
		return w.caller.virtual < b.caller.virtual
	}
	return compareWork(w, b) < 0
}

// last returns the work whose turn comes last, and what the organisation will
// have been served by then.
func (l *lane) last() (*Work, float64) {
	var out *Work
	for _, c := range l.callers {
		if len(c.waiting) == 0 {
			continue
		}
		w := c.waiting[len(c.waiting)-1]
		if out == nil || w.after(out) {
			out = w
		}
	}
	return out, l.account.virtual + float64(l.tokens-out.Tokens)/l.weight
}

// after tells whether a runs after b, where each is its caller's last.
func (w *Work) after(b *Work) bool {
	if w.turn() != b.turn() {
		return w.turn() > b.turn()
	}
	x, y := w.caller.end(), b.caller.end()
	return x > y || (x == y && w.Deadline.After(b.Deadline))
}

// excess returns the lane's last work if it is another caller's and its turn
// comes after that of new work, else nil.
func (l *lane) excess(w *Work, before time.Time) *Work {
	if l.count == 0 {
		return nil
	}
	last, _ := l.last()
	turn := last.caller.end() - float64(last.Tokens)
	if last.caller.name == w.Caller || last.kept(before) || turn <= l.start(w.Caller) {
		return nil
	}
	return last
}

// start is what a caller will have been served when the turn of its new work
// comes.
func (l *lane) start(name string) float64 {
	for _, c := range l.callers {
		if c.name == name {
			return max(c.end(), l.level)
		}
	}
	return l.level
}

// end is what the caller will have been served once nothing of it waits.
func (c *callerQueue) end() float64 { return c.virtual + float64(c.tokens) }

// serve charges the work's caller.
func (l *lane) serve(w *Work) {
	l.level = max(l.level, w.caller.virtual)
	w.caller.virtual += float64(w.Tokens)
}

// drop takes waiting work out, and forgets callers without work that would
// start level anyway.
func (l *lane) drop(w *Work) {
	c := w.caller
	at := slices.Index(c.waiting, w)
	c.waiting = slices.Delete(c.waiting, at, at+1)
	c.tokens -= w.Tokens
	l.tokens -= w.Tokens
	l.count--
	if l.count == 0 {
		l.callers, l.level = nil, 0
		return
	}
	if len(c.waiting) == 0 {
		l.callers = slices.DeleteFunc(l.callers, func(c *callerQueue) bool { return len(c.waiting) == 0 && c.virtual <= l.level })
	}
}

// before returns the tokens of the lane that are served before waiting work.
func (l *lane) before(w *Work) float64 {
	start := w.caller.virtual
	for _, other := range w.caller.waiting {
		if other == w {
			break
		}
		start += float64(other.Tokens)
	}
	total := start - w.caller.virtual
	for _, c := range l.callers {
		if c != w.caller {
			total += min(float64(c.tokens), max(start-c.virtual, 0))
		}
	}
	return total
}

// appendExpired appends the work whose deadline has passed.
func (l *lane) appendExpired(out []*Work, now time.Time) []*Work {
	for _, c := range l.callers {
		out = c.appendExpired(out, now)
	}
	return out
}

func (c *callerQueue) appendExpired(out []*Work, now time.Time) []*Work {
	for _, w := range c.waiting {
		passed := !w.Deadline.After(now)
		if passed {
			out = append(out, w)
		}
		if !passed && w.turn() == lastTurn {
			break
		}
	}
	return out
}
