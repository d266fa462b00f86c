package edge

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// canaryMost bounds the share of sessions that a canary may get, and so of those
// that nodes tell each other.
const canaryMost = 0.08

// sessionPublishInterval is how often a session under way is told to the other nodes.
const sessionPublishInterval = time.Second

// sessionPoint places a session within 0 to 1, alike on all nodes.
func sessionPoint(service, session string) float64 {
	h := xxhash.New()
	_, _ = h.WriteString(service)
	_, _ = h.WriteString("\x00")
	_, _ = h.WriteString(session)
	return float64(h.Sum64()>>11) / (1 << 53)
}

// sessionUse is the last use of a session.
type sessionUse struct {
	Version   string `json:"v"`
	at        time.Time
	published time.Time
}

// sessions remembers the versions of the sessions that a canary may get, and
// shares them, so that a session under way keeps its version whichever node
// serves it. It is safe for concurrent use.
type sessions struct {
	rows *news.Map
	next func() uint64
	log  *zap.Logger
	mu   sync.Mutex
	uses map[string]sessionUse // guarded by mu; by service and session
}

func newSessions(rows *news.Map, next func() uint64, log *zap.Logger) *sessions {
	return &sessions{rows: rows, next: next, log: log, uses: map[string]sessionUse{}}
}

// inCanary tells whether a session is one that a canary may get.
func inCanary(service, session string) bool {
	return session != "" && sessionPoint(service, session) < canaryMost
}

// version returns the version of a session used within life, or "".
func (s *sessions) version(service, session string, life time.Duration, now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.uses[service+"/"+session]
	if !ok || now.Sub(u.at) > life {
		return ""
	}
	return u.Version
}

// used notes a use and tells it to the other nodes now and then.
func (s *sessions) used(service, session, version string, now time.Time) {
	if !inCanary(service, session) {
		return
	}
	key := service + "/" + session
	s.mu.Lock()
	u := s.uses[key]
	publish := u.Version != version || now.Sub(u.published) > sessionPublishInterval
	u.Version, u.at = version, now
	if publish {
		u.published = now
	}
	s.uses[key] = u
	s.mu.Unlock()
	if !publish {
		return
	}
	raw, err := json.Marshal(u)
	if err != nil {
		s.log.Error("session is not published", telemetry.Cause(err))
		return
	}
	s.rows.Apply([]news.Row{{Table: tableSessions, Key: key, Version: s.next(), Data: raw}})
}

// apply notes what other nodes tell.
func (s *sessions) apply(rows []news.Row, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range rows {
		var u sessionUse
		if err := json.Unmarshal(r.Data, &u); err != nil {
			s.log.Warn("session is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		old := s.uses[r.Key]
		u.at, u.published = now, old.published
		s.uses[r.Key] = u
	}
}

// prune forgets sessions that ended.
func (s *sessions) prune(life time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, u := range s.uses {
		if now.Sub(u.at) > 2*life {
			delete(s.uses, key)
		}
	}
}
