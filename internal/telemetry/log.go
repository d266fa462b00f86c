package telemetry

import (
	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/config"
)

// NewLogger returns a logger with the level and format of the settings.
func NewLogger(s config.Settings) (*zap.Logger, error) {
	c := zap.NewProductionConfig()
	if s.LogFormat == "console" {
		c = zap.NewDevelopmentConfig()
	}
	level, err := zap.ParseAtomicLevel(s.LogLevel)
	if err != nil {
		return nil, errors.Wrap(err, "log_level")
	}
	c.Level = level
	log, err := c.Build()
	if err != nil {
		return nil, errors.Wrap(err, "build logger")
	}
	return log.With(zap.String("node", s.ID)), nil
}
