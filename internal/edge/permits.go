package edge

import (
	"context"
	"encoding/json"
	"net"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/permit"
	"github.com/cowslipfall/cowslipfall/internal/telemetry"
)

const (
	permitService = "Permits"
	// permitTimeout bounds an ask for a permit: a round trip of up to 40 ms and the time
	// that a slow node takes. A permit that arrives later is not used.
	permitTimeout = 250 * time.Millisecond
	// permitBackoff is how long a coordinator that did not answer is not asked.
	permitBackoff = 500 * time.Millisecond
	// coordinatorLossTime is how long it takes until another node grants permits after a
	// coordinator was lost: nodes notice within 3.5 s, and the next one then waits.
	coordinatorLossTime = 5500 * time.Millisecond
	// presenceInterval is how often a partition of the fleet that misses nodes writes to the
	// store which nodes belong to it.
	presenceInterval = 2 * time.Second
	// maxStoreAge is the age of the store's state up to which it counts as current.
	maxStoreAge = 2 * time.Second
	// presenceKeyPrefix begins the keys of the rows that hold which nodes belong to a
	// partition.
	presenceKeyPrefix = "presence/"
)

// permits acquires permits for requests to limited servers from the coordinator, which
// may be this node. It is safe for concurrent use.
type permits struct {
	self        string
	roster      *permit.Roster
	coordinator *permit.Coordinator
	log         *zap.Logger
	mu          sync.Mutex
	link        *permitLink // guarded by mu; to the coordinator, nil if there is none
	failedAt    time.Time   // guarded by mu; when the coordinator last did not answer
	// lostSince is when the coordinator first did not answer, zero if it has since.
	lostSince time.Time // guarded by mu
}

// permitLink is a connection to the coordinator. The fields beside address are set once
// ready is closed.
type permitLink struct {
	address string
	ready   chan struct{}
	client  *rpc.Client
	err     error
}

func newPermits(self string, now time.Time, log *zap.Logger) *permits {
	roster := permit.NewRoster(self, now)
	return &permits{self: self, roster: roster, coordinator: permit.NewCoordinator(roster.Share), log: log}
}

// PermitService is the RPC interface of a coordinator.
type PermitService struct{ p *permits }

// Acquire grants or refuses a request of another node.
func (s PermitService) Acquire(q permit.Request, reply *permit.Reply) error {
	*reply = s.p.coordinator.Acquire(q, time.Now())
	return nil
}

// Acquire implements forward.Permits.
func (p *permits) Acquire(ctx context.Context, q permit.Request) permit.Reply {
	address := p.roster.Coordinator()
	q.Withheld = p.roster.Withheld(time.Now())
	if address == p.self {
		return p.coordinator.Acquire(q, time.Now())
	}
	if address == "" || p.isBackingOff(time.Now()) {
		return p.refusal(time.Now())
	}
	asked := time.Now()
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	reply, err := p.ask(ctx, address, q)
	if err == nil && time.Since(asked) > permitTimeout {
		err = errors.New("permit arrived late")
	}
	if err != nil {
		p.drop(ctx, address, err)
		return p.refusal(time.Now())
	}
	p.mu.Lock()
	p.lostSince = time.Time{}
	p.mu.Unlock()
	return reply
}

// refusal returns the reply if no coordinator answers. One that keeps silent is replaced
// after coordinatorLossTime.
func (p *permits) refusal(now time.Time) permit.Reply {
	p.mu.Lock()
	defer p.mu.Unlock()
	after := permitBackoff
	if lost := now.Sub(p.lostSince); !p.lostSince.IsZero() && lost >= permitBackoff {
		after = max(coordinatorLossTime-lost, permitBackoff)
	}
	return permit.Reply{Next: permitBackoff, RetryAfter: after}
}

func (p *permits) isBackingOff(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Sub(p.failedAt) < permitBackoff
}

// ask asks the coordinator at an address.
func (p *permits) ask(ctx context.Context, address string, q permit.Request) (permit.Reply, error) {
	l := p.connect(address)
	select {
	case <-l.ready:
	case <-ctx.Done():
		return permit.Reply{}, errors.Wrap(ctx.Err(), "connect")
	}
	if l.err != nil {
		return permit.Reply{}, l.err
	}
	var reply permit.Reply
	call := l.client.Go(permitService+".Acquire", q, &reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		return reply, call.Error
	case <-ctx.Done():
		return permit.Reply{}, ctx.Err()
	}
}

// connect returns the link to an address, which may not be ready yet.
func (p *permits) connect(address string) *permitLink {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.link != nil && p.link.address == address {
		return p.link
	}
	go p.link.close()
	l := &permitLink{address: address, ready: make(chan struct{})}
	p.link = l
	go func() {
		defer close(l.ready)
		conn, err := net.DialTimeout("tcp", address, permitTimeout)
		if err != nil {
			l.err = errors.Wrap(err, "dial coordinator")
			return
		}
		l.client = rpc.NewClient(conn)
	}()
	return l
}

// close ends a link. It may be nil.
func (l *permitLink) close() {
	if l == nil {
		return
	}
	<-l.ready
	if l.client != nil {
		_ = l.client.Close()
	}
}

// drop ends the link to a coordinator that did not answer. A caller that left says
// nothing about the coordinator.
func (p *permits) drop(ctx context.Context, address string, err error) {
	if errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	p.mu.Lock()
	l := p.link
	if l != nil && l.address == address {
		p.link = nil
		p.failedAt = time.Now()
		if p.lostSince.IsZero() {
			p.lostSince = p.failedAt
		}
		go l.close()
	}
	p.mu.Unlock()
	p.log.Info("no permit, the coordinator did not answer", zap.String("coordinator", address), telemetry.ErrorField(err))
}

// updateRoster passes the live nodes to the roster and logs what changes.
func (n *Node) updateRoster() {
	live := n.members.live()
	nodes := make([]permit.Node, 0, len(live))
	for _, s := range live {
		nodes = append(nodes, permit.Node{Address: s.Inner, IsStopping: s.Stopping, IsEligible: s.GrantsPermits})
	}
	r := n.permits.roster
	coordinator, missing := r.Coordinator(), r.Missing()
	r.Update(nodes, n.reader.age() < maxStoreAge, time.Now())
	if c, m := r.Coordinator(), r.Missing(); c != coordinator || m != missing {
		n.options.Log.Info("permit coordinator", zap.String("coordinator", c), zap.Int("live", len(live)), zap.Int("missing", m))
	}
}

// fleetSize returns the number of nodes that share what the fleet may use: the live ones,
// and those that lost contact and may only be cut off.
func (n *Node) fleetSize() int { return n.permits.roster.Known() }

// publishPresence writes to the store which nodes belong to this partition while
// it misses others. One node of the partition writes for all.
func (n *Node) publishPresence(ctx context.Context) {
	if n.permits.roster.Missing() == 0 || n.readerTurn() != 0 || n.stopping.Load() {
		return
	}
	raw, err := json.Marshal(n.permits.roster.Live())
	if err != nil {
		n.options.Log.Error("cannot encode presence, not written", telemetry.ErrorField(err))
		return
	}
	key := presenceKeyPrefix + n.options.Settings.Node
	_, err = n.options.Store.Write(ctx, tableSystem, key, n.rows.Expected(tableSystem, key), raw)
	n.reader.countCall("presence", outcomeOf(err))
	if err != nil {
		n.options.Log.Info("presence not written", telemetry.ErrorField(err))
	}
}

// applyPresence passes the store's rows about nodes to the roster.
func (n *Node) applyPresence(rows []gossip.Row, now time.Time) {
	for _, r := range rows {
		switch {
		case r.Deleted:
		case strings.HasPrefix(r.Key, presenceKeyPrefix):
			var nodes []string
			if err := json.Unmarshal(r.Data, &nodes); err != nil {
				n.options.Log.Warn("cannot decode presence", zap.String("key", r.Key), telemetry.ErrorField(err))
				continue
			}
			n.permits.roster.ObservePresence(nodes, now)
		case strings.HasPrefix(r.Key, memberKeyPrefix):
			var m memberRow
			if err := json.Unmarshal(r.Data, &m); err == nil {
				n.permits.roster.ObserveRegistered(m.Inner, now)
			}
		}
	}
}
