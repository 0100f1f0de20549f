package hslink_test

import (
	"io"
	"net"
	"testing"
	"time"

	"hyssopseam/core/hsid"
	"hyssopseam/core/hsmessage"
	"hyssopseam/core/hsstate"
	"hyssopseam/internal/faultproxy"
	"hyssopseam/io/hslink"
	"hyssopseam/io/hslog"
)

const limit = 30 * time.Second

// listen starts links that pass received messages to a channel.
func listen(t *testing.T, c hslink.Config) (*hslink.Links, chan hsmessage.Message) {
	t.Helper()
	got := make(chan hsmessage.Message, 100)
	l := hslink.New(c, hslog.Discard(), func(_ hsstate.Peer, m hsmessage.Message) { got <- m })
	if err := l.Listen(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	return l, got
}

// deliver sends messages until the other side has received one.
func deliver(t *testing.T, l *hslink.Links, to hsstate.Peer, got chan hsmessage.Message) {
	t.Helper()
	for began := time.Now(); time.Since(began) < limit; {
		l.Send(to, hsmessage.Renewal{Instance: "x"})
		select {
		case <-got:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
	t.Fatal("got no message, want one")
}

func config(instance hsid.InstanceID, address hsstate.Peer, role hsmessage.Role) hslink.Config {
	return hslink.Config{Instance: instance, Roles: []hsmessage.Role{role}, Address: address, Heartbeat: 100 * time.Millisecond}
}

// TestHostilePeers sends bytes that violate the protocol: the connection is closed, and other peers aren't affected.
func TestHostilePeers(t *testing.T) {
	const address = "127.150.0.1:7100"
	_, got := listen(t, config("server", address, hsmessage.RoleControl))
	tables := []struct {
		name  string
		bytes []byte
	}{
		{"garbage", []byte("GET / HTTP/1.1\r\n\r\n")},
		{"oversized frame", []byte{0xff, 0xff, 0xff, 0xff, 1, 2, 3}},
		{"hello of another program", append([]byte{0, 0, 0, 5}, "hello"...)},
		{"empty hello", []byte{0, 0, 0, 0}},
		{"nothing", nil},
	}
	for _, tt := range tables {
		c, err := net.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(tt.bytes); err != nil {
			t.Fatal(err)
		}
		if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, c); err != nil {
			if e, ok := err.(net.Error); ok && e.Timeout() {
				t.Errorf("%s: got an open connection, want it closed", tt.name)
			}
		}
		_ = c.Close()
	}
	client, _ := listen(t, config("client", "", hsmessage.RoleAgent))
	deliver(t, client, address, got)
}

// TestRoleCheck dials a peer that doesn't hold the control role: it must receive no messages.
func TestRoleCheck(t *testing.T) {
	const address = "127.150.0.2:7100"
	_, got := listen(t, config("other", address, hsmessage.RoleAgent))
	client, _ := listen(t, config("client", "", hsmessage.RoleAgent))
	for range 20 {
		client.Send(address, hsmessage.Renewal{})
		time.Sleep(10 * time.Millisecond)
	}
	if len(got) != 0 {
		t.Errorf("got %d messages at a peer without the control role, want none", len(got))
	}
}

// TestSilentConnection silences the open connection permanently: a new connection replaces it.
func TestSilentConnection(t *testing.T) {
	const address, proxied = "127.150.0.3:7100", "127.150.0.4:7100"
	_, got := listen(t, config("server", address, hsmessage.RoleControl))
	p, err := faultproxy.Start(proxied, address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	client, _ := listen(t, config("client", "", hsmessage.RoleAgent))
	deliver(t, client, proxied, got)
	p.FreezeOpen()
	for len(got) > 0 {
		<-got
	}
	deliver(t, client, proxied, got)
	if n := client.Counters.ClosedSilent.Load(); n == 0 {
		t.Errorf("got %d silent connections closed, want at least 1", n)
	}
}

// TestRedialOfReturnedPeer checks that a peer that was down is dialled as soon as its host connects to this process, whatever
// pause or dial was in progress. Guards against a joining replica that hears nothing from the leader for seconds.
func TestRedialOfReturnedPeer(t *testing.T) {
	const addressA, addressB = "127.150.0.5:7100", "127.150.0.6:7100"
	unreachable := make(chan hsstate.Peer, 1)
	c := config("a", addressA, hsmessage.RoleControl)
	c.Source = net.ParseIP("127.150.0.5")
	c.RedialDelay, c.MaxRedialDelay = time.Hour, time.Hour
	c.OnUnreachable = func(p hsstate.Peer) { unreachable <- p }
	a, _ := listen(t, c)
	a.Send(addressB, hsmessage.Renewal{Instance: "x"})
	select {
	case <-unreachable:
	case <-time.After(limit):
		t.Fatal("got no notice that the peer can't be reached")
	}
	c = config("b", addressB, hsmessage.RoleControl)
	c.Source = net.ParseIP("127.150.0.6")
	b, got := listen(t, c)
	b.Send(addressA, hsmessage.Renewal{Instance: "y"})
	deliver(t, a, addressB, got)
}
