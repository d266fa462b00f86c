package edge

import (
	"encoding/json"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// suspects shares the requests that crashed backend servers with the other nodes.
type suspects struct {
	*dispatch.Suspects
	nodeKey     string
	rows        *gossip.Map
	log         *zap.Logger
	nextVersion func() uint64
}

// Crashed implements forward.Suspects.
func (s *suspects) Crashed(fingerprint uint64, server string, now time.Time) {
	s.publish(s.Suspects.RecordCrash(fingerprint, server, now))
}

// Cleared implements forward.Suspects.
func (s *suspects) Cleared(fingerprint uint64, now time.Time) {
	if !s.Suspects.ClearCrashes(fingerprint, now) {
		return
	}
	if e, ok := s.Get(fingerprint); ok {
		s.publish(e)
	}
}

// publish publishes a suspect under this node's key.
func (s *suspects) publish(e wire.Suspect) {
	if e.Convicted {
		s.log.Warn("request quarantined after crashing backend servers", zap.Uint64("fingerprint", e.Fingerprint), zap.Any("servers", e.Lost))
	}
	raw, err := json.Marshal(e)
	if err != nil {
		s.log.Error("cannot encode suspect, not published", telemetry.ErrorField(err))
		return
	}
	key := strconv.FormatUint(e.Fingerprint, 16) + "/" + s.nodeKey
	s.rows.Apply([]gossip.Row{{Table: tableSuspects, Key: key, Version: s.nextVersion(), Data: raw}})
}

// apply merges the suspects that other nodes published.
func (s *suspects) apply(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		var e wire.Suspect
		if err := json.Unmarshal(r.Data, &e); err != nil {
			s.log.Warn("cannot decode suspect", zap.String("key", r.Key), telemetry.ErrorField(err))
			continue
		}
		s.Merge(now, []wire.Suspect{e})
	}
}
