package gateway

import (
	"fmt"
	"os"
	"testing"

	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/gatewayconfig"
	"poppymill/router"
)

// discardClient discards all answers.
type discardClient struct{}

func (discardClient) Gone() bool                        { return false }
func (discardClient) Answer(_ uint16, a clients.Answer) { a.Body.Release() }

// instantWire is a connection to a node that answers as soon as the benchmark asks for it.
type instantWire struct{ queue []*caches.Command }

func (w *instantWire) Send(i *caches.Command) bool   { w.queue = append(w.queue, i); return true }
func (w *instantWire) Remove(i *caches.Command) bool { return false }
func (w *instantWire) LastRead() (float64, bool)     { return 0, false }
func (w *instantWire) Stuck() bool                   { return false }
func (w *instantWire) Close()                        {}

// BenchmarkDownload measures a download's path through the core without sockets: parsing the request, deciding and
// writing the pull, and passing on the answer. A tenth of the downloads need a second pull.
func BenchmarkDownload(b *testing.B) {
	for _, nodes := range []int{10, 100} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			text, err := os.ReadFile("../../example/config.json")
			if err != nil {
				b.Fatal(err)
			}
			c, err := gatewayconfig.Parse(text, os.Getenv)
			if err != nil {
				b.Fatal(err)
			}
			now := 1e12
			list := channel.Event{Scope: router.FullList}
			for i := range nodes {
				e := router.Entry{Node: fmt.Sprintf("edge-%03d", i), Kind: "box", Zone: "club", Weight: 1}
				switch {
				case i == 0:
					e.Kind, e.Zone = "core", "hub-0"
				case i <= max(1, nodes/10):
					e.Kind, e.Zone = "hub", "hub-0"
				}
				list.Nodes = append(list.Nodes, channel.Node{Address: fmt.Sprintf("127.0.0.1:%d", 5000+i), Entry: e})
			}
			var wires []*instantWire
			pool := caches.NewPool(caches.Limits{PullsPerConn: c.StreamsPerConn, IdleTimeout: 1e9, Conns: 2 * nodes, GaugeName: gatewayconfig.LoadValueName},
				func(string) caches.Wire {
					w := &instantWire{}
					wires = append(wires, w)
					return w
				})
			core := NewCore(c, pool, discardLogger(), now)
			core.Handle(ChannelEvent{News: list, At: now})
			var client discardClient
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 300
				id := fmt.Sprintf("%016x", i+1)
				core.Handle(RequestReceived{Client: client, ID: 1, At: now, Params: map[string]string{
					"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2000",
					"HTTP_X_ITEM": fmt.Sprintf("%016x", i%5000), "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}})
				for pulls := 1 + (9-i%10)/9; pulls > 0; pulls-- {
					word := "DONE"
					if pulls == 2 {
						word = "LACK"
					}
					for _, w := range wires {
						if len(w.queue) == 0 {
							continue
						}
						w.queue[0].MarkWriting()
						w.queue[0].MarkWritten(true)
						w.queue = w.queue[:0]
						core.Handle(caches.Replied{Wire: w, At: now + 290, Reply: caches.Reply{ID: id, Word: word,
							Fields: "res=warm,sum=00000000000000ab,t0=999999999999"}})
						break
					}
				}
			}
			b.StopTimer()
			if core.Open() != 0 || core.Fulfilled != b.N {
				b.Fatalf("%d open: %+v", core.Open(), core.Counters)
			}
		})
	}
}
