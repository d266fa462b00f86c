package fleet

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/rpc"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/cowslipfall/cowslipfall/internal/config"
	"github.com/cowslipfall/cowslipfall/internal/embedded"
	"github.com/cowslipfall/cowslipfall/internal/membership"
	"github.com/cowslipfall/cowslipfall/internal/wire"
)

// A node of version 1 is one of this program whose inner connections all pass
// a translator: it knows the messages and the handshake of version 1 alone, so
// that newer fields and calls are lost on the way, in both directions.

// V1Node answers the calls of version 1 by passing them on.
type V1Node struct{ next *rpc.Client }

func (n *V1Node) Exchange(a V1News, r *V1News) error { return n.next.Call("Node.Exchange", a, r) }
func (n *V1Node) Revision(a V1RevisionArgs, r *V1RevisionReply) error {
	return n.next.Call("Node.Revision", a, r)
}
func (n *V1Node) Acquire(a V1AcquireArgs, r *V1AcquireReply) error {
	return n.next.Call("Node.Acquire", a, r)
}
func (n *V1Node) Release(a V1ReleaseArgs, r *V1ReleaseReply) error {
	return n.next.Call("Node.Release", a, r)
}
func (n *V1Node) Preempt(a V1PreemptArgs, r *V1PreemptReply) error {
	return n.next.Call("Node.Preempt", a, r)
}
func (n *V1Node) Grants(a V1GrantsArgs, r *V1GrantsReply) error {
	return n.next.Call("Node.Grants", a, r)
}
func (n *V1Node) HoldBills(a V1HoldBillsArgs, r *V1HoldBillsReply) error {
	return n.next.Call("Node.HoldBills", a, r)
}
func (n *V1Node) Claim(a V1ClaimArgs, r *V1ClaimReply) error { return n.next.Call("Node.Claim", a, r) }
func (n *V1Node) Alarm(a V1AlarmArgs, r *V1AlarmReply) error { return n.next.Call("Node.Alarm", a, r) }
func (n *V1Node) Inspect(a V1InspectArgs, r *V1InspectReply) error {
	return n.next.Call("Node.Inspect", a, r)
}
func (n *V1Node) Pin(a V1PinArgs, r *V1PinReply) error    { return n.next.Call("Node.Pin", a, r) }
func (n *V1Node) Pins(a V1PinsArgs, r *V1PinsReply) error { return n.next.Call("Node.Pins", a, r) }
func (n *V1Node) Explain(a V1ExplainArgs, r *V1ExplainReply) error {
	return n.next.Call("Node.Explain", a, r)
}
func (n *V1Node) Evidence(a V1EvidenceArgs, r *V1EvidenceReply) error {
	return n.next.Call("Node.Evidence", a, r)
}

// V1Link answers whether the connection works.
type V1Link struct{ next *rpc.Client }

// V1Empty is a message without content.
type V1Empty struct{}

func (l *V1Link) Ping(a V1Empty, r *V1Empty) error { return l.next.Call("Link.Ping", a, r) }

func v1Sum(role string, nonce []byte) []byte {
	mac := hmac.New(sha256.New, []byte(embedded.InnerSecret))
	mac.Write([]byte(role))
	mac.Write(nonce)
	return mac.Sum(nil)
}

// v1Challenge is the server's part of the handshake of version 1.
func v1Challenge(conn net.Conn) error {
	nonce := make([]byte, 32)
	rand.Read(nonce)
	if _, err := conn.Write(nonce); err != nil {
		return err
	}
	answer := make([]byte, sha256.Size+32)
	if _, err := io.ReadFull(conn, answer); err != nil {
		return err
	}
	_, err := conn.Write(v1Sum("server", answer[sha256.Size:]))
	return err
}

// v1Respond is the client's part.
func v1Respond(conn net.Conn) error {
	nonce := make([]byte, 32)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return err
	}
	own := make([]byte, 32)
	rand.Read(own)
	if _, err := conn.Write(append(v1Sum("client", nonce), own...)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, sha256.Size))
	return err
}

// v1Conn is one side of a translator; its end ends the other side.
type v1Conn struct {
	net.Conn
	other net.Conn
}

func (c v1Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.other.Close()
	}
	return n, err
}

// v1Translate serves the client at near with what the server at far answers.
func v1Translate(near, far net.Conn) {
	defer near.Close()
	defer far.Close()
	if v1Challenge(near) != nil || v1Respond(far) != nil {
		return
	}
	client := rpc.NewClient(v1Conn{far, near})
	defer client.Close()
	server := rpc.NewServer()
	_ = server.RegisterName("Node", &V1Node{client})
	_ = server.RegisterName("Link", &V1Link{client})
	server.ServeConn(v1Conn{near, far})
}

// v1Listener gives a node the connections of its peers through a translator.
type v1Listener struct{ net.Listener }

func (l v1Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	near, far := net.Pipe()
	go v1Translate(conn, far)
	return near, nil
}

// v1Dial connects a node to its peers through a translator.
func v1Dial(dial wire.DialFunc) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		near, far := net.Pipe()
		go v1Translate(far, conn)
		return near, nil
	}
}

// steadyAtAll sends chats at the nodes that callers are told of while body
// runs; all must be answered.
func (w *world) steadyAtAll(body func(set func(ids []string))) {
	var mu sync.Mutex
	ids := w.ids()
	stop := make(chan struct{})
	var load sync.WaitGroup
	load.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			mu.Lock()
			id := ids[i%len(ids)]
			mu.Unlock()
			load.Go(func() {
				a := w.post(id, org, chatPath, chatBody(fmt.Sprintf("steady %d", i), 40), nil)
				w.faults.check(a.status == http.StatusOK, "chat at %s: %+v", id, a)
			})
			w.sleep(50 * time.Millisecond)
		}
	})
	body(func(now []string) {
		mu.Lock()
		defer mu.Unlock()
		ids = now
	})
	close(stop)
	load.Wait()
}

// Nodes of both versions see each other, serve, take configurations, and find
// out a death.
func TestVersionsRunTogether(t *testing.T) {
	virtual(t, func(f *faults) {
		w := newWorld(f, worldOptions{nodes: 6, engines: 6, old: func(i int) bool { return i%2 == 0 }})
		defer w.close()
		w.steadyAtAll(func(func([]string)) { w.sleep(20 * time.Second) })
		for _, by := range w.ids() {
			for _, id := range w.ids() {
				f.check(w.sees(by, id), "%s takes %s for dead", by, id)
			}
			call := w.post(by, org, confirmPath, `{"seat":1}`, map[string]string{"Idempotency-Key": "key " + by})
			f.check(call.status < 300, "confirmation at %s: %+v", by, call)
		}
		rev := w.apply("both versions", func(*config.Revision) {})
		w.sleep(10 * time.Second)
		for _, id := range w.ids() {
			f.check(w.revision(id) == rev.Number, "%s has revision %d, not %d", id, w.revision(id), rev.Number)
		}
		w.kill("entry-6")
		w.sleep(membership.DataCentreTimeout + spread)
		for _, id := range w.ids() {
			f.check(!w.sees(id, "entry-6"), "%s still takes the dead node for live", id)
		}
	})
}

// roll replaces all nodes one after the other under load: none of the requests
// is refused.
func roll(f *faults, before, after bool) {
	w := newWorld(f, worldOptions{nodes: 4, engines: 4, old: func(int) bool { return before }})
	defer w.close()
	w.steadyAtAll(func(set func([]string)) {
		for i, id := range w.ids() {
			leaving := w.nodes[id]
			w.startAs(fmt.Sprintf("next-%d", i), leaving.settings.DataCentre, after)
			w.sleep(5 * time.Second)
			delete(w.nodes, id)
			set(w.ids())
			f.check(leaving.node.Shutdown(context.Background()) == nil, "%s did not leave gracefully", id)
		}
	})
	for _, by := range w.ids() {
		for _, id := range w.ids() {
			f.check(w.sees(by, id), "%s takes %s for dead", by, id)
		}
	}
}

// A fleet goes from version 1 to the present one, node by node, without a
// refused request.
func TestUpgradeRefusesNobody(t *testing.T) {
	virtual(t, func(f *faults) { roll(f, true, false) })
}

// And back.
func TestGoingBackRefusesNobody(t *testing.T) {
	virtual(t, func(f *faults) { roll(f, false, true) })
}

// The messages keep all fields of version 1, of the same types.
func TestMessagesOnlyGainFields(t *testing.T) {
	was, is := reflect.TypeFor[*V1Node](), reflect.TypeFor[wire.Handler]()
	for i := range was.NumMethod() {
		old := was.Method(i)
		now, ok := is.MethodByName(old.Name)
		if !ok {
			t.Errorf("the call %s is gone", old.Name)
			continue
		}
		sameFields(t, old.Name, old.Type.In(1), now.Type.In(0))
		sameFields(t, old.Name, old.Type.In(2).Elem(), now.Type.In(1).Elem())
	}
}

// sameFields fails unless now has all fields of old.
func sameFields(t *testing.T, path string, old, now reflect.Type) {
	t.Helper()
	if old.Kind() != now.Kind() {
		t.Errorf("%s is now of kind %s, not %s", path, now.Kind(), old.Kind())
		return
	}
	switch {
	case old == now:
	case old.Kind() == reflect.Slice:
		sameFields(t, path, old.Elem(), now.Elem())
	case old.Kind() == reflect.Struct:
		for i := range old.NumField() {
			name := old.Field(i).Name
			field, ok := now.FieldByName(name)
			if !ok {
				t.Errorf("the field %s.%s is gone", path, name)
				continue
			}
			sameFields(t, path+"."+name, old.Field(i).Type, field.Type)
		}
	}
}
