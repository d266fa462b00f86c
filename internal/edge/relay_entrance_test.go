package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cowslipfall/cowslipfall/internal/gossip"
	"github.com/cowslipfall/cowslipfall/internal/tcp"
)

// relayFrom sends the preface and an address from a local address, and returns the line that
// answers them.
func relayFrom(t *testing.T, source, inner, address string) (net.Conn, string) {
	t.Helper()
	is := is.New(t)
	conn, err := tcp.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}.Dial(t.Context(), "tcp", inner)
	is.NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = conn.Write(append([]byte{relayPreface}, address+"\n"...))
	is.NoErr(err)
	line, err := readLine(conn)
	if err != nil {
		return conn, ""
	}
	return conn, line
}

// awaitMembers waits until all nodes know each other.
func awaitMembers(t *testing.T, nodes []*Node) {
	t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		known := 0
		for _, n := range nodes {
			if n.members.count() == len(nodes) {
				known++
			}
		}
		if known == len(nodes) {
			t.Logf("the nodes know each other after %v", time.Since(began))
			return
		}
		if time.Since(began) > 10*time.Second {
			t.Fatal("the nodes do not find each other")
		}
	}
}

// Guards against callers who use the nodes' entrance, and against nodes that connect to
// anything but backend servers.
func TestOnlyNodesAreRelayedAndOnlyToServers(t *testing.T) {
	is := is.New(t)
	_, addresses := startRanServers(t, 1)
	nodes, callers := startFleet(t, 2, addresses, func(_ int, o *Options) { o.Schema = relaySchema{} })
	awaitMembers(t, nodes)
	for _, c := range []struct{ name, source, address, want string }{
		{"a node, a server", "127.0.1.2", addresses[0], relayAccepted},
		{"a caller", "127.0.1.77", addresses[0], "not a node of the fleet"},
		{"another address", "127.0.1.2", callers[0], "not a backend server"},
		{"no address", "127.0.1.2", "", "not a backend server"},
		{"endless line", "127.0.1.2", strings.Repeat("x", 4*maxAddressBytes), ""},
	} {
		_, line := relayFrom(t, c.source, nodes[0].innerAddress, c.address)
		if line != c.want {
			t.Errorf("%s: %q", c.name, line)
		}
	}
	nodes[0].stopping.Store(true)
	_, line := relayFrom(t, "127.0.1.2", nodes[0].innerAddress, addresses[0])
	is.Equal(line, "node is stopping")
	nodes[0].stopping.Store(false)
}

// breakingServer accepts one connection, sends some bytes and ends it by a reset, or as a
// regular end.
func breakingServer(t *testing.T, isReset bool) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = bufio.NewReader(c).ReadString('\n')
			_, _ = c.Write([]byte("part"))
			time.Sleep(50 * time.Millisecond)
			if isReset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// An answer may end with its connection. One that is reset on the way must not look whole
// after it has passed through another node.
func TestRelayedResetStaysAReset(t *testing.T) {
	for _, isReset := range []bool{true, false} {
		is := is.New(t)
		address := breakingServer(t, isReset)
		nodes, _ := startFleet(t, 2, []string{address}, func(_ int, o *Options) { o.Schema = relaySchema{} })
		awaitMembers(t, nodes)
		conn, line := relayFrom(t, "127.0.1.2", nodes[0].innerAddress, address)
		is.Equal(line, relayAccepted)
		_, err := io.WriteString(conn, "question\n")
		is.NoErr(err)
		raw, err := io.ReadAll(conn)
		is.Equal(string(raw), "part")
		is.Equal(err != nil, isReset)
	}
}

// A server must learn at once that the caller of a relayed request has left, and the relay
// must end with its connection.
func TestRelayedConnectionEndsWithItsCaller(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, c)
			_ = c.Close()
		}
		ended <- err
	}()
	nodes, _ := startFleet(t, 2, []string{l.Addr().String()}, func(_ int, o *Options) { o.Schema = relaySchema{} })
	awaitMembers(t, nodes)
	conn, line := relayFrom(t, "127.0.1.2", nodes[0].innerAddress, l.Addr().String())
	is.Equal(line, relayAccepted)
	is.Equal(nodes[0].relay.carried.Load(), int32(1))
	is.NoErr(conn.Close())
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the server was not told")
	}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	nodes[0].relay.drain(ctx)
	is.NoErr(ctx.Err())
}

// If every node is cut off, all of them refuse in time, and none passes a connection on twice.
func TestFleetWithoutLinksRefusesInTime(t *testing.T) {
	is := is.New(t)
	_, addresses := startRanServers(t, 3)
	links := []*cutLink{newCutLink(), newCutLink(), newCutLink()}
	nodes, callers := startFleet(t, len(links), addresses, func(i int, o *Options) { o.Schema, o.Dial = relaySchema{}, links[i].dial })
	time.Sleep(time.Second)
	for _, l := range links {
		l.set("refuse")
	}
	time.Sleep(2500 * time.Millisecond) // kept connections have ended
	_, servedNone := sendAll(callers[0], "none", time.Second)
	is.Equal(servedNone, 0)
	for _, n := range nodes {
		is.Equal(n.relay.carried.Load(), int32(0))
		is.True(n.isReady()) // none leaves the directory
	}
	links[0].set("")
	links[1].set("")
	links[2].set("")
	time.Sleep(4 * time.Second)
	sent, served := sendAll(callers[0], "all", time.Second)
	is.Equal(served, sent)
}

// The second node that is asked is of another data centre, as a whole one may be cut off, and
// nodes that are cut off themselves are asked last.
func TestRelaysAreOfSeveralDataCentres(t *testing.T) {
	is := is.New(t)
	n := newRosterNode(nodeState{Node: "self", Inner: "10.0.0.1:1", DataCentre: "a"}, newMemStore())
	n.innerAddress, n.options.Settings.DataCentre = "10.0.0.1:1", "a"
	var list []nodeState
	for i := range 6 {
		list = append(list, nodeState{Inner: fmt.Sprintf("10.0.0.%d:1", i+2), DataCentre: string(rune('a' + i/2)), Relays: true, Weight: 1, CutOff: i == 0})
	}
	list = append(list, nodeState{Inner: "10.0.0.99:1", DataCentre: "a"}) // an earlier release
	n.members.applyMemberLists([]gossip.Row{{Key: "h", Data: encode(t, list)}}, time.Now())
	r := newRelay(n, nil)
	for range 50 {
		got := r.candidates(time.Now())
		is.Equal(len(got), 2)
		is.Equal(got[0].Inner, "10.0.0.3:1") // the sound one of the own data centre
		is.True(got[1].Inner != "10.0.0.2:1" && got[1].Inner != "10.0.0.99:1")
	}
	r.failed["10.0.0.3:1"] = time.Now()
	for range 50 {
		is.True(r.candidates(time.Now())[0].Inner != "10.0.0.3:1")
	}
}

// Guards against connections that are carried on for a node that has lost power: it closes
// nothing, and its server would go on working.
func TestLossOfARelayedNodeIsNoticed(t *testing.T) {
	is := is.New(t)
	_, addresses := startRanServers(t, 1)
	nodes, _ := startFleet(t, 2, addresses, func(_ int, o *Options) { o.Schema = relaySchema{} })
	awaitMembers(t, nodes)
	l, err := net.Listen("tcp", "127.0.1.1:0")
	is.NoErr(err)
	defer l.Close()
	asking, err := tcp.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP("127.0.1.2")}}.Dial(t.Context(), "tcp", l.Addr().String())
	is.NoErr(err)
	defer asking.Close()
	carried, err := l.Accept()
	is.NoErr(err)
	go nodes[0].relay.serve(carried)
	_, err = io.WriteString(asking, addresses[0]+"\n")
	is.NoErr(err)
	line, err := readLine(asking)
	is.NoErr(err)
	is.Equal(line, relayAccepted)
	raw, err := carried.(*net.TCPConn).SyscallConn()
	is.NoErr(err)
	const tcpUserTimeout = 0x12
	var idle, timeout int
	is.NoErr(raw.Control(func(fd uintptr) {
		idle, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_KEEPIDLE)
		timeout, _ = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout)
	}))
	is.Equal(idle, 1)       // seconds
	is.Equal(timeout, 5000) // milliseconds
}
