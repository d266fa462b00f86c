package pool

import "time"

// An engine reads prompts one after the other, in chunks between the steps of its streams, so
// that short prompts wait behind long ones. Each prompt has a priority at its engine by the time
// that the engine needs to read it: the shorter goes first, and delays the longer one by little.

const (
	// firstPriorityRead is the read time up to which a prompt has the highest priority at its
	// engine. It doubles from each priority to the next, so that a prompt goes behind those
	// that take less than about half of its time.
	firstPriorityRead = 25 * time.Millisecond
	// lowestPriority is the last of the engines' priorities.
	lowestPriority = 9
	// longReadShare is the share of the shortest target of a service's routes from
	// which the read time of a prompt counts as long.
	longReadShare = 0.15
)

// ReadPriority returns the priority at an engine, 0 (first) to 9, of a prompt that it needs some
// time to read.
func ReadPriority(read time.Duration) int {
	priority := 0
	for limit := firstPriorityRead; read > limit && priority < lowestPriority; limit *= 2 {
		priority++
	}
	return priority
}

// IsLongRead reports whether the time that an engine needs to read a prompt is long for
// routes whose shortest target for pauses and first events is given.
func IsLongRead(read, shortestTarget time.Duration) bool {
	return shortestTarget > 0 && float64(read) >= longReadShare*float64(shortestTarget)
}

// BeginWork adds the details of a request of this node.
func (m *Member) BeginWork(d Details) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.details = m.details.Add(d)
}

// EndWork reverses BeginWork.
func (m *Member) EndWork(d Details) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.details = m.details.Without(d)
}
