package gateway

import (
	"fmt"
	"os"
	"testing"

	"poppymill/internal/caches"
	"poppymill/internal/channel"
	"poppymill/internal/clients"
	"poppymill/internal/footprint"
	"poppymill/router"
)

type discardClient struct{}

func (discardClient) Answer(_ uint16, a clients.Answer) { a.Body.Release() }

// loopback is a wire at whose other end a node answers what comes, as soon as it is asked to.
type loopback struct{ queue []*caches.Item }

func (l *loopback) Send(i *caches.Item) bool   { l.queue = append(l.queue, i); return true }
func (l *loopback) Remove(i *caches.Item) bool { return false }
func (l *loopback) Heard() (float64, bool)     { return 0, false }
func (l *loopback) Stuck() bool                { return false }
func (l *loopback) Close()                     {}

// BenchmarkDownload is a download's whole way through the core without sockets: its fields read, its pull decided and
// written, its answer handed on. A tenth goes on to a second pull.
func BenchmarkDownload(b *testing.B) {
	for _, nodes := range []int{10, 100} {
		b.Run(fmt.Sprint(nodes, " nodes"), func(b *testing.B) {
			text, err := os.ReadFile("../../example/config.json")
			if err != nil {
				b.Fatal(err)
			}
			c, err := footprint.Parse(text, os.Getenv)
			if err != nil {
				b.Fatal(err)
			}
			now := 1e12
			list := channel.News{Scope: router.Whole}
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
			var lines []*loopback
			pool := caches.NewPool(caches.Limits{Streams: c.Streams, Idle: 1e9, Conns: 2 * nodes, Names: footprint.Report},
				func(string) caches.Wire {
					l := &loopback{}
					lines = append(lines, l)
					return l
				})
			core := NewCore(c, pool, discardLogger(), now)
			core.Handle(Told{News: list, At: now})
			var client discardClient
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				now += 300
				id := fmt.Sprintf("%016x", i+1)
				core.Handle(Asked{Client: client, ID: 1, At: now, Params: map[string]string{
					"SCRIPT_NAME": "/invoke/video", "HTTP_X_JOB_ID": id, "HTTP_X_ALLOW_MS": "2000",
					"HTTP_X_ITEM": fmt.Sprintf("%016x", i%5000), "HTTP_X_N": "0", "HTTP_X_SHARD": "7"}})
				for left := 1 + (9-i%10)/9; left > 0; left-- {
					word := "DONE"
					if left == 2 {
						word = "LACK"
					}
					for _, l := range lines {
						if len(l.queue) == 0 {
							continue
						}
						l.queue[0].Take()
						l.queue[0].Wrote(true)
						l.queue = l.queue[:0]
						core.Handle(caches.Answered{Wire: l, At: now + 290, Reply: caches.Reply{Tag: id, Word: word,
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
