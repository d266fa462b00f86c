package node

import (
	"context"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/dispatch"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

const (
	// grantsInterval is how often an owner asks the holders of its places
	// whether they still hold them.
	grantsInterval = 10 * time.Second
	grantsTimeout  = time.Second
)

// reclaim frees places whose release was lost on the way.
func (n *Node) reclaim(ctx context.Context) {
	for holder, held := range n.owner.Held(time.Now().Add(-grantsInterval)) {
		ended, err := n.ended(ctx, holder, held)
		if err != nil {
			continue
		}
		n.owner.Reclaim(ended)
	}
}

// ended asks a holder which of the places it does not hold any more.
func (n *Node) ended(ctx context.Context, holder string, held []dispatch.Held) ([]dispatch.Held, error) {
	args := wire.GrantsArgs{}
	for _, h := range held {
		args.Grants = append(args.Grants, h.Grant)
	}
	reply := &wire.GrantsReply{}
	if holder == n.options.Settings.ID {
		reply.Ended = n.dispatcher.Ended(args.Grants)
	} else {
		ctx, cancel := context.WithTimeout(ctx, grantsTimeout)
		defer cancel()
		if err := n.call(ctx, holder, "Grants", args, reply); err != nil {
			return nil, err
		}
	}
	over := map[string]bool{}
	for _, g := range reply.Ended {
		over[g] = true
	}
	var out []dispatch.Held
	for _, h := range held {
		if over[h.Grant] {
			out = append(out, h)
		}
	}
	return out, nil
}
