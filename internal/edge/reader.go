package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/loop"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	// operatorWait is how long one question for changes of the configuration
	// stays open. It is also the heartbeat by which nodes know that the store
	// is within reach.
	operatorWait = 400 * time.Millisecond
	// restWait is the same for tables whose changes may take longer to show.
	restWait = 10 * time.Second
	// serversPause is the least time between two questions for servers, so that
	// one answer carries the changes of many.
	serversPause = 350 * time.Millisecond
	// staleAfter is the age of the store's news at which a node that is not the
	// reader asks the store itself. It leaves half of the two seconds in which a
	// configuration must be in force.
	staleAfter = 1300 * time.Millisecond
	// standbyStep spreads the standbys: the first in line begins first.
	standbyStep = 120 * time.Millisecond
	// retryPause is the wait after a first failed call. It doubles with each
	// further one up to retryMost, for the reader up to readerRetryMost, with up
	// to half of it off at random: a store that is away sees few calls, and the
	// first node that it serves again tells the others.
	retryPause      = 200 * time.Millisecond
	readerRetryMost = 400 * time.Millisecond
	retryMost       = 2 * time.Second
	// outageAge is the age of the store's news from which entries may lapse: a
	// server's is removed after three of its heartbeats, of a second or more.
	outageAge = 2500 * time.Millisecond
	// idlePause is how often a standby looks whether it must read.
	idlePause = 60 * time.Millisecond
)

// reader follows the store's tables while this node is the one to read them,
// or hears nothing of them from others.
type reader struct {
	store news.Store
	rows  *news.Map
	log   *zap.Logger
	calls func(use, result string)
	// turn returns this node's place among the readers; 0 reads.
	turn  func() int
	began time.Time
	mu    sync.Mutex
	// heard is when the store's operator table was last known to be current.
	heard time.Time // guarded by mu
	// outage is when news of the store were last so old that entries of servers
	// may have lapsed meanwhile.
	outage time.Time // guarded by mu
	own    bool      // guarded by mu; the last call of this node failed
}

func newReader(store news.Store, rows *news.Map, m *telemetry.ForwardMetrics, turn func() int, log *zap.Logger) *reader {
	return &reader{store: store, rows: rows, log: log, turn: turn, began: time.Now(), calls: func(use, result string) { m.StoreCalls.WithLabelValues(use, result).Inc() }}
}

// age returns how long ago the store's state was last known.
func (r *reader) age() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heard.IsZero() {
		return time.Hour
	}
	return time.Since(r.heard)
}

// observeAge takes the age of another node's knowledge.
func (r *reader) observeAge(age time.Duration) {
	at := time.Now().Add(-age)
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.heard) {
		r.heard = at
	}
}

// reads tells whether this node is to ask the store.
func (r *reader) reads() bool {
	turn := r.turn()
	if turn == 0 {
		return true
	}
	r.mu.Lock()
	never := r.heard.IsZero()
	r.mu.Unlock()
	if never {
		return time.Since(r.began) > listenTime+time.Duration(min(turn, 5))*standbyStep
	}
	return r.age() > staleAfter+time.Duration(min(turn, 5))*standbyStep
}

// sinceOutage returns how long ago the last outage of the store ended. A store
// that only this node cannot reach is none: its news come from others.
func (r *reader) sinceOutage() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.outage.IsZero() {
		return time.Hour
	}
	return time.Since(r.outage)
}

// noteOutage notes an outage while it lasts.
func (r *reader) noteOutage() {
	age := r.age()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.heard.IsZero() && age > outageAge {
		r.outage = time.Now()
	}
}

func (r *reader) succeeded(current bool) {
	r.mu.Lock()
	was := r.own
	r.own = false
	if current {
		r.heard = time.Now()
	}
	r.mu.Unlock()
	if was {
		r.log.Info("store regained")
	}
}

func (r *reader) failed(table string, err error) {
	r.mu.Lock()
	was := r.own
	r.own = true
	r.mu.Unlock()
	if !was {
		r.log.Warn("store lost", zap.String("table", table), telemetry.Cause(err), zap.Int64("age_ms", r.age().Milliseconds()))
	}
}

// follow reads one table until ctx ends. current tells that its answers show
// the configuration's age.
func (r *reader) follow(ctx context.Context, table string, wait, pause time.Duration, current bool) {
	failures := 0
	for ctx.Err() == nil {
		// The operator's table alone finds out whether the store is back.
		if !r.reads() || (!current && r.lostOwn()) {
			loop.Sleep(ctx, idlePause)
			continue
		}
		if err := r.step(ctx, table, wait); err != nil {
			if ctx.Err() == nil {
				r.failed(table, err)
			}
			failures++
			loop.Sleep(ctx, backoff(failures, r.turn() == 0, rand.Float64()))
			continue
		}
		failures = 0
		r.succeeded(current)
		loop.Sleep(ctx, pause)
	}
}

// backoff is the wait after some failed calls in a row; draw is a random number
// within 0 to 1.
func backoff(failures int, isReader bool, draw float64) time.Duration {
	most := retryMost
	if isReader {
		most = readerRetryMost
	}
	pause := min(retryPause<<min(failures-1, 8), most)
	return pause - time.Duration(draw*float64(pause)/2)
}

// lostOwn tells whether this node's last call failed.
func (r *reader) lostOwn() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.own
}

// step reads a table whole if it is not known, else its changes.
func (r *reader) step(ctx context.Context, table string, wait time.Duration) error {
	cursor := r.rows.Cursor(table)
	if cursor == 0 {
		rows, version, err := r.store.Read(ctx, table)
		r.calls("read", outcomeOf(err))
		if err == nil {
			r.rows.Replace(table, rows, version)
		}
		return err
	}
	rows, version, err := r.store.Watch(ctx, table, cursor, wait)
	r.calls("watch", outcomeOf(err))
	if errors.Is(err, news.ErrHistory) {
		r.log.Info("store's history is gone, reading the table whole", zap.String("table", table), zap.Uint64("version", cursor))
		rows, version, err = r.store.Read(ctx, table)
		r.calls("read", outcomeOf(err))
		if err == nil {
			r.rows.Replace(table, rows, version)
		}
		return err
	}
	if err == nil {
		r.rows.Advance(table, rows, version)
	}
	return err
}

func outcomeOf(err error) string {
	if err != nil {
		return "failed"
	}
	return "ok"
}
