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
	holdTime = 250 * time.Millisecond
	// batchTime is the least time a question is held, so that one answer
	// carries the changes of many nodes.
	batchTime = 100 * time.Millisecond
	// callTimeout bounds a question: the hold, a round trip and the time that a
	// slow node takes.
	callTimeout = holdTime + 500*time.Millisecond
	dialTimeout = 400 * time.Millisecond
)

// Question is what one node tells another, and from where it wants to go on.
type Question struct {
	From string
	// Epoch and Place tell how far the asker has followed the log of the
	// asked; another epoch means from the beginning.
	Epoch uint64
	Place uint64
	// Rows changed at the asker since its last question.
	Rows []Row
	// Cursors and Age tell up to where and how long ago the asker, or one it
	// heard from, knew the store's tables.
	Cursors map[string]uint64
	Age     time.Duration
}

// Answer is what the asked node has that the asker lacks.
type Answer struct {
	Epoch   uint64
	Place   uint64
	Rows    []Row
	Cursors map[string]uint64
	Age     time.Duration
}

// Exchange answers questions from a map. It is the receiver of RPC calls.
type Exchange struct {
	epoch uint64
	rows  *Map
	// Age returns how long ago the store was last heard of, Heard takes such a
	// time from another node.
	age   func() time.Duration
	heard func(time.Duration)
}

// NewExchange returns an exchange. epoch distinguishes this process from its
// predecessors.
func NewExchange(epoch uint64, rows *Map, age func() time.Duration, heard func(time.Duration)) *Exchange {
	return &Exchange{epoch: epoch, rows: rows, age: age, heard: heard}
}

// Service is the RPC interface of an exchange.
type Service struct{ e *Exchange }

// Sync takes a question's rows and answers with what is new.
func (s Service) Sync(q Question, a *Answer) error {
	e := s.e
	e.rows.mergeFrom(q.From, q.Rows, q.Cursors)
	e.heard(q.Age)
	place := q.Place
	if q.Epoch != e.epoch {
		place = 0
	}
	asked := time.Now()
	for {
		rows, reached, cursors, changed := e.rows.sinceFor(q.From, place)
		left := holdTime - time.Since(asked)
		if wait := batchTime - time.Since(asked); len(rows) > 0 && wait > 0 && place > 0 {
			time.Sleep(wait)
			continue
		}
		if len(rows) > 0 || left <= 0 {
			*a = Answer{Epoch: e.epoch, Place: reached, Rows: rows, Cursors: cursors, Age: e.age()}
			return nil
		}
		select {
		case <-changed:
		case <-time.After(left):
		}
	}
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
	self    string
	epoch   uint64
	place   uint64
	sent    uint64 // place of the own log up to which rows were told
	mu      sync.Mutex
	client  *rpc.Client // guarded by mu
}

// NewPeer returns a peer that is not yet connected.
func NewPeer(self, address string) *Peer { return &Peer{Address: address, self: self} }

// Ask sends one question and merges its answer.
func (e *Exchange) Ask(ctx context.Context, p *Peer) error {
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	rows, reached, cursors, _ := e.rows.sinceFor(p.Address, p.sent)
	q := Question{From: p.self, Epoch: p.epoch, Place: p.place, Rows: rows, Cursors: cursors, Age: e.age()}
	var a Answer
	call := client.Go(serviceName+".Sync", q, &a, make(chan *rpc.Call, 1))
	timer := time.NewTimer(callTimeout)
	defer timer.Stop()
	select {
	case <-call.Done:
		err = call.Error
	case <-timer.C:
		err = errors.Errorf("peer %s is silent", p.Address)
	case <-ctx.Done():
		err = ctx.Err()
	}
	if err != nil {
		p.Close()
		return errors.Wrap(err, "sync")
	}
	p.sent, p.epoch, p.place = reached, a.Epoch, a.Place
	e.rows.mergeFrom(p.Address, a.Rows, a.Cursors)
	e.heard(a.Age)
	return nil
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
	// Another connection may lead to another process: all is told again.
	p.client, p.sent = rpc.NewClient(conn), 0
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
