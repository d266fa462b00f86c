package admission

import (
	"cmp"
	"slices"
	"time"
)

// lane holds the waiting work of one organisation and rank. Within it, the
// caller that was served least goes first.
type lane struct {
	account *account
	name    string
	weight  float64
	callers []*callerQueue
	// level is the highest counter at which a caller was served.
	level     float64
	tokens    int
	count     int
	heapIndex int
}

// callerQueue holds the waiting work of one caller in a lane and the tokens
// that the caller was served there.
type callerQueue struct {
	name    string
	virtual float64
	waiting []*Work
	tokens  int
}

// compareWork orders the work of one caller: answers that have begun, then
// booked retries, then by deadline.
func compareWork(a, b *Work) int {
	return cmp.Or(cmp.Compare(a.priority(), b.priority()), a.Deadline.Compare(b.Deadline))
}

// lowestPriority is that of work whose answer has not begun and that is no
// booked retry.
const lowestPriority = 2

func (w *Work) priority() int {
	switch {
	case w.Resumed:
		return 0
	case w.isBookedRetry:
		return 1
	default:
		return lowestPriority
	}
}

// push adds work.
func (l *lane) push(w *Work) {
	c := l.caller(w.Caller)
	index, _ := slices.BinarySearchFunc(c.waiting, w, compareWork)
	for index < len(c.waiting) && compareWork(c.waiting[index], w) == 0 {
		index++
	}
	c.waiting = slices.Insert(c.waiting, index, w)
	c.tokens += w.Tokens
	w.lane, w.caller = l, c
	l.weight = weight(w)
	l.tokens += w.Tokens
	l.count++
}

// caller returns the queue of a caller. The counter of a caller that was idle
// is raised to the level.
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

// next returns the work to run next: answers that have begun, then booked
// retries, then work of the caller served least.
func (l *lane) next() *Work {
	var best *Work
	for _, c := range l.callers {
		if len(c.waiting) > 0 && (best == nil || c.waiting[0].runsBefore(best)) {
			best = c.waiting[0]
		}
	}
	return best
}

// runsBefore reports whether w runs before b, where each is the first work of
// its caller.
func (w *Work) runsBefore(b *Work) bool {
	if w.priority() == lowestPriority && b.priority() == lowestPriority && w.caller.virtual != b.caller.virtual {
		return w.caller.virtual < b.caller.virtual
	}
	return compareWork(w, b) < 0
}

// last returns the work that runs last, and the virtual counter that the
// organisation will have reached by then.
func (l *lane) last() (*Work, float64) {
	var out *Work
	for _, c := range l.callers {
		if len(c.waiting) == 0 {
			continue
		}
		w := c.waiting[len(c.waiting)-1]
		if out == nil || w.runsAfter(out) {
			out = w
		}
	}
	return out, l.account.virtual + float64(l.tokens-out.Tokens)/l.weight
}

// runsAfter reports whether w runs after b, where each is the last work of its
// caller.
func (w *Work) runsAfter(b *Work) bool {
	if w.priority() != b.priority() {
		return w.priority() > b.priority()
	}
	x, y := w.caller.virtualEnd(), b.caller.virtualEnd()
	return x > y || (x == y && w.Deadline.After(b.Deadline))
}

// evictable returns the lane's last work if it belongs to another caller, is
// not protected and runs after new work, else nil.
func (l *lane) evictable(w *Work, before time.Time) *Work {
	if l.count == 0 {
		return nil
	}
	last, _ := l.last()
	start := last.caller.virtualEnd() - float64(last.Tokens)
	if last.caller.name == w.Caller || last.isProtected(before) || start <= l.virtualStart(w.Caller) {
		return nil
	}
	return last
}

// virtualStart returns the counter that a caller will have reached when its new
// work starts.
func (l *lane) virtualStart(name string) float64 {
	for _, c := range l.callers {
		if c.name == name {
			return max(c.virtualEnd(), l.level)
		}
	}
	return l.level
}

// virtualEnd returns the counter that the caller will have reached when all its
// work was served.
func (c *callerQueue) virtualEnd() float64 { return c.virtual + float64(c.tokens) }

// charge adds the work's tokens to the counter of its caller.
func (l *lane) charge(w *Work) {
	l.level = max(l.level, w.caller.virtual)
	w.caller.virtual += float64(w.Tokens)
}

// drop removes waiting work, and deletes callers without work whose counters
// would be raised to the level anyway.
func (l *lane) drop(w *Work) {
	c := w.caller
	index := slices.Index(c.waiting, w)
	c.waiting = slices.Delete(c.waiting, index, index+1)
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

// tokensAheadOf returns the tokens of the lane that are served before waiting
// work.
func (l *lane) tokensAheadOf(w *Work) float64 {
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
		hasPassed := !w.Deadline.After(now)
		if hasPassed {
			out = append(out, w)
		}
		if !hasPassed && w.priority() == lowestPriority {
			break
		}
	}
	return out
}
