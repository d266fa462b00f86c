package edge

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// quarantineKeyPrefix begins the keys of the rows that keep quarantines in the store,
	// for nodes that start after all others have ended. An operator lifts a quarantine by
	// removing its row.
	quarantineKeyPrefix = "quarantine/"
	// quarantineStoreInterval is how often quarantines that are missing in the store are
	// written.
	quarantineStoreInterval = time.Second
)

// suspects shares the requests and prompt parts that crashed backend servers with the
// other nodes. It implements forward.Suspects.
type suspects struct {
	*dispatch.Suspects
	nodeKey     string
	rows        *gossip.Map
	log         *zap.Logger
	nextVersion func() uint64
	isHub       func() bool
	trials      dispatch.Trials
	announcedMu sync.Mutex
	announced   map[uint64]bool // guarded by announcedMu; quarantines that were logged
	// onQuarantine is called after a request or part was quarantined.
	onQuarantine func()
}

// Crashed implements forward.Suspects.
func (s *suspects) Crashed(fingerprint uint64, parts []string, isStarting bool, server string, running time.Duration, now time.Time) {
	s.publish(s.RecordCrashWhile(fingerprint, server, running, now))
	if len(parts) > 0 {
		var starting []dispatch.Part
		if isStarting {
			starting = dispatchParts(parts)
			s.log.Info("backend server crashed", zap.String("server", server), zap.Strings("suspected_parts", parts))
		}
		// A crash while no part was starting makes suspected parts less likely to blame.
		s.publish(s.RecordPartCrash(fingerprint, starting, server, now)...)
	}
	s.announce(now)
}

// Survived implements forward.Suspects.
func (s *suspects) Survived(fingerprint uint64, parts []string, now time.Time) {
	s.RecordStart(fingerprint, dispatchParts(parts), now)
	if changed := s.RecordSurvival(dispatchParts(parts), now); len(changed) > 0 {
		s.publish(changed...)
		s.announce(now)
	}
}

// Cleared implements forward.Suspects.
func (s *suspects) Cleared(fingerprint uint64, parts []string, now time.Time) {
	s.Survived(fingerprint, parts, now)
	if !s.ClearCrashes(fingerprint, now) {
		return
	}
	if e, ok := s.Get(fingerprint); ok {
		s.publish(e)
	}
}

// IsSuspected implements forward.Suspects.
func (s *suspects) IsSuspected(parts []string) bool {
	suspected, _ := s.SuspectedParts(dispatchParts(parts))
	return len(suspected) > 0
}

// BeginTrial implements forward.Suspects.
func (s *suspects) BeginTrial(ids []string, now time.Time) (end func(), wait time.Duration) {
	return s.trials.Begin(s.Suspects, dispatchParts(ids), now)
}

// IsQuarantined implements forward.Suspects.
func (s *suspects) IsQuarantined(fingerprint uint64, parts []string, now time.Time) bool {
	if s.Suspects.IsQuarantined(fingerprint, now) {
		return true
	}
	_, ok := s.QuarantinedPart(dispatchParts(parts), now)
	return ok
}

func dispatchParts(ids []string) []dispatch.Part {
	parts := make([]dispatch.Part, len(ids))
	for i, id := range ids {
		parts[i] = dispatch.NewPart(id)
	}
	return parts
}

// publish publishes records under this node's key.
func (s *suspects) publish(records ...wire.Suspect) {
	var rows []gossip.Row
	for _, e := range records {
		raw, err := json.Marshal(e)
		if err != nil {
			s.log.Error("cannot encode suspect, not published", telemetry.ErrorField(err))
			continue
		}
		rows = append(rows, gossip.Row{Table: tableSuspects, Key: strconv.FormatUint(e.Fingerprint, 16) + "/" + s.nodeKey, Version: s.nextVersion(), Data: raw})
	}
	if len(rows) > 0 {
		s.rows.Apply(rows)
	}
}

// announce logs quarantines that are new to this node or have ended, and calls
// onQuarantine if there are new ones.
func (s *suspects) announce(now time.Time) {
	quarantined := s.Quarantined(now)
	current, isNew := map[uint64]bool{}, false
	s.announcedMu.Lock()
	for _, e := range quarantined {
		current[e.Fingerprint] = true
		if s.announced[e.Fingerprint] {
			continue
		}
		isNew = true
		if e.Part != "" {
			s.log.Warn("prompt part quarantined after crashing backend servers", zap.String("part", e.Part), zap.Uint64("fingerprint", e.Fingerprint), zap.Any("servers", e.Lost), zap.Time("until", e.Until))
		} else {
			s.log.Warn("request quarantined after crashing backend servers", zap.Uint64("fingerprint", e.Fingerprint), zap.Any("servers", e.Lost))
		}
	}
	for key := range s.announced {
		if !current[key] {
			s.log.Info("quarantine ended", zap.Uint64("fingerprint", key))
		}
	}
	s.announced = current
	s.announcedMu.Unlock()
	if isNew {
		s.onQuarantine()
	}
}

// apply merges the suspects that other nodes published.
func (s *suspects) apply(rows []gossip.Row, now time.Time) {
	var list []wire.Suspect
	for _, r := range rows {
		if strings.HasSuffix(r.Key, "/"+s.nodeKey) {
			continue
		}
		var e wire.Suspect
		if err := json.Unmarshal(r.Data, &e); err != nil {
			s.log.Warn("cannot decode suspect", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		list = append(list, e)
	}
	s.merge(list, now)
}

// merge merges records of other nodes. A verdict that follows only from several of them is
// published by the hubs: a node that starts later cannot tell moments of crashes apart.
func (s *suspects) merge(list []wire.Suspect, now time.Time) {
	if len(list) == 0 {
		return
	}
	s.Merge(now, list)
	if verdicts := s.TakeVerdicts(); s.isHub() {
		s.publish(verdicts...)
	}
	s.announce(now)
}

// applyStored restores quarantines from the store, and lifts those whose row was removed. A
// quarantine that the store lost is kept, and stored again.
func (s *suspects) applyStored(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		hex, ok := strings.CutPrefix(r.Key, quarantineKeyPrefix)
		if !ok {
			continue
		}
		key, err := strconv.ParseUint(hex, 16, 64)
		if err != nil {
			s.log.Warn("invalid quarantine in the store skipped", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		if r.Lost {
			continue
		}
		if r.Deleted {
			if e, ok := s.Lift(key, now); ok {
				s.log.Warn("quarantine lifted by an operator", zap.String("part", e.Part), zap.Uint64("fingerprint", key))
				s.publish(e)
			}
			continue
		}
		var e wire.Suspect
		if err := json.Unmarshal(r.Data, &e); err != nil || e.Fingerprint != key {
			s.log.Warn("invalid quarantine in the store skipped", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		e.Convicted = true
		s.merge([]wire.Suspect{e}, now)
	}
}

// roundsToWithdraw is how many times in a row a stored quarantine is found not in force
// before its row is removed: rows reach the map before the suspects.
const roundsToWithdraw = 2

// storeQuarantines writes quarantines that the store does not hold, and removes the rows
// of those that have ended or were withdrawn. Only the first reader of the store does so.
func (n *Node) storeQuarantines(ctx context.Context) {
	if n.readerTurn() != 0 || n.rows.Cursor(tableSystem).IsZero() {
		return
	}
	inForce := map[string]bool{}
	for _, e := range n.suspects.Quarantined(time.Now()) {
		key := quarantineKey(e)
		inForce[key] = true
		if _, ok := n.rows.Get(tableSystem, key); ok {
			continue
		}
		raw, err := json.Marshal(e)
		if err == nil {
			_, err = n.options.Store.Write(ctx, tableSystem, key, n.rows.Expected(tableSystem, key), raw)
		}
		n.countQuarantineCall(err)
		n.quarantineRows[key] = 0
	}
	for _, r := range n.rows.List(tableSystem) {
		if _, isKnown := n.quarantineRows[r.Key]; !isKnown && strings.HasPrefix(r.Key, quarantineKeyPrefix) {
			n.quarantineRows[r.Key] = 0
		}
	}
	for key := range n.quarantineRows {
		if inForce[key] {
			n.quarantineRows[key] = 0
			continue
		}
		if n.quarantineRows[key]++; n.quarantineRows[key] < roundsToWithdraw {
			continue
		}
		err := n.options.Store.Remove(ctx, tableSystem, key)
		n.countQuarantineCall(err)
		if err == nil {
			delete(n.quarantineRows, key)
		}
	}
}

func (n *Node) countQuarantineCall(err error) {
	n.reader.countCall("quarantine", outcomeOf(err))
	if err != nil {
		n.options.Log.Info("quarantine not stored", telemetry.ErrorField(err))
	}
}
