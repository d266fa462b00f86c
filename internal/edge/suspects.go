package edge

import (
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// suspects shares the requests that brought backend servers down with the
// other nodes.
type suspects struct {
	*dispatch.Suspects
	self string
	rows *news.Map
	log  *zap.Logger
	next func() uint64
}

// Crashed implements forward.Suspects.
func (s *suspects) Crashed(fingerprint uint64, server string, now time.Time) {
	s.publish(s.Suspects.Crashed(fingerprint, server, now))
}

// Cleared implements forward.Suspects.
func (s *suspects) Cleared(fingerprint uint64, now time.Time) {
	if !s.Suspects.Cleared(fingerprint, now) {
		return
	}
	if e, ok := s.Record(fingerprint); ok {
		s.publish(e)
	}
}

func (s *suspects) publish(e wire.Suspect) {
	if e.Convicted {
		s.log.Warn("request convicted of bringing backend servers down", zap.Uint64("fingerprint", e.Fingerprint), zap.Any("servers", e.Lost))
	}
	raw, err := json.Marshal(e)
	if err != nil {
		s.log.Error("suspect is not published", telemetry.Cause(err))
		return
	}
	key := strconv.FormatUint(e.Fingerprint, 16) + "/" + s.self
	s.rows.Apply([]news.Row{{Table: tableSuspects, Key: key, Version: s.next(), Data: raw}})
}

// apply merges what other nodes know.
func (s *suspects) apply(rows []news.Row, now time.Time) {
	for _, r := range rows {
		var e wire.Suspect
		if err := json.Unmarshal(r.Data, &e); err != nil {
			s.log.Warn("suspect is unreadable", zap.String("key", r.Key), telemetry.Cause(err))
			continue
		}
		s.Merge(now, []wire.Suspect{e})
	}
}
