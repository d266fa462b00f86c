package forward

import (
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/pool"
)

func serverFields(m *pool.Member) []zap.Field {
	return []zap.Field{zap.String("server", m.ID), zap.String("service", m.Service), zap.String("address", m.Address), zap.String("version", m.Version)}
}
