package edge

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// maxCanaryShare bounds the share of sessions that a canary may get, and thereby the
// sessions that nodes publish.
const maxCanaryShare = 0.08

// sessionPublishInterval is how often a session in progress is published to the other
// nodes.
const sessionPublishInterval = time.Second

// sessionFraction maps a session to a number within 0 to 1, the same on all nodes.
func sessionFraction(service, session string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(session)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// sessionUse is the last use of a session.
type sessionUse struct {
	Version     string `json:"v"`
	lastUsed    time.Time
	publishedAt time.Time
}

// sessions caches the versions of the sessions that a canary may get, and shares them
// between nodes, so that a session in progress keeps its version whichever node serves
// it. It is safe for concurrent use.
type sessions struct {
	rows        *gossip.Map
	nextVersion func() uint64
	log         *zap.Logger
	mu          sync.Mutex
	uses        map[string]sessionUse // guarded by mu; by service and session
}

func newSessions(rows *gossip.Map, next func() uint64, log *zap.Logger) *sessions {
	return &sessions{rows: rows, nextVersion: next, log: log, uses: map[string]sessionUse{}}
}

// isCanaryCandidate reports whether a canary may get a session.
func isCanaryCandidate(service, session string) bool {
	return session != "" && sessionFraction(service, session) < maxCanaryShare
}

// version returns the version of a session used within ttl, or "".
func (s *sessions) version(service, session string, ttl time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.uses[service+"/"+session]
	if !ok || now.Sub(u.lastUsed) > ttl {
		return ""
	}
	return u.Version
}

// recordUse records a use and publishes it to the other nodes at intervals.
func (s *sessions) recordUse(service, session, version string, now time.Time) {
	if !isCanaryCandidate(service, session) {
		return
	}
	key := service + "/" + session
	s.mu.Lock()
	u := s.uses[key]
	publish := u.Version != version || now.Sub(u.publishedAt) > sessionPublishInterval
	u.Version, u.lastUsed = version, now
	if publish {
		u.publishedAt = now
	}
	s.uses[key] = u
	s.mu.Unlock()
	if !publish {
		return
	}
	raw, err := json.Marshal(u)
	if err != nil {
		s.log.Error("cannot encode session, not published", telemetry.ErrorField(err))
		return
	}
	s.rows.Apply([]gossip.Row{{Table: tableSessions, Key: key, Version: s.nextVersion(), Data: raw}})
}

// apply records the uses that other nodes published.
func (s *sessions) apply(rows []gossip.Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		var u sessionUse
		if err := json.Unmarshal(r.Data, &u); err != nil {
			s.log.Warn("cannot decode session", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		old := s.uses[r.Key]
		u.lastUsed, u.publishedAt = now, old.publishedAt
		s.uses[r.Key] = u
	}
}

// prune drops sessions that ended.
func (s *sessions) prune(ttl time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, u := range s.uses {
		if now.Sub(u.lastUsed) > 2*ttl {
			delete(s.uses, key)
		}
	}
}
