package edge

import (
	"context"
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	productconfig "github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// quarantineStore keeps the rows of quarantines.
type quarantineStore struct {
	listStore
	mu   sync.Mutex
	kept map[string][]byte // guarded by mu
}

func (s *quarantineStore) Write(_ context.Context, _, key string, _ gossip.Revision, data []byte) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if strings.HasPrefix(key, quarantineKeyPrefix) {
		s.kept[key] = data
	}
	return true, nil
}

func (s *quarantineStore) Remove(_ context.Context, _, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.kept, key)
	return nil
}

// count returns the number of stored quarantines that are in force.
func (s *quarantineStore) count() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, data := range s.kept {
		var e wire.Suspect
		if json.Unmarshal(data, &e) == nil && e.Convicted {
			n++
		}
	}
	return n
}

// Guards against a sound part that nodes refuse again after a restart of all, because the
// quarantine was withdrawn and its row in the store was left.
func TestWithdrawnQuarantineLeavesTheStore(t *testing.T) {
	is := is.New(t)
	_, port, err := net.SplitHostPort(freeAddress(t))
	is.NoErr(err)
	inner, err := strconv.Atoi(port)
	is.NoErr(err)
	tracer, err := telemetry.NewTracer(t.Context(), productconfig.DefaultSettings())
	is.NoErr(err)
	store := &quarantineStore{listStore: listStore{rows: map[string][]gossip.Row{"o": {{Table: "o", Key: "c", Version: 1, Data: []byte("1")}}}}, kept: map[string][]byte{}}
	n, err := New(Options{
		Settings: Settings{Node: "n1", IP: "127.0.0.1", DataCentre: "a", Callers: freeAddress(t), InnerPort: inner, StopTime: 100 * time.Millisecond, SessionLife: time.Second},
		Schema:   streamSchema{}, Store: store, ReadyPath: "/ready", DirectoryPath: "/directory", Log: zap.NewNop(), Metrics: telemetry.NewForwardMetrics(), Tracer: tracer,
	})
	is.NoErr(err)
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		n.Run(ctx)
		close(done)
	}()
	for i, server := range []string{"x", "y", "z"} {
		n.suspects.Crashed(uint64(i+1), []string{"p", "subject" + server}, true, server, 0, time.Now().Add(time.Duration(i-3)*time.Second))
	}
	time.Sleep(2 * time.Second)
	stored := store.count()
	n.suspects.Survived(1, []string{"p"}, time.Now())
	time.Sleep(2 * time.Second)
	stop()
	<-done
	is.Equal(stored, 1)
	is.Equal(store.count(), 0)
}
