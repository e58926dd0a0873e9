package clients

import (
	"io"
	"net"
	"testing"
	"time"

	"poppymill/internal/buffer"
)

// pipeListener is a listener whose connections are unbuffered pipes: a write blocks until it is read.
type pipeListener struct{ conns chan net.Conn }

func (l pipeListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}
func (l pipeListener) Close() error   { close(l.conns); return nil }
func (l pipeListener) Addr() net.Addr { return nil }

// recordingHandler passes each request on as the function that answers it, and each closed connection and protocol error.
type recordingHandler struct {
	requests chan func(Answer)
	closed   chan *Conn
	errs     chan error
}

func (h recordingHandler) HandleRequest(c *Conn, id uint16, _ map[string]string, body *buffer.Body, _ float64) {
	body.Release()
	h.requests <- func(a Answer) { c.Answer(id, a) }
}
func (h recordingHandler) HandleAbort(*Conn, uint16, float64) {}
func (h recordingHandler) HandleClose(c *Conn, _ float64)     { h.closed <- c }
func (h recordingHandler) HandleError(err error)              { h.errs <- err }

func (l pipeListener) dial() (client net.Conn) {
	client, server := net.Pipe()
	l.conns <- server
	return client
}

// completeRequest encodes a request without params and body.
func completeRequest(id int, keep byte) []byte {
	return []byte(beginRequest(id, keep) + encodeRecord(4, id, "") + encodeRecord(5, id, ""))
}

// A client that does not read must not block others: its responses wait in its own queue. After Drain a server closes idle
// connections at once and the others after their last response. A connection beyond the limit is refused.
func TestServer(t *testing.T) {
	l := pipeListener{make(chan net.Conn)}
	s := newTestServerOn(t, 3, l)
	h := s.handler
	answer := func(respond func(Answer)) {
		body := buffer.NewChain(s.Requests)
		body.Append(make([]byte, 100_000))
		respond(Answer{Status: 200, Body: body})
	}
	slow, quick, idle := l.dial(), l.dial(), l.dial()
	for id := range 3 {
		slow.Write(completeRequest(id+1, 1))
		answer(<-h.requests)
	}
	quick.Write(completeRequest(7, 1))
	answer(<-h.requests)
	if b, err := io.ReadAll(io.LimitReader(quick, 100_000)); len(b) != 100_000 || err != nil {
		t.Errorf("%d bytes read while another client does not read, %v", len(b), err)
	}
	go io.Copy(io.Discard, quick)
	// A connection that had time and sent nothing is closed for a new one; a new one for which none can be closed is refused.
	s.now.Store(300)
	late := l.dial()
	if _, err := idle.Read(make([]byte, 1)); err == nil {
		t.Error("a silent connection was not closed for a new one")
	}
	<-h.closed
	late.Write(completeRequest(9, 1))
	respondLate := <-h.requests
	quick.Write(completeRequest(9, 1))
	respondNine := <-h.requests
	refused := l.dial()
	if _, err := refused.Read(make([]byte, 1)); err == nil || <-h.errs == nil {
		t.Error("a connection beyond the limit was accepted")
	}
	respondLate(Answer{Status: 503})
	go io.Copy(io.Discard, late)
	quick.Write(completeRequest(8, 1))
	respondEight := <-h.requests
	s.Drain()
	l.Close()
	<-h.closed // late, which has no open requests
	answer(respondEight)
	respondNine(Answer{Status: 503})
	<-h.closed // quick, after its last response
	slow.Close()
	<-h.closed
	s.checkReleased()
}

// A connection that has just been accepted most likely sends a request soon: to make room, one that is idle after a request is
// closed before it.
func TestMakeRoom(t *testing.T) {
	l := pipeListener{make(chan net.Conn)}
	s := newTestServerOn(t, 2, l)
	h := s.handler
	idle := l.dial()
	idle.Write(completeRequest(1, 1))
	go io.Copy(io.Discard, idle)
	(<-h.requests)(Answer{Status: 200})
	time.Sleep(50 * time.Millisecond) // until the response is written
	recent := l.dial()
	l.dial()
	<-h.closed
	recent.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := recent.Write(completeRequest(1, 1)); err != nil {
		t.Errorf("a connection that had just been accepted was closed: %v", err)
	} else {
		(<-h.requests)(Answer{Status: 200})
	}
	l.Close()
	s.CloseAll()
	s.checkReleased()
}

// A connection that does not send a whole usable request in time is closed, whatever else it has sent. One with a complete
// request open loses only the other one that comes too slowly. A useful one stays open while it has requests open, and when idle for
// longer than the web server itself would keep it.
func TestSweep(t *testing.T) {
	l := pipeListener{make(chan net.Conn)}
	s := newTestServerOn(t, 99, l)
	h := s.handler
	exchange := func(c net.Conn, status int) {
		c.Write(completeRequest(1, 1))
		(<-h.requests)(Answer{Status: status})
		io.ReadAll(io.LimitReader(c, 8)) // the response is being written
		go io.Copy(io.Discard, c)
	}
	whole := completeRequest(1, 1)
	open, answered, malformed := l.dial(), l.dial(), l.dial()
	open.Write(whole)
	reply := <-h.requests
	exchange(answered, 200)
	exchange(malformed, 400)
	useless := map[string]net.Conn{"nothing": l.dial(), "half a header": l.dial(), "half a request": l.dial(),
		"records of no open request": l.dial()}
	useless["half a header"].Write(whole[:5])
	useless["half a request"].Write(whole[:len(whole)-8])
	beside := l.dial()
	beside.Write(append(append([]byte{}, whole...), beginRequest(2, 1)...))
	replyBeside := <-h.requests
	useless["records of no open request"].Write([]byte(encodeRecord(4, 7, "zz")))
	useless["a malformed request"] = malformed
	waitClosed := func(want int) {
		t.Helper()
		for range want {
			<-h.closed
		}
		if n := s.OpenConns(); n != 8-want && want > 1 {
			t.Errorf("%d connections are open after %d have closed", n, want)
		}
	}
	s.now.Store(1900)
	s.sweep(1900)
	if s.ClosedEarly.Load() != 0 {
		t.Errorf("%d connections were closed too soon", s.ClosedEarly.Load())
	}
	s.now.Store(2100)
	waitClosed(len(useless)) // by the server's own sweep
	refusal := make([]byte, 2*headerLen)
	if _, err := io.ReadFull(beside, refusal); err != nil || decodeRecords(refusal) != decodeRecords(appendEndRequest(nil, 2, statusOverloaded)) || s.RefusedSlow.Load() != 1 {
		t.Errorf("half a request beside a complete one: %s, %v, %d refused", decodeRecords(refusal), err, s.RefusedSlow.Load())
	}
	go replyBeside(Answer{Status: 200})
	if n, err := beside.Read(make([]byte, 1)); n != 1 || err != nil {
		t.Errorf("the complete request beside it has no response: %v", err)
	}
	go io.Copy(io.Discard, beside)
	s.now.Store(4900)
	s.sweep(4900)
	if s.OpenConns() != 3 {
		t.Errorf("%d connections are open", s.OpenConns())
	}
	s.now.Store(5100)
	<-h.closed // answered, which has been idle for too long
	s.now.Store(7200)
	<-h.closed // beside, likewise
	reply(Answer{Status: 200})
	go io.Copy(io.Discard, open)
	s.Drain()
	l.Close()
	<-h.closed
	s.checkReleased()
}

// A request that is received and aborted in one read must not reach the handler, and its ID can be used again.
func TestAbortInSameRead(t *testing.T) {
	l := pipeListener{make(chan net.Conn)}
	s := newTestServerOn(t, 2, l)
	h := s.handler
	c := l.dial()
	go io.Copy(io.Discard, c)
	aborted := append(completeRequest(1, 1), appendRecord(nil, typeAbortRequest, 1, nil)...)
	if _, err := c.Write(append(aborted, completeRequest(2, 1)...)); err != nil {
		t.Fatal(err)
	}
	(<-h.requests)(Answer{Status: 200})
	if _, err := c.Write(completeRequest(1, 1)); err != nil {
		t.Fatal(err)
	}
	(<-h.requests)(Answer{Status: 200})
	l.Close()
	s.CloseAll()
	s.checkReleased()
	if len(h.requests) != 0 {
		t.Errorf("%d more requests reached the handler", len(h.requests))
	}
}
