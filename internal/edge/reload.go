package edge

import (
	"log"
	"reflect"
	"time"

	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

// ReloadInterval is how often the settings are read again without a signal.
const ReloadInterval = time.Second

// Reload reads the settings again. Settings that cannot be used leave the last
// good ones; addresses stay until the process starts again.
func (n *Node) Reload(signalled bool) {
	next, err := n.o.Reload()
	if err != nil {
		n.o.Log.Error("settings refused, the last good ones stay", telemetry.Cause(err))
		return
	}
	old := n.settings.Load()
	if reflect.DeepEqual(*old, next) {
		if signalled {
			n.o.Log.Info("settings read again, nothing changed")
		}
		return
	}
	n.settings.Store(&next)
	n.o.Log.Info("settings changed", zap.Any("before", old), zap.Any("after", next))
}

// quiet passes the HTTP server's complaints about single connections to the
// debug level.
func quiet(l *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(l, zap.DebugLevel)
	if err != nil {
		return nil
	}
	return std
}
