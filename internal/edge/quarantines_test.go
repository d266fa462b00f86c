package edge

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/gossip"
)

// newTestSuspects returns the suspects of a node, and a function that returns the rows that
// it has published.
func newTestSuspects(node string) (*suspects, func() []gossip.Row) {
	rows := gossip.NewMap(func([]gossip.Row) {})
	s := &suspects{
		Suspects: dispatch.NewSuspectsWithLimit(crashesToRefuse), nodeKey: node, rows: rows, log: zap.NewNop(), nextVersion: versionCounter(),
		isHub: func() bool { return true }, onQuarantine: func() {},
	}
	return s, func() []gossip.Row { return rows.List(tableSuspects) }
}

// crashThrice makes a part the only suspect of three crashes, seen at different moments.
func crashThrice(s *suspects, part string) {
	for i, server := range []string{"x", "y", "z"} {
		at := startTime.Add(time.Duration(i) * time.Second)
		s.Crashed(uint64(i+1), []string{part, "subject" + server}, true, server, 0, at)
	}
}

// tableStore keeps the rows of the system's table.
type tableStore struct {
	fakeStore
	rows []gossip.Row
}

func (s *tableStore) Read(context.Context, string) ([]gossip.Row, gossip.Revision, error) {
	return s.rows, gossip.Revision{Version: 9}, nil
}

func (s *tableStore) Remove(_ context.Context, _, key string) error {
	s.rows = slices.DeleteFunc(s.rows, func(r gossip.Row) bool { return r.Key == key })
	return nil
}

// Guards against a part that crashes servers again because the nodes that know of it have
// ended, and against a lifted quarantine that older news brings back.
func TestQuarantineOutlivesNodesAndIsLifted(t *testing.T) {
	is, now := is.New(t), startTime.Add(3*time.Second)
	a, published := newTestSuspects("a")
	crashThrice(a, "p")
	is.True(a.IsQuarantined(9, []string{"q", "p"}, now))
	is.True(!a.IsQuarantined(9, []string{"q"}, now))
	late, _ := newTestSuspects("late")
	late.apply(published(), now)
	is.True(late.IsQuarantined(9, []string{"p"}, now)) // learned from another node
	e := a.Quarantined(now)[0]
	store := &tableStore{rows: []gossip.Row{{Table: tableSystem, Key: quarantineKey(e), Version: 5, Data: encode(t, e)}, {Table: tableSystem, Key: quarantineKeyPrefix + "no-hash", Version: 6}}}
	restarted, _ := newTestSuspects("restarted")
	restarted.applyStored(store.rows, now)
	is.True(restarted.IsQuarantined(9, []string{"p"}, now)) // learned from the store
	list, err := ListQuarantines(t.Context(), store)
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(LiftQuarantine(t.Context(), store, "other"), ErrNotQuarantined)
	is.NoErr(LiftQuarantine(t.Context(), store, "p"))
	is.Equal(len(store.rows), 1)
	removed := []gossip.Row{{Table: tableSystem, Key: quarantineKey(e), Version: 7, Deleted: true}}
	restarted.applyStored(removed, now)
	restarted.apply(published(), now)
	is.True(!restarted.IsQuarantined(9, []string{"p"}, now))
}
