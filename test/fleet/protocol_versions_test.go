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

// A node of version 1 is a current node whose inner connections all pass a
// translator. The translator has only the messages and the handshake of version 1, so
// newer fields and calls are lost in both directions.

// V1Node answers the calls of version 1 by forwarding them.
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

// V1Link answers pings, which check that the connection works.
type V1Link struct{ next *rpc.Client }

// V1Empty is a message without content.
type V1Empty struct{}

func (l *V1Link) Ping(a V1Empty, r *V1Empty) error { return l.next.Call("Link.Ping", a, r) }

// v1HMAC returns the HMAC of a role and a nonce in the handshake of version 1.
func v1HMAC(role string, nonce []byte) []byte {
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
	reply := make([]byte, sha256.Size+32)
	if _, err := io.ReadFull(conn, reply); err != nil {
		return err
	}
	_, err := conn.Write(v1HMAC("server", reply[sha256.Size:]))
	return err
}

// v1Respond is the client's part of the handshake of version 1.
func v1Respond(conn net.Conn) error {
	nonce := make([]byte, 32)
	if _, err := io.ReadFull(conn, nonce); err != nil {
		return err
	}
	clientNonce := make([]byte, 32)
	rand.Read(clientNonce)
	if _, err := conn.Write(append(v1HMAC("client", nonce), clientNonce...)); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, sha256.Size))
	return err
}

// v1Conn is one side of a translator. When it ends, the other side is closed.
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

// v1Translate serves the client with what the server answers, in messages of version 1.
func v1Translate(client, server net.Conn) {
	defer client.Close()
	defer server.Close()
	if v1Challenge(client) != nil || v1Respond(server) != nil {
		return
	}
	rpcClient := rpc.NewClient(v1Conn{server, client})
	defer rpcClient.Close()
	rpcServer := rpc.NewServer()
	_ = rpcServer.RegisterName("Node", &V1Node{rpcClient})
	_ = rpcServer.RegisterName("Link", &V1Link{rpcClient})
	rpcServer.ServeConn(v1Conn{client, server})
}

// v1Listener accepts the connections of a node's peers through a translator.
type v1Listener struct{ net.Listener }

func (l v1Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	nodeEnd, translatorEnd := net.Pipe()
	go v1Translate(conn, translatorEnd)
	return nodeEnd, nil
}

// v1Dial connects a node to its peers through a translator.
func v1Dial(dial wire.DialFunc) wire.DialFunc {
	return func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		nodeEnd, translatorEnd := net.Pipe()
		go v1Translate(translatorEnd, conn)
		return nodeEnd, nil
	}
}

// sendSteadilyDuring sends chats while body runs; all must be answered. body sets the
// nodes that callers use.
func (sim *simulation) sendSteadilyDuring(body func(setNodes func(ids []string))) {
	var mu sync.Mutex
	ids := sim.nodeIDs()
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
				a := sim.post(id, org, chatPath, chatBody(fmt.Sprintf("steady %d", i), 40), nil)
				sim.failures.check(a.status == http.StatusOK, "chat at %s: %+v", id, a)
			})
			sim.sleep(50 * time.Millisecond)
		}
	})
	body(func(newIDs []string) {
		mu.Lock()
		defer mu.Unlock()
		ids = newIDs
	})
	close(stop)
	load.Wait()
}

// Nodes of both protocol versions see each other, serve, receive configurations, and
// detect a crash.
func TestProtocolVersionsRunTogether(t *testing.T) {
	withVirtualClock(t, func(f *failures) {
		sim := newSimulation(f, simulationOptions{nodes: 6, engines: 6, speaksV1: func(i int) bool { return i%2 == 0 }})
		defer sim.close()
		sim.sendSteadilyDuring(func(func([]string)) { sim.sleep(20 * time.Second) })
		for _, by := range sim.nodeIDs() {
			for _, id := range sim.nodeIDs() {
				f.check(sim.seesLive(by, id), "%s considers %s unreachable", by, id)
			}
			call := sim.post(by, org, confirmPath, `{"seat":1}`, map[string]string{"Idempotency-Key": "key " + by})
			f.check(call.status < 300, "confirmation at %s: %+v", by, call)
		}
		rev := sim.applyRevision("both versions", func(*config.Revision) {})
		sim.sleep(10 * time.Second)
		for _, id := range sim.nodeIDs() {
			f.check(sim.revisionNumber(id) == rev.Number, "%s has revision %d, want %d", id, sim.revisionNumber(id), rev.Number)
		}
		sim.kill("entry-6")
		sim.sleep(membership.DataCentreTimeout + maxGossipDelay)
		for _, id := range sim.nodeIDs() {
			f.check(!sim.seesLive(id, "entry-6"), "%s still considers the crashed node live", id)
		}
	})
}

// replaceAllNodes replaces all nodes one after the other under load; no request may be
// refused. fromV1 and toV1 select version 1 for the old and for the new nodes.
func replaceAllNodes(f *failures, fromV1, toV1 bool) {
	sim := newSimulation(f, simulationOptions{nodes: 4, engines: 4, speaksV1: func(int) bool { return fromV1 }})
	defer sim.close()
	sim.sendSteadilyDuring(func(setNodes func([]string)) {
		for i, id := range sim.nodeIDs() {
			stopping := sim.nodes[id]
			sim.addNodeWithProtocol(fmt.Sprintf("next-%d", i), stopping.settings.DataCentre, toV1)
			sim.sleep(5 * time.Second)
			delete(sim.nodes, id)
			setNodes(sim.nodeIDs())
			f.check(stopping.node.Shutdown(context.Background()) == nil, "%s did not shut down gracefully", id)
		}
	})
	for _, by := range sim.nodeIDs() {
		for _, id := range sim.nodeIDs() {
			f.check(sim.seesLive(by, id), "%s considers %s unreachable", by, id)
		}
	}
}

// A fleet is upgraded from protocol version 1 to the current one, node by node, without
// a refused request.
func TestUpgradeCausesNoRefusals(t *testing.T) {
	withVirtualClock(t, func(f *failures) { replaceAllNodes(f, true, false) })
}

// A fleet is downgraded from the current protocol to version 1, node by node, without a
// refused request.
func TestDowngradeCausesNoRefusals(t *testing.T) {
	withVirtualClock(t, func(f *failures) { replaceAllNodes(f, false, true) })
}

// The messages keep all fields of version 1, with the same types.
func TestMessagesOnlyGainFields(t *testing.T) {
	oldHandler, newHandler := reflect.TypeFor[*V1Node](), reflect.TypeFor[wire.Handler]()
	for i := range oldHandler.NumMethod() {
		old := oldHandler.Method(i)
		now, ok := newHandler.MethodByName(old.Name)
		if !ok {
			t.Errorf("the call %s is missing", old.Name)
			continue
		}
		checkFieldsKept(t, old.Name, old.Type.In(1), now.Type.In(0))
		checkFieldsKept(t, old.Name, old.Type.In(2).Elem(), now.Type.In(1).Elem())
	}
}

// checkFieldsKept fails the test unless now has all fields of old.
func checkFieldsKept(t *testing.T, path string, old, now reflect.Type) {
	t.Helper()
	if old.Kind() != now.Kind() {
		t.Errorf("%s has kind %s, want %s", path, now.Kind(), old.Kind())
		return
	}
	switch {
	case old == now:
	case old.Kind() == reflect.Slice:
		checkFieldsKept(t, path, old.Elem(), now.Elem())
	case old.Kind() == reflect.Struct:
		for i := range old.NumField() {
			name := old.Field(i).Name
			field, ok := now.FieldByName(name)
			if !ok {
				t.Errorf("the field %s.%s is missing", path, name)
				continue
			}
			checkFieldsKept(t, path+"."+name, old.Field(i).Type, field.Type)
		}
	}
}
