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

// Reload reads the settings again. Invalid settings leave the last valid ones in
// force. Changed addresses take effect only at the next start of the process.
func (n *Node) Reload(signalled bool) {
	next, err := n.options.Reload()
	if err != nil {
		n.options.Log.Error("settings refused, keeping the last valid ones", telemetry.ErrorField(err))
		return
	}
	old := n.settings.Load()
	if reflect.DeepEqual(*old, next) {
		if signalled {
			n.options.Log.Info("settings read again, no changes")
		}
		return
	}
	n.settings.Store(&next)
	n.updateWarmups()
	n.options.Log.Info("settings changed", zap.Any("before", old), zap.Any("after", next))
}

// newDebugLogger logs the HTTP server's errors on single connections at debug level.
func newDebugLogger(l *zap.Logger) *log.Logger {
	std, err := zap.NewStdLogAt(l, zap.DebugLevel)
	if err != nil {
		return nil
	}
	return std
}
