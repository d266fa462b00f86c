package forward

import (
	"context"

	"github.com/pkg/errors"

	"github.com/cowslipfall/cowslipfall/internal/probe"
)

// errServerEnded means that a server's process ended together with an answer that nothing but
// the end of its connection delimits. The answer may be cut.
var errServerEnded = errors.New("server ended together with its connection, so that its answer may be cut")

// confirmEnd returns errServerEnded if an answer without a length ended because its server
// has. A relay confirms the end itself.
func (x *exchange) confirmEnd(ctx context.Context, a *attempt) error {
	if probe.IsFramed(a.resp) || a.isRelayed.Load() {
		return nil
	}
	if !probe.StillServes(ctx, a.member.Address, probe.Dial(x.f.links.direct)) || x.f.opts.Pool.IsReplaced(a.member) {
		return errServerEnded
	}
	return nil
}
