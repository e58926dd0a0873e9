package clients

import (
	"net"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"poppymill/internal/buffer"
)

// manyShortParams encodes a request's head of very many short params, 15 kB.
func manyShortParams() string {
	var text strings.Builder
	for i := 0; text.Len() < 15_000; i++ {
		text.WriteString(encodeParam("HTTP_X_"+strconv.FormatInt(int64(i), 36), "", false))
	}
	return text.String()
}

// Guards against clients that stop half way, or send very many short params, growing the process past its memory limit:
// what is held of requests counts in the pool, and a connection adds no more than the budget has for it.
func TestMemoryOfHalfRequestsIsBounded(t *testing.T) {
	const conns, perConn, perRequest = 100, 24 << 10, 4 << 10 // as in the gateway's budget
	head := manyShortParams()
	for name, sent := range map[string]func(id int) string{
		"half a head": func(id int) string { return beginRequest(id, 1) + encodeRecord(4, id, head) },
		"half a body": func(id int) string {
			return beginRequest(id, 1) + encodeRecord(4, id, "") + encodeRecord(5, id, strings.Repeat("b", 40_000))
		},
		"long query": func(id int) string {
			return string(completeWith(id, encodeParam("QUERY_STRING", strings.Repeat("q", 15_000), true)))
		},
		"long values": func(id int) string {
			text := ""
			for _, name := range neededParams {
				text += encodeParam(name, strings.Repeat("v", 1000), true)
			}
			return string(completeWith(id, text))
		},
		"short params": func(id int) string { return string(completeWith(id, head)) },
	} {
		pool := buffer.NewPool(1 << 20)
		unanswered := &requestCount{maximum: 500}
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		var parsers []*Parser
		var kept []Event
		for range conns {
			p := NewParser(pool, conns)
			p.ExtraParams, p.unanswered = []string{"QUERY_STRING"}, unanswered
			for id := 1; id <= maxOpenRequests; id++ {
				events, err := p.Feed([]byte(sent(id)), 0, nil)
				if err != nil {
					t.Fatal(err)
				}
				for _, e := range events {
					if e.Kind == Complete {
						kept = append(kept, e)
					}
				}
			}
			parsers = append(parsers, p)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if grown, limit := int(after.HeapAlloc)-int(before.HeapAlloc), 1<<20+conns*perConn+500*perRequest; grown > limit {
			t.Errorf("%s: %d connections hold %d bytes, at most %d are budgeted", name, conns, grown, limit)
		}
		for _, p := range parsers {
			p.Release()
		}
		if pool.InUse() != 0 || unanswered.count.Load() != 0 {
			t.Errorf("%s: %d buffers and %d requests were not released", name, pool.InUse(), unanswered.count.Load())
		}
		runtime.KeepAlive(kept)
	}
}

// completeWith encodes a complete request with params.
func completeWith(id int, params string) []byte {
	return []byte(beginRequest(id, 1) + encodeRecord(4, id, params) + encodeRecord(4, id, "") + encodeRecord(5, id, ""))
}

// Guards against clients that stop half way keeping others from being received: a small request always fits, and the requests
// that took longest make room for a large one.
func TestHalfRequestsMakeRoomForOthers(t *testing.T) {
	l := pipeListener{make(chan net.Conn)}
	s := newTestServerOn(t, 9, l)
	s.Requests = buffer.NewPool(1 << 22).Share(16 * buffer.Size)
	s.now.Store(1)
	half := l.dial()
	for id := 1; id <= 16; id++ {
		half.Write([]byte(beginRequest(id, 1) + encodeRecord(4, id, "\x05")))
	}
	until := func(what string, holds func() bool) {
		t.Helper()
		for i := 0; !holds(); i++ {
			if i == 1_000_000 {
				t.Fatal("timed out waiting: " + what)
			}
			runtime.Gosched()
		}
	}
	until("the pool is used up", func() bool { return s.Requests.InUse() == 16 })
	refused := make(chan string, 1)
	go func() {
		b := make([]byte, 16)
		half.Read(b)
		refused <- decodeRecords(b)
	}()
	other := l.dial()
	other.Write(completeWith(1, encodeParam("HTTP_X_N", "3", false)))
	(<-s.handler.requests)(Answer{NoResponse: true})
	other.Read(make([]byte, 16))
	if n := s.RefusedFull.Load(); n != 0 {
		t.Errorf("%d requests were refused that had just begun", n)
	}
	s.now.Store(1000)
	go other.Write([]byte(beginRequest(2, 1) + encodeRecord(4, 2, "") + encodeRecord(5, 2, strings.Repeat("b", 40_000)) + encodeRecord(5, 2, "")))
	(<-s.handler.requests)(Answer{NoResponse: true})
	if got := <-refused; !strings.HasPrefix(got, "[3 ") || !strings.Contains(got, `"\x00\x00\x00\x00\x02\x00\x00\x00"`) {
		t.Errorf("the client that stopped half way got %s, want OVERLOADED", got)
	}
	if n := s.RefusedFull.Load(); n == 0 {
		t.Error("no refusal was counted")
	}
	half.Close()
	other.Close()
	l.Close()
	if err := <-s.done; err != nil || s.Requests.InUse() != 0 {
		t.Errorf("%v, %d buffers left", err, s.Requests.InUse())
	}
}
