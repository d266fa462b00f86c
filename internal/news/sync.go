package news

import (
	"context"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	serviceName = "News"
	// holdTime is how long a question without news is held open.
	holdTime = 150 * time.Millisecond
	// batchTime is the least time a question is held, so that one answer
	// carries the changes of many nodes.
	batchTime = 50 * time.Millisecond
	// callTimeout bounds a question: the hold, a round trip and the time that a
	// slow node takes.
	callTimeout = holdTime + 600*time.Millisecond
	dialTimeout = 400 * time.Millisecond
)

// Question is what one node tells another, and from where it wants to go on.
type Question struct {
	// Self is the epoch of the asker, Up is set by one that asks its hub.
	Self uint64
	Up   bool
	// Hears are the epochs of the processes that the asker has news from itself.
	Hears []uint64
	// Epoch and Place tell how far the asker has followed the log of the
	// asked.
	Epoch uint64
	Place uint64
	// Digest holds the versions of the asker's rows by their hash. It is set in
	// the first question on a connection, in place of Epoch and Place.
	Digest map[uint64]uint64
	// Rows changed at the asker since its last question.
	Rows []Row
	// Cursors and Age tell up to where and how long ago the asker, or one it
	// heard from, knew the store's tables.
	Cursors map[string]uint64
	Age     time.Duration
}

// Answer is what the asked node has that the asker lacks.
type Answer struct {
	Epoch uint64
	Place uint64
	Rows  []Row
	// Hears are the epochs of the processes that the asked one has news from
	// itself.
	Hears []uint64
	// Want are the hashes of rows of which the digest told a newer version.
	Want []uint64
	// Anew asks for a digest in the next question.
	Anew    bool
	Cursors map[string]uint64
	Age     time.Duration
}

// Exchange answers questions from a map. It is the receiver of RPC calls.
type Exchange struct {
	epoch uint64
	rows  *Map
	heard *contacts
	// age returns how long ago the store was last heard of, observeAge takes such
	// a time from another node.
	age        func() time.Duration
	observeAge func(time.Duration)
}

// NewExchange returns an exchange. epoch distinguishes this process from its
// predecessors.
func NewExchange(epoch uint64, rows *Map, age func() time.Duration, observeAge func(time.Duration)) *Exchange {
	return &Exchange{epoch: epoch, rows: rows, heard: newContacts(), age: age, observeAge: observeAge}
}

// Service is the RPC interface of an exchange.
type Service struct{ e *Exchange }

// Sync takes a question's rows and answers with what is new.
func (s Service) Sync(q Question, a *Answer) error {
	e := s.e
	rows, err := unpack(q.Rows)
	if err != nil {
		return err
	}
	e.rows.mergeFrom(q.Self, rows, q.Cursors)
	e.observeAge(q.Age)
	e.heard.note(q.Self, !q.Up, time.Now())
	if q.Digest != nil || q.Epoch != e.epoch {
		c, want := e.rows.compare(q.Digest)
		*a = e.answer(c)
		a.Want = want
		e.heard.settled(q.Self)
		return nil
	}
	*a = e.answer(e.await(q))
	a.Anew = e.heard.isOpen(q.Self)
	return nil
}

// await holds a question until there is news for it.
func (e *Exchange) await(q Question) change {
	asked := time.Now()
	for {
		c := e.rows.since(q.Place, q.Self, q.Hears, false)
		waited := time.Since(asked)
		switch {
		case len(c.rows) > 0 && waited >= batchTime, waited >= holdTime:
			return c
		case len(c.rows) > 0:
			time.Sleep(batchTime - waited)
			continue
		}
		select {
		case <-c.next:
		case <-time.After(holdTime - waited):
		}
	}
}

func (e *Exchange) answer(c change) Answer {
	return Answer{Epoch: e.epoch, Place: c.place, Rows: pack(c.rows), Cursors: c.cursors, Age: e.age(), Hears: e.heard.list(time.Now())}
}

// Serve answers peers on a listener until it is closed.
func (e *Exchange) Serve(l net.Listener) error {
	server := rpc.NewServer()
	if err := server.RegisterName(serviceName, Service{e}); err != nil {
		return errors.Wrap(err, "register")
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}

// Peer is a connection to one other node, and how far its log was followed.
// It is used by one goroutine at a time.
type Peer struct {
	Address string
	// Up marks the hub of this node, which gets the rows of upward tables.
	Up     bool
	epoch  uint64
	place  uint64
	sent   uint64   // place of the own log up to which rows were told
	wanted []uint64 // hashes of rows that the peer asked for
	hears  []uint64 // epochs of the processes that the peer has news from itself
	fresh  bool     // the next question is to bear a digest
	mu     sync.Mutex
	client *rpc.Client // guarded by mu
}

// NewPeer returns a peer that is not yet connected.
func NewPeer(address string) *Peer { return &Peer{Address: address} }

// Ask sends one question and merges its answer.
func (e *Exchange) Ask(ctx context.Context, p *Peer) error {
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	q, reached := e.question(p)
	var a Answer
	if err := call(ctx, client, q, &a); err != nil {
		p.Close()
		return errors.Wrapf(err, "sync with %s", p.Address)
	}
	if q.Digest != nil {
		e.heard.settled(a.Epoch)
	}
	e.heard.note(a.Epoch, !p.Up, time.Now())
	p.fresh = a.Anew || e.heard.isOpen(a.Epoch)
	p.sent, p.epoch, p.place, p.wanted, p.hears = reached, a.Epoch, a.Place, a.Want, a.Hears
	rows, err := unpack(a.Rows)
	if err != nil {
		return err
	}
	e.rows.mergeFrom(a.Epoch, rows, a.Cursors)
	e.observeAge(a.Age)
	return nil
}

// question makes the next question for a peer, and returns the place of the
// own log that it tells up to.
func (e *Exchange) question(p *Peer) (Question, uint64) {
	q := Question{Self: e.epoch, Up: p.Up, Hears: e.heard.list(time.Now()), Age: e.age()}
	if p.fresh {
		var reached uint64
		q.Digest, reached = e.rows.digest()
		return q, reached
	}
	c := e.rows.since(p.sent, p.epoch, p.hears, p.Up)
	q.Epoch, q.Place, q.Cursors = p.epoch, p.place, c.cursors
	q.Rows = pack(append(e.rows.pick(p.wanted), c.rows...))
	return q, c.place
}

func call(ctx context.Context, client *rpc.Client, q Question, a *Answer) error {
	pending := client.Go(serviceName+".Sync", q, a, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-pending.Done:
		return pending.Error
	case <-timer.C:
		return errors.New("peer is silent")
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Peer) connect(ctx context.Context) (*rpc.Client, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		return p.client, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.Address)
	if err != nil {
		return nil, errors.Wrap(err, "dial peer")
	}
	// Another connection may lead to another process: both compare anew.
	p.client, p.fresh, p.wanted = rpc.NewClient(conn), true, nil
	return p.client, nil
}

// Close ends the connection.
func (p *Peer) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.client != nil {
		_ = p.client.Close()
		p.client = nil
	}
}
