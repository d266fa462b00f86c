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

// change returns an operator's change, with a content of its own.
func change(author string, base uint64) config.Change {
	return config.Change{Base: base, Author: author, Note: "by " + author, Edit: func(r *config.Revision) error {
		r.Config = &config.Config{Ranks: map[string]*config.Rank{author: {}}}
		return nil
	}}
}

// Of operators who change the same revision at once, one is accepted, and the
// others are told whose change came first; nothing of theirs is stored.
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
		is.Equal(race.Newest.Author, accepted[0].Author) // told who was first
		is.True(len(race.Changes) > 0)                   // and what changed
	}
	newest, err := store.Newest(context.Background())
	is.NoErr(err)
	is.Equal(newest.Number, uint64(1))
	is.Equal(newest.Author, accepted[0].Author)
}

// flaky is a table whose reads fail on demand.
type flaky struct {
	infra.Table
	readsLeft int
}

func (f *flaky) Get(ctx context.Context, key string) (infra.Row, error) {
	if f.readsLeft == 0 {
		return infra.Row{}, infra.ErrUnavailable
	}
	f.readsLeft--
	return f.Table.Get(ctx, key)
}

// A change whose reply is lost is found to be accepted, at once or when the
// operator applies it again; it makes one revision.
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
	_, err = config.NewStore(&flaky{Table: p, readsLeft: 1}, p).Apply(ctx, change("third", 2))
	is.True(errors.Is(err, infra.ErrUnavailable)) // the outcome is unknown
	rev, err = config.NewStore(p, p).Apply(ctx, change("third", 2))
	is.NoErr(err)
	is.Equal(rev.Number, uint64(3))
	newest, err := config.NewStore(p, p).Newest(ctx)
	is.NoErr(err)
	is.Equal(newest.Number, uint64(3))

	_, err = config.NewStore(p, p).Apply(ctx, change("fourth", 2))
	var race *config.RaceError
	is.True(errors.As(err, &race)) // another's change is not taken for one's own
}

// A change whose operator dies between storing the content and the revision
// leaves the newest revision as it was, and the next change goes through.
func TestContentWithoutRevision(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	p := standin.NewPlatform(standin.PlatformOptions{})
	store := config.NewStore(p, p)
	_, err := store.Apply(ctx, change("first", 0))
	is.NoErr(err)
	halted, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = config.NewStore(&frozenWrites{p}, p).Apply(halted, change("second", 1))
	is.True(err != nil)
	newest, err := store.Newest(ctx)
	is.NoErr(err)
	is.Equal(newest.Author, "first")
	rev, err := store.Apply(ctx, change("third", 1))
	is.NoErr(err)
	is.Equal(rev.Number, uint64(2))
}

// frozenWrites is a table whose writes never take effect.
type frozenWrites struct{ infra.Table }

func (frozenWrites) Commit(ctx context.Context, _ ...infra.Op) ([]uint64, error) {
	<-ctx.Done()
	return nil, infra.ErrUnavailable
}
