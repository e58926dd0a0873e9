// Command 3 is the test of case 3: a web server passes on one upload slowly, and other requests on the same connection
// are open or come in meanwhile.
package main

import (
	"fmt"
	"sync"
	"time"

	"poppymill/review/kit"
)

// The load of one connection, and the upload.
const (
	interval     = 100 * time.Millisecond // between the downloads of a connection
	sendingTime  = 400 * time.Millisecond // of one video part
	uploadBytes  = 46_000
	uploadPieces = 50
	uploadTime   = 2500 * time.Millisecond
	crossing     = 50 * time.Millisecond // within which a request that crosses the end of a connection is sent again
	runFor       = 20 * time.Second
	connections  = 4
)

func main() { kit.Main(test) }

// sent is a request and the connection it went by.
type sent struct {
	*kit.Request
	conn  *kit.Conn
	label string
	again bool
}

// webServer keeps one connection to the gateway and sends requests on it; it opens another where the gateway has closed it.
type webServer struct {
	name    string
	address string
	record  *kit.Record
	mu      sync.Mutex
	conn    *kit.Conn
	all     []sent
}

func (w *webServer) connection() (*kit.Conn, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		if _, closed := w.conn.Closed(); !closed {
			return w.conn, nil
		}
		w.conn.Close()
	}
	c, err := kit.Dial(w.address)
	w.conn = c
	return c, err
}

func (w *webServer) add(r *kit.Request, c *kit.Conn, label string, again bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.all = append(w.all, sent{r, c, label, again})
}

// download sends one download whole, and once more where it crossed the end of its connection.
func (w *webServer) download(n int, again bool) {
	c, err := w.connection()
	if err != nil {
		w.record.Printf("%s: cannot connect: %v", w.name, err)
		return
	}
	r := c.Send(kit.Params("video-parts", kit.NewID(), fmt.Sprintf("%016x", 1000+n), n%12, n%200, 6*time.Second), nil)
	label := fmt.Sprintf("%s download %d", w.name, n)
	at, whole := r.Whole()
	if whole {
		w.add(r, c, label, again)
		w.record.At(at, "%s: %s written whole", label, r.ID)
	}
	go func() {
		for {
			if a, ok := r.Wait(10 * time.Millisecond); ok {
				w.record.At(a.At, "%s: %s answered %d", label, r.ID, a.Status)
				return
			}
			if end, closed := c.Closed(); closed {
				if whole && end.Sub(at) > crossing || again {
					return
				}
				w.record.Printf("%s: %s crossed the end of its connection, sent again on a new one", label, r.ID)
				w.download(n, true)
				return
			}
		}
	}()
}

// upload sends one write, in pieces.
func (w *webServer) upload(n int, over time.Duration) {
	c, err := w.connection()
	if err != nil {
		return
	}
	params := kit.Params("renewal", kit.NewID(), fmt.Sprintf("%016x", 5000+n), 0, 7, 3*time.Second)
	params["REQUEST_METHOD"], params["CONTENT_LENGTH"] = "POST", fmt.Sprint(uploadBytes)
	label := fmt.Sprintf("%s upload %d", w.name, n)
	r := c.Begin(params)
	w.record.Printf("%s: %s begun, to be written over %v", label, r.ID, over)
	for range uploadPieces {
		time.Sleep(over / uploadPieces)
		if _, closed := c.Closed(); closed {
			w.record.Printf("%s: %s not whole, its connection was closed", label, r.ID)
			return
		}
		c.Body(r, make([]byte, uploadBytes/uploadPieces))
	}
	if c.End(r) {
		w.add(r, c, label, false)
		w.record.Printf("%s: %s written whole", label, r.ID)
		if a, ok := r.Wait(4 * time.Second); ok {
			w.record.At(a.At, "%s: %s answered %d", label, r.ID, a.Status)
		}
	}
}

func test(s *kit.Stage) (int, error) {
	answer := func(g kit.Get) kit.Reply {
		if g.Fields["kind"] == "renewal" {
			return kit.Warm(60*time.Millisecond, "done")
		}
		return kit.Warm(sendingTime, "part "+g.Fields["seg"]+" of "+g.Fields["obj"])
	}
	channel, err := s.Channel()
	if err != nil {
		return 0, err
	}
	var endpoints []kit.Endpoint
	for _, n := range []struct{ name, zone, kind string }{{"box-1", "club", "box"}, {"box-2", "club", "box"}, {"box-3", "club", "box"},
		{"hub-1", "hub-0", "hub"}, {"core-1", "hub-0", "core"}} {
		_, e, err := s.Cache(n.name, n.zone, n.kind, 8, answer)
		if err != nil {
			return 0, err
		}
		endpoints = append(endpoints, e)
	}
	channel.Nodes(true, endpoints...)
	listen, err := kit.FreeAddress()
	if err != nil {
		return 0, err
	}
	gateway, err := s.Gateway(kit.Config("gateway-1", listen, channel, kit.Settings(1, 0)))
	if err != nil {
		return 0, err
	}
	if err := gateway.WaitReady(); err != nil {
		return 0, err
	}
	var servers []*webServer
	var g sync.WaitGroup
	for i := range connections {
		w := &webServer{name: fmt.Sprint("web-", i+1), address: listen, record: s.Record}
		servers = append(servers, w)
		end := time.Now().Add(runFor)
		g.Go(func() {
			time.Sleep(time.Duration(i) * 23 * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				w.download(1000*i+n, false)
				time.Sleep(interval)
			}
		})
		g.Go(func() {
			over := uploadTime
			if !s.Trouble {
				over = 0
			}
			for n := 0; ; n++ {
				time.Sleep(3 * time.Second)
				if time.Now().Add(uploadTime).After(end) {
					return
				}
				w.upload(100*i+n, over)
			}
		})
	}
	g.Wait()
	time.Sleep(7 * time.Second)
	return judge(s.Record, servers), nil
}

// judge counts the requests that were whole and got no answer.
func judge(record *kit.Record, servers []*webServer) int {
	taken, answered, lost := 0, 0, 0
	for _, w := range servers {
		w.mu.Lock()
		for _, s := range w.all {
			whole, _ := s.Whole()
			end, closed := s.conn.Closed()
			if _, ok := s.Answer(); ok {
				taken, answered = taken+1, answered+1
				continue
			}
			if closed && end.Sub(whole) <= crossing {
				continue // sent again on a new connection
			}
			taken++
			lost++
			if closed {
				record.Say("lost: %s, %s: written whole %.0f ms before its connection ended, never answered", s.label, s.ID,
					float64(end.Sub(whole).Microseconds())/1000)
			} else {
				record.Say("lost: %s, %s: never answered", s.label, s.ID)
			}
		}
		w.mu.Unlock()
	}
	record.Say("taken %d, answered %d, lost %d", taken, answered, lost)
	switch {
	case lost > 0:
		return kit.Broken
	case answered < 100:
		record.Say("too few requests were answered")
		return kit.NotRun
	}
	return kit.Held
}
