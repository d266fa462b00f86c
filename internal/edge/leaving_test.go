package edge

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/news"
	"github.com/cowslipfall/cowslipfall/internal/pool"
)

// A node passes on what a server said in an answer. Others stop before they
// have sent there themselves, one that starts does not begin, and the next start
// of the server is used.
func TestLeavingServerIsToldToOthers(t *testing.T) {
	is := is.New(t)
	rows := news.NewMap(nil)
	teller := leaving{pool: pool.New(), rows: rows, next: counter(), log: zap.NewNop()}
	server := pool.Server{ID: "x", Service: "s", Started: 5}
	teller.publish(server)
	told := rows.List(tableLeaving)
	is.Equal(len(told), 1)
	for _, isListedFirst := range []bool{true, false} {
		p := pool.New()
		other := leaving{pool: p, log: zap.NewNop()}
		if isListedFirst {
			p.Update([]pool.Server{server}, start)
		}
		other.apply(append(told, news.Row{Key: "bad", Data: []byte("{")}), start)
		p.Update([]pool.Server{server}, start)
		is.True(!p.Member("x").Present())
		next := server
		next.Started = 6
		p.Update([]pool.Server{next}, start)
		is.True(p.Member("x").Present())
	}
}
