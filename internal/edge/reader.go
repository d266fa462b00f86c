package edge

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// operatorWait is how long one watch of the configuration stays open. The answers to
	// these watches also show that the store is reachable.
	operatorWait = 400 * time.Millisecond
	// defaultWait is how long a watch of any other table stays open: changes there may take
	// longer to arrive.
	defaultWait = 10 * time.Second
	// serversPause is the least time between two watches of the servers' table, so that
	// one answer carries many changes.
	serversPause = 350 * time.Millisecond
	// systemPause is the same for the system's own table. After a loss of power all nodes
	// watch it and register in it, and without a pause each registration woke each node:
	// 69 nodes made 477 watches within two seconds.
	systemPause = 700 * time.Millisecond
	// staleAfter is the age of the cached store state at which a node that is not the
	// reader reads the store itself. The last of the standbys begins half a second later and
	// needs a part of what is left of the two seconds in which a change must be in force.
	staleAfter = 1200 * time.Millisecond
	// standbyStep staggers the standbys: the first in line begins first.
	standbyStep = 120 * time.Millisecond
	// firstRetryPause is the backoff after a first failed call. It doubles with each
	// further one up to maxRetryPause, for the reader up to maxReaderRetryPause, and is
	// shortened at random by up to half: an unreachable store sees few calls, and the
	// first node that it serves again informs the others.
	firstRetryPause     = 200 * time.Millisecond
	maxReaderRetryPause = 400 * time.Millisecond
	maxRetryPause       = 2 * time.Second
	// outageAge is the age of the cached store state from which entries may have expired:
	// a server's entry is removed after three of its heartbeats, of a second or more.
	outageAge = 2500 * time.Millisecond
	// idlePause is how often a standby checks whether it must read.
	idlePause = 60 * time.Millisecond
	// maxStandInPause bounds the random pause of a standby that reads in place of the reader
	// between two watches of the configuration. handOverLead is by how much the state of
	// another node must be newer for the standby to stop. The pauses let standbys that began
	// at the same moment drift apart until all but one see a newer state.
	maxStandInPause = 2 * standbyStep
	handOverLead    = 250 * time.Millisecond
)

// followedTable is a table of the store with the arguments of follow.
type followedTable struct {
	name        string
	wait, pause time.Duration
	tracksAge   bool
}

func followedTables(t Tables) []followedTable {
	return []followedTable{
		{t.Operator, operatorWait, 0, true}, {t.Servers, defaultWait, serversPause, false},
		{t.Status, defaultWait, 0, false}, {tableSystem, defaultWait, systemPause, false},
	}
}

// reader follows the store's tables while this node is the designated reader, or
// receives no updates of them from other nodes.
type reader struct {
	store     gossip.Store
	rows      *gossip.Map
	log       *zap.Logger
	countCall func(use, result string)
	// rank returns the number that a row's writer gave to its content.
	rank func(gossip.Row) uint64
	// turn returns this node's turn among the readers; 0 reads.
	turn      func() int
	startedAt time.Time
	mu        sync.Mutex
	// currentAt is when the store's operator table was last known to be current.
	currentAt time.Time // guarded by mu
	// lastOutage is when the cached store state was last so old that entries of servers
	// may have expired meanwhile.
	lastOutage time.Time // guarded by mu
	hasFailed  bool      // guarded by mu; the last call of this node failed
	// standInAt is when this node last got an answer while it reads in place of the
	// designated reader, else the zero time.
	standInAt time.Time // guarded by mu
	// watches end the open watches of the tables that do not show the store's age.
	watches map[string]context.CancelFunc // guarded by mu; by table
}

func newReader(store gossip.Store, rows *gossip.Map, m *telemetry.ForwardMetrics, rank func(gossip.Row) uint64, turn func() int, log *zap.Logger) *reader {
	return &reader{store: store, rows: rows, log: log, rank: rank, turn: turn, startedAt: time.Now(), watches: map[string]context.CancelFunc{}, countCall: func(use, result string) { m.StoreCalls.WithLabelValues(use, result).Inc() }}
}

// age returns how long ago the cached store state was last known to be current.
func (r *reader) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.currentAt.IsZero() {
		return time.Hour
	}
	return time.Since(r.currentAt)
}

// observeAge records the age of another node's store state.
func (r *reader) observeAge(age time.Duration) {
	at := time.Now().Add(-age)
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.currentAt) {
		r.currentAt = at
	}
}

// shouldRead reports whether this node is to read the store.
func (r *reader) shouldRead() bool {
	turn := r.turn()
	if turn == 0 || r.isStandingIn() {
		return true
	}
	r.mu.Lock()
	neverCurrent := r.currentAt.IsZero()
	r.mu.Unlock()
	if neverCurrent {
		return time.Since(r.startedAt) > bootstrapListenTime+time.Duration(min(turn, 5))*standbyStep
	}
	return r.age() > staleAfter+time.Duration(min(turn, 5))*standbyStep
}

// isStandingIn reports whether this node reads in place of the designated reader. It stops
// once another node's state is newer, as that node reads.
func (r *reader) isStandingIn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.standInAt.IsZero() {
		return false
	}
	if lead := r.currentAt.Sub(r.standInAt); lead > handOverLead {
		r.standInAt = time.Time{}
		r.log.Info("another node reads the store again", zap.Int64("lead_ms", lead.Milliseconds()))
		return false
	}
	return true
}

// sinceOutage returns how long ago the last outage of the store ended. A store that
// only this node cannot reach counts as available: its updates come from other nodes.
func (r *reader) sinceOutage() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastOutage.IsZero() {
		return time.Hour
	}
	return time.Since(r.lastOutage)
}

// recordOutage records an outage while it lasts.
func (r *reader) recordOutage() {
	age := r.age()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.currentAt.IsZero() && age > outageAge {
		r.lastOutage = time.Now()
	}
}

// recordSuccess records a successful call; tracksAge is as in follow. A standby whose state
// was stale goes on reading: the other tables have to be read as well.
func (r *reader) recordSuccess(tracksAge bool) {
	isStandby, wasStandingIn := r.turn() != 0, r.isStandingIn()
	r.mu.Lock()
	wasFailing, wasStale := r.hasFailed, !r.currentAt.IsZero() && time.Since(r.currentAt) > staleAfter
	r.hasFailed = false
	if tracksAge {
		r.currentAt, r.standInAt = time.Now(), time.Time{}
		if isStandby && (wasStandingIn || wasStale) {
			r.standInAt = r.currentAt
		}
	}
	r.mu.Unlock()
	if wasFailing {
		r.log.Info("store regained")
	}
	if tracksAge && isStandby && wasStale && !wasStandingIn {
		r.log.Info("reading the store in place of the designated reader")
	}
}

// recordFailure records a failed call. The first failure of the table that tracksAge ends
// the open watches of the others: a store that turns a node away may leave them unanswered
// until long after it serves the node again.
func (r *reader) recordFailure(table string, tracksAge bool, err error) {
	r.mu.Lock()
	wasFailing := r.hasFailed
	r.hasFailed = true
	if tracksAge {
		r.standInAt = time.Time{}
		for _, end := range r.watches {
			end()
		}
	}
	r.mu.Unlock()
	if !wasFailing {
		r.log.Warn("store lost", zap.String("table", table), telemetry.ErrorField(err), zap.Int64("age_ms", r.age().Milliseconds()))
	}
}

// follow reads one table until ctx ends. tracksAge is set for the table whose answers
// show the configuration's age.
func (r *reader) follow(ctx context.Context, table string, wait, pause time.Duration, tracksAge bool) {
	failures := 0
	for ctx.Err() == nil {
		// Only the operator's table probes whether the store is back.
		if !r.shouldRead() {
			failures = 0 // those of an outage that others have ended
			loop.Sleep(ctx, idlePause)
			continue
		}
		if !tracksAge && r.isFailing() {
			loop.Sleep(ctx, idlePause)
			continue
		}
		if hasEnded, err := r.call(ctx, table, wait, tracksAge); hasEnded {
			continue
		} else if err != nil {
			if ctx.Err() == nil {
				r.recordFailure(table, tracksAge, err)
			}
			failures++
			loop.Sleep(ctx, backoff(failures, r.turn() == 0, rand.Float64()))
			continue
		}
		failures = 0
		r.recordSuccess(tracksAge)
		if tracksAge && r.isStandingIn() {
			loop.Sleep(ctx, time.Duration(rand.Float64()*float64(maxStandInPause)))
		}
		loop.Sleep(ctx, pause)
	}
}

// call brings a table up to date once. hasEnded is set if the call was ended because the
// store was lost.
func (r *reader) call(ctx context.Context, table string, wait time.Duration, tracksAge bool) (hasEnded bool, err error) {
	if tracksAge {
		if r.turn() != 0 && !r.isStandingIn() {
			wait = 0 // an answer at once tells the other standbys that they need not read
		}
		return false, r.syncTable(ctx, table, wait)
	}
	callCtx, end := context.WithCancel(ctx)
	defer end()
	r.mu.Lock()
	hasEnded = r.hasFailed
	r.watches[table] = end
	r.mu.Unlock()
	if hasEnded {
		return true, nil
	}
	err = r.syncTable(callCtx, table, wait)
	return err != nil && callCtx.Err() != nil && ctx.Err() == nil, err
}

// backoff returns the wait after a number of failed calls in a row. random is a number
// within 0 to 1.
func backoff(failures int, isReader bool, random float64) time.Duration {
	limit := maxRetryPause
	if isReader {
		limit = maxReaderRetryPause
	}
	pause := min(firstRetryPause<<min(failures-1, 8), limit)
	return pause - time.Duration(random*float64(pause)/2)
}

// isFailing reports whether this node's last call failed.
func (r *reader) isFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.hasFailed
}

// errNoProgress is returned for a full read that is no newer than the state whose history
// is gone. The next watch would be refused again, so calls back off.
var errNoProgress = errors.New("the whole table is no newer than the cached one: read again later")

// syncTable reads a table as a whole if it is not cached, else its changes.
func (r *reader) syncTable(ctx context.Context, table string, wait time.Duration) error {
	cursor := r.rows.Cursor(table)
	if cursor.IsZero() {
		return r.readTable(ctx, table)
	}
	rows, at, err := r.store.Watch(ctx, table, cursor, wait)
	r.countCall("watch", outcomeOf(err))
	switch {
	case errors.Is(err, gossip.ErrHistoryGone), errors.Is(err, gossip.ErrRestored):
		cause := "store no longer has the history, reading the whole table"
		if errors.Is(err, gossip.ErrRestored) {
			cause = "store was restored, reading the whole table"
		}
		r.log.Info(cause, zap.String("table", table), zap.Uint64("era", cursor.Era), zap.Uint64("version", cursor.Version))
		if err := r.readTable(ctx, table); err != nil {
			return err
		}
		if !cursor.Before(r.rows.Cursor(table)) {
			return errNoProgress
		}
		return nil
	case err != nil:
		return err
	}
	r.rows.Advance(table, r.ranked(rows), at)
	return nil
}

// readTable reads a table as a whole.
func (r *reader) readTable(ctx context.Context, table string) error {
	rows, at, err := r.store.Read(ctx, table)
	r.countCall("read", outcomeOf(err))
	if err != nil {
		return err
	}
	before := r.rows.Cursor(table)
	if !before.IsZero() && before.Era < at.Era {
		r.logRestore(table, rows, before, at)
	}
	r.rows.Replace(table, r.ranked(rows), at)
	return nil
}

// maxLoggedKeys bounds the keys in one log line.
const maxLoggedKeys = 20

// logRestore logs which rows of a table the store lost when it was restored from a copy.
func (r *reader) logRestore(table string, rows []gossip.Row, before, at gossip.Revision) {
	restored := map[string]bool{}
	for _, row := range rows {
		restored[row.Key] = true
	}
	var lost []string
	for _, row := range r.rows.List(table) {
		if !restored[row.Key] {
			lost = append(lost, row.Key)
		}
	}
	slices.Sort(lost)
	r.log.Warn("store was restored from a copy", zap.String("table", table), zap.Uint64("era", at.Era), zap.Uint64("version", at.Version), zap.Uint64("era_before", before.Era),
		zap.Uint64("version_before", before.Version), zap.Int("rows", len(rows)), zap.Int("lost", len(lost)), zap.Strings("lost_keys", lost[:min(len(lost), maxLoggedKeys)]))
}

// ranked sets the ranks of rows that were read.
func (r *reader) ranked(rows []gossip.Row) []gossip.Row {
	for i := range rows {
		rows[i].Rank = r.rank(rows[i])
	}
	return rows
}

// outcomeOf returns the metric label for the result of a call.
func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
