package gossip

import (
	"context"
	"io"
	"net"
	"net/rpc"
	"time"

	"github.com/pkg/errors"
)

const (
	serviceName = "News"
	// maxHoldTime is how long a question is held open when there is nothing new to answer.
	maxHoldTime = 150 * time.Millisecond
	// batchDelay is the least time a question is held, so that one answer carries the
	// changes of many nodes.
	batchDelay = 50 * time.Millisecond
	// callTimeout bounds a question: the hold, a round trip and the time that a slow node
	// takes.
	callTimeout = maxHoldTime + 600*time.Millisecond
	dialTimeout = 400 * time.Millisecond
	// catchUpTimeout bounds a question of a process without a complete state, whose answer may
	// be a large part of it: the wait for one of digestSlots and the transfer over a slow link.
	// Others notice within callTimeout that a hub is frozen.
	catchUpTimeout = 4 * time.Second
	// digestSlots is how many digests are compared at a time, so that the first answers
	// are on their way while the others wait, and memory is bounded.
	digestSlots = 8
	// hubDigestSlots is the same number for questions of the hubs of other data centres, which
	// do not wait for the nodes of this one.
	hubDigestSlots = 2
)

// Question carries a node's changes to another node, and the position from which it
// requests the other's changes.
type Question struct {
	// Self is the epoch of the requester. Up is set if it asks its hub.
	Self uint64
	Up   bool
	// Hears are the epochs of the processes that the requester receives from directly.
	Hears []uint64
	// Epoch and Place are the position up to which the requester has received the
	// responder's log.
	Epoch uint64
	Place uint64
	// Digest holds the versions of the requester's rows by their hash. It is set in the
	// first question on a connection, in place of Epoch and Place. DigestEras and
	// DigestRanks are the rest of the digest.
	Digest      map[uint64]uint64
	DigestEras  map[uint64]uint64
	DigestRanks map[uint64]uint64
	// Rows changed on the requester since its last question.
	Rows []Row
	// Cursors are the versions up to which the requester has the store's tables, CursorEras
	// the eras of these versions. Age is how long ago that state was current, whether read
	// by itself or received from others.
	Cursors    map[string]uint64
	CursorEras map[string]uint64
	Age        time.Duration
	// Bundles is set by requesters that read Answer.Bundle, and send rows with a digest.
	Bundles bool
}

// Answer carries the responder's changes that the requester lacks.
type Answer struct {
	// Epoch and Place are the position up to which the answer carries the responder's
	// log.
	Epoch uint64
	Place uint64
	Rows  []Row
	// Hears are the epochs of the processes that the responder receives from directly.
	Hears []uint64
	// Want are the hashes of rows of which the digest has a newer version.
	Want []uint64
	// Anew requests a digest in the next question.
	Anew       bool
	Cursors    map[string]uint64
	CursorEras map[string]uint64
	Age        time.Duration
	// Bundle holds the rows, compressed together, in place of Rows.
	Bundle []byte
	// Partial is set if the responder has further rows for the requester.
	Partial bool
}

// Exchange synchronises a map with other nodes. It answers their questions and asks
// peers.
type Exchange struct {
	epoch    uint64
	rows     *Map
	contacts *contacts
	server   *rpc.Server
	// raw are the handlers of connections that are no RPC, by their first byte.
	raw map[byte]func(net.Conn)
	// age returns how long ago the cached store state was current, observeAge receives
	// such an age from another node.
	age        func() time.Duration
	observeAge func(time.Duration)
	// countSent counts the bytes of rows that are sent, before they are compressed together.
	countSent func(table string, bytes int)
	// comparing holds an element for each digest that is being compared, comparingHubs for
	// each of the hub of another data centre.
	comparing, comparingHubs chan struct{}
}

// NewExchange returns an exchange. epoch distinguishes this process from its
// predecessors.
func NewExchange(epoch uint64, rows *Map, age func() time.Duration, observeAge func(time.Duration)) *Exchange {
	return &Exchange{epoch: epoch, rows: rows, contacts: newContacts(), server: rpc.NewServer(), raw: map[byte]func(net.Conn){}, age: age, observeAge: observeAge, countSent: func(string, int) {}, comparing: make(chan struct{}, digestSlots), comparingHubs: make(chan struct{}, hubDigestSlots)}
}

// Service is the RPC interface of an exchange.
type Service struct{ e *Exchange }

// Sync merges a question's rows and answers with the rows that the requester lacks.
func (s Service) Sync(q Question, a *Answer) error {
	e := s.e
	rows, err := unpack(q.Rows)
	if err != nil {
		return err
	}
	e.merge(q.Self, rows, decodeCursors(q.Cursors, q.CursorEras), q.Age)
	e.contacts.record(q.Self, !q.Up, time.Now())
	defer e.contacts.begin(q.Self)()
	if q.Digest != nil || q.Epoch != e.epoch {
		return e.answerDigest(q, a)
	}
	*a = e.newAnswer(e.awaitChange(q), q.Bundles)
	a.Anew = e.contacts.isDigestDue(q.Self)
	return nil
}

// answerDigest answers a question with a digest.
func (e *Exchange) answerDigest(q Question, a *Answer) error {
	asked := time.Now()
	slots := e.comparing
	if !q.Up {
		slots = e.comparingHubs
	}
	slots <- struct{}{}
	defer func() { <-slots }()
	// The contact was kept while it waited.
	e.contacts.record(q.Self, !q.Up, time.Now())
	if time.Since(asked) > catchUpTimeout {
		return errors.New("too many nodes compare digests: ask again")
	}
	c, wanted := e.rows.compare(Digest{q.Digest, q.DigestEras, q.DigestRanks})
	*a = e.newAnswer(c, q.Bundles)
	a.Want = wanted
	if q.Bundles && len(wanted) > maxWanted {
		a.Want, a.Anew = wanted[:maxWanted], true
		return nil
	}
	e.contacts.recordDigest(q.Self)
	return nil
}

// awaitChange holds a question until there are rows for it, maxHoldTime at most.
func (e *Exchange) awaitChange(q Question) change {
	asked := time.Now()
	for {
		c := e.rows.since(q.Place, q.Self, q.Hears, false)
		waited := time.Since(asked)
		switch {
		case c.isPartial:
			return c
		case len(c.rows) > 0 && waited >= batchDelay, waited >= maxHoldTime:
			return c
		case len(c.rows) > 0:
			time.Sleep(batchDelay - waited)
			continue
		}
		select {
		case <-c.changed:
		case <-time.After(maxHoldTime - waited):
		}
	}
}

func (e *Exchange) newAnswer(c change, bundles bool) Answer {
	a := Answer{Epoch: e.epoch, Place: c.position, Rows: pack(c.rows), Partial: c.isPartial, Age: e.age(), Hears: e.contacts.expireAndList(time.Now())}
	e.count(a.Rows)
	if bundles {
		if a.Bundle = bundle(a.Rows); a.Bundle != nil {
			a.Rows = nil
		}
	}
	a.Cursors, a.CursorEras = encodeCursors(c.cursors)
	return a
}

// CountSent sets the function that counts the bytes sent by table. It is called before
// Serve and Ask.
func (e *Exchange) CountSent(count func(table string, bytes int)) { e.countSent = count }

// count counts rows that are sent.
func (e *Exchange) count(rows []Row) {
	byTable := map[string]int{}
	for _, r := range rows {
		byTable[r.Table] += r.size()
	}
	for table, bytes := range byTable {
		e.countSent(table, bytes)
	}
}

// Register adds a service that Serve offers beside the exchange.
func (e *Exchange) Register(name string, service any) error {
	return errors.Wrapf(e.server.RegisterName(name, service), "register %s", name)
}

// HandleRaw sets the handler of connections whose first byte is preface, which no message of
// net/rpc begins with. It is called before Serve. The handler closes the connection.
func (e *Exchange) HandleRaw(preface byte, handle func(net.Conn)) {
	e.raw[preface] = handle
}

// prefacedConn is a connection whose first byte was read already.
type prefacedConn struct {
	net.Conn
	first []byte
}

// Read implements net.Conn.
func (c *prefacedConn) Read(p []byte) (int, error) {
	if len(c.first) > 0 && len(p) > 0 {
		n := copy(p, c.first)
		c.first = c.first[n:]
		return n, nil
	}
	return c.Conn.Read(p)
}

// serveConn answers one peer, or hands its connection to the handler of raw ones.
func (e *Exchange) serveConn(conn net.Conn) {
	first := make([]byte, 1)
	if _, err := io.ReadFull(conn, first); err != nil {
		_ = conn.Close()
		return
	}
	if handle := e.raw[first[0]]; handle != nil {
		handle(conn)
		return
	}
	e.server.ServeConn(&prefacedConn{conn, first})
}

// Serve answers peers on a listener until it is closed.
func (e *Exchange) Serve(l net.Listener) error {
	if err := e.Register(serviceName, Service{e}); err != nil {
		return err
	}
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go e.serveConn(conn)
	}
}

// Ask sends one question and merges its answer.
func (e *Exchange) Ask(ctx context.Context, p *Peer) error {
	client, err := p.connect(ctx)
	if err != nil {
		return err
	}
	q, sentPosition := e.newQuestion(p)
	timeout := callTimeout
	if p.isBehind || !e.rows.hasTables() {
		timeout = catchUpTimeout
	}
	defer e.contacts.begin(p.epoch)()
	var a Answer
	if err := call(ctx, client, q, &a, timeout); err != nil {
		p.Close()
		return errors.Wrapf(err, "sync with %s", p.Address)
	}
	// The position moves only past rows that can be read.
	rows, err := a.readRows()
	if err != nil {
		p.Close()
		return errors.Wrapf(err, "sync with %s", p.Address)
	}
	if q.Digest != nil {
		e.contacts.recordDigest(a.Epoch)
	}
	e.contacts.record(a.Epoch, !p.IsHub, time.Now())
	p.needsDigest = a.Anew || e.contacts.isDigestDue(a.Epoch)
	p.isBehind = a.Partial
	p.sentPosition, p.epoch, p.position, p.wantedHashes, p.receivesFrom = sentPosition, a.Epoch, a.Place, a.Want, a.Hears
	e.merge(a.Epoch, rows, decodeCursors(a.Cursors, a.CursorEras), a.Age)
	return nil
}

// readRows returns the rows of an answer.
func (a Answer) readRows() ([]Row, error) {
	bundled, err := unbundle(a.Bundle)
	if err != nil {
		return nil, err
	}
	return unpack(append(a.Rows, bundled...))
}

// merge merges what a process sent. A process that does not know yet that the store was
// restored, or whose release knows no eras, does not show that this node's state is current.
// Nor does a message without cursors: it is partial, or a digest.
func (e *Exchange) merge(origin uint64, rows []Row, cursors map[string]Revision, age time.Duration) {
	e.rows.mergeFrom(origin, rows, cursors)
	if len(cursors) > 0 && e.rows.isCurrent(cursors) {
		e.observeAge(age)
	}
}

// encodeCursors returns the versions and the eras of cursors. They travel apart, as
// earlier releases know versions only.
func encodeCursors(cursors map[string]Revision) (versions, eras map[string]uint64) {
	versions, eras = make(map[string]uint64, len(cursors)), make(map[string]uint64, len(cursors))
	for table, cursor := range cursors {
		versions[table], eras[table] = cursor.Version, cursor.Era
	}
	return versions, eras
}

// decodeCursors reverses encodeCursors.
func decodeCursors(versions, eras map[string]uint64) map[string]Revision {
	cursors := make(map[string]Revision, len(versions))
	for table, version := range versions {
		cursors[table] = Revision{eras[table], version}
	}
	return cursors
}

// newQuestion returns the next question for a peer, and the position of the local log
// up to which it carries rows.
func (e *Exchange) newQuestion(p *Peer) (Question, uint64) {
	q := Question{Self: e.epoch, Up: p.IsHub, Hears: e.contacts.expireAndList(time.Now()), Age: e.age(), Bundles: true}
	if p.needsDigest {
		rows := e.rows.pick(p.wantedHashes)
		if p.IsHub {
			// Digests may follow each other for longer than heartbeats are valid.
			rows = append(rows, e.rows.recentUpward(p.epoch, time.Now())...)
		}
		q.Rows = pack(rows)
		e.count(q.Rows)
		d, position := e.rows.digest()
		q.Digest, q.DigestEras, q.DigestRanks = d.Versions, d.Eras, d.Ranks
		return q, position
	}
	c := e.rows.since(p.sentPosition, p.epoch, p.receivesFrom, p.IsHub)
	q.Epoch, q.Place = p.epoch, p.position
	q.Cursors, q.CursorEras = encodeCursors(c.cursors)
	q.Rows = pack(append(e.rows.pick(p.wantedHashes), c.rows...))
	e.count(q.Rows)
	return q, c.position
}

// call sends a question and waits for its answer, timeout at most.
func call(ctx context.Context, client *rpc.Client, q Question, a *Answer, timeout time.Duration) error {
	pending := client.Go(serviceName+".Sync", q, a, make(chan *rpc.Call, 1))
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-pending.Done:
		return pending.Error
	case <-timer.C:
		return errors.New("peer did not answer in time")
	case <-ctx.Done():
		return ctx.Err()
	}
}
