package driver

import (
	"net"
	"testing"
	"time"

	"poppymill/internal/quorum"
)

// newTestPeers returns the peers of a gateway on loopback, and the channel of the frames that it receives.
func newTestPeers(t *testing.T, name string, address func() string) (*peers, chan quorum.Frame) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := newPeers(name, l, 9, 5*time.Second)
	received := make(chan quorum.Frame, 9)
	p.address = func(string) string { return address() }
	p.onLost = func(string) {}
	p.onFrame = func(_ string, f quorum.Frame, _ func(quorum.Frame)) { received <- f }
	p.serve()
	t.Cleanup(p.close)
	return p, received
}

// Guards against a process that has taken over the address of another one being taken for it: a frame for the other is known
// not to have been sent, and reaches nobody.
func TestFrameForAnotherGatewayIsNotSent(t *testing.T) {
	address := ""
	sender, _ := newTestPeers(t, "g1", func() string { return address })
	other, otherReceived := newTestPeers(t, "g4", func() string { return "" })
	meant, meantReceived := newTestPeers(t, "g2", func() string { return "" })
	mismatches := make(chan string, 9)
	sender.onMismatch = func(meant, answered string) { mismatches <- meant + " " + answered }
	wait := func(what string, c <-chan bool) {
		t.Helper()
		select {
		case <-c:
		case <-time.After(10 * time.Second):
			t.Fatal("timed out waiting: " + what)
		}
	}
	for range 2 { // the second connection is like the first, and is not logged again
		address = other.listener.Addr().String()
		notSent := make(chan bool, 1)
		sender.send("g2", quorum.Frame{Kind: quorum.KindEffect, Data: []byte("step")}, func() { notSent <- true })
		wait("the step is known not to have been sent", notSent)
		time.Sleep(redialDelay)
	}
	if got := <-mismatches; got != "g2 g4" || len(mismatches) != 0 {
		t.Errorf("logged %q and %d more", got, len(mismatches))
	}
	if len(otherReceived) != 0 {
		t.Errorf("the other gateway received %d frames", len(otherReceived))
	}
	address = meant.listener.Addr().String()
	arrived := make(chan bool, 1)
	go func() { arrived <- string((<-meantReceived).Data) == "step" }()
	sender.send("g2", quorum.Frame{Kind: quorum.KindEffect, Data: []byte("step")}, func() { t.Error("a step that was sent counts as not sent") })
	wait("the step arrives at the gateway that is meant", arrived)
}
