package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/infra"
	"github.com/cowslipfall/cowslipfall/internal/standin"
)

// change returns an operator's change with content that depends on the operator.
func change(author string, base uint64) config.Change {
	return config.Change{Base: base, Author: author, Note: "by " + author, Edit: func(r *config.Revision) error {
		r.Config = &config.Config{Ranks: map[string]*config.Rank{author: {}}}
		return nil
	}}
}

// Of several operators who change the same revision at once, one is accepted. The
// others get a RaceError with the accepted revision, and their changes are not
// published.
func TestOneOfRacingOperatorsIsAccepted(t *testing.T) {
	is := is.New(t)
	p := standin.NewPlatform(standin.PlatformOptions{})
	store := config.NewStore(p, p)
	const operators = 8
	var mu sync.Mutex
	var wg sync.WaitGroup
	accepted, races := []*config.Revision{}, []*config.RaceError{}
	for i := range operators {
		wg.Go(func() {
			rev, err := store.Apply(context.Background(), change(fmt.Sprintf("operator-%d", i), 0))
			mu.Lock()
			defer mu.Unlock()
			var race *config.RaceError
			switch {
			case err == nil:
				accepted = append(accepted, rev)
			case errors.As(err, &race):
				races = append(races, race)
			default:
				t.Errorf("operator %d: %v", i, err)
			}
		})
	}
	wg.Wait()
	is.Equal(len(accepted), 1)
	is.Equal(len(races), operators-1)
	for _, race := range races {
		is.Equal(race.Newest.Author, accepted[0].Author) // names the first author
		is.True(len(race.Changes) > 0)                   // and lists the differences
	}
	newest, err := store.Newest(context.Background())
	is.NoErr(err)
	is.Equal(newest.Number, uint64(1))
	is.Equal(newest.Author, accepted[0].Author)
}

// flakyTable is a table whose reads fail after remainingReads reads.
type flakyTable struct {
	infra.Table
	remainingReads int
}

func (f *flakyTable) Get(ctx context.Context, key string) (infra.Row, error) {
	if f.remainingReads == 0 {
		return infra.Row{}, infra.ErrUnavailable
	}
	f.remainingReads--
	return f.Table.Get(ctx, key)
}

// A change whose reply is lost is recognised as accepted, at once or when the
// operator applies it again. It makes only one revision.
func TestLostReplyMakesOneRevision(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := standin.NewPlatform(standin.PlatformOptions{})
	_, err := config.NewStore(p, p).Apply(ctx, change("first", 0))
	is.NoErr(err)

	p.Faults.Set(standin.FaultState{LoseReplies: 1})
	rev, err := config.NewStore(p, p).Apply(ctx, change("second", 1))
	is.NoErr(err)
	is.Equal(rev.Number, uint64(2))

	p.Faults.Set(standin.FaultState{LoseReplies: 1})
	_, err = config.NewStore(&flakyTable{Table: p, remainingReads: 1}, p).Apply(ctx, change("third", 2))
	is.True(errors.Is(err, infra.ErrUnavailable)) // the outcome is unknown
	rev, err = config.NewStore(p, p).Apply(ctx, change("third", 2))
	is.NoErr(err)
	is.Equal(rev.Number, uint64(3))
	newest, err := config.NewStore(p, p).Newest(ctx)
	is.NoErr(err)
	is.Equal(newest.Number, uint64(3))

	_, err = config.NewStore(p, p).Apply(ctx, change("fourth", 2))
	var race *config.RaceError
	is.True(errors.As(err, &race)) // another operator's change does not count as one's own
}

// A change that stops after storing the content, but before committing the
// revision, leaves the newest revision unchanged. The next change is accepted.
func TestContentWithoutRevisionIsIgnored(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := standin.NewPlatform(standin.PlatformOptions{})
	store := config.NewStore(p, p)
	_, err := store.Apply(ctx, change("first", 0))
	is.NoErr(err)
	stopped, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = config.NewStore(&frozenWrites{p}, p).Apply(stopped, change("second", 1))
	is.True(err != nil)
	newest, err := store.Newest(ctx)
	is.NoErr(err)
	is.Equal(newest.Author, "first")
	rev, err := store.Apply(ctx, change("third", 1))
	is.NoErr(err)
	is.Equal(rev.Number, uint64(2))
}

// frozenWrites is a table whose writes block until the context ends and never take
// effect.
type frozenWrites struct{ infra.Table }

func (frozenWrites) Commit(ctx context.Context, _ ...infra.Op) ([]uint64, error) {
	<-ctx.Done()
	return nil, infra.ErrUnavailable
}
