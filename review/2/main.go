// Command 2 is the test of case 2: the command channel answers each call late, and a cache begins to drain.
package main

import (
	"fmt"
	"time"

	"poppymill/review/kit"
)

// The command channel and the rule on drains. Times of the rule are those of the settings and of the protocol page.
const (
	answerDelay = 2500 * time.Millisecond // of the command channel, for each call
	toldWithin  = 7 * time.Second         // what the channel has to tell counts as told then at the latest
	grace       = 250*time.Millisecond + 50*time.Millisecond
	drainAt     = 8 * time.Second
	runFor      = 30 * time.Second
	gateways    = 2
)

func main() { kit.Main(test) }

func test(s *kit.Stage) (int, error) {
	channel, err := s.Channel()
	if err != nil {
		return 0, err
	}
	if s.Trouble {
		channel.SetAnswerDelay(answerDelay)
	}
	var endpoints []kit.Endpoint
	var boxes []*kit.Cache
	for _, n := range []struct{ name, zone, kind string }{{"box-1", "club", "box"}, {"box-2", "club", "box"}, {"box-3", "club", "box"},
		{"hub-1", "hub-0", "hub"}, {"core-1", "hub-0", "core"}} {
		c, e, err := s.Cache(n.name, n.zone, n.kind, 8, func(g kit.Get) kit.Reply {
			return kit.Warm(40*time.Millisecond, "part "+g.Fields["seg"]+" of "+g.Fields["obj"])
		})
		if err != nil {
			return 0, err
		}
		boxes, endpoints = append(boxes, c), append(endpoints, e)
	}
	channel.Nodes(true, endpoints...)
	var fronts []string
	for i := range gateways {
		listen, err := kit.FreeAddress()
		if err != nil {
			return 0, err
		}
		g, err := s.Gateway(kit.Config(fmt.Sprint("gateway-", i+1), listen, channel, kit.Settings(gateways, i)))
		if err != nil {
			return 0, err
		}
		if err := g.WaitReady(); err != nil {
			return 0, err
		}
		fronts = append(fronts, listen)
	}
	start := time.Now()
	var drained time.Time
	var requests []*kit.Request
	conns := make([]*kit.Conn, gateways)
	for n := 0; time.Since(start) < runFor; n++ {
		if drained.IsZero() && time.Since(start) > drainAt {
			draining := endpoints[0]
			draining.Status = "draining"
			drained = time.Now()
			s.Printf("event %d: box-1 is draining", channel.Nodes(false, draining))
		}
		i := n % gateways
		if conns[i] != nil {
			if _, closed := conns[i].Closed(); closed {
				conns[i] = nil
			}
		}
		if conns[i] == nil {
			if conns[i], err = kit.Dial(fronts[i]); err != nil {
				return 0, err
			}
		}
		requests = append(requests, conns[i].Send(kit.Params("club-pages", kit.NewID(), fmt.Sprintf("%016x", 100+n%150), 0, n%200, 2500*time.Millisecond), nil))
		time.Sleep(25 * time.Millisecond)
	}
	fulfilled := 0
	for _, r := range requests {
		if a, ok := r.Wait(time.Second); ok && a.Status == 200 {
			fulfilled++
		}
	}
	limit := drained.Add(toldWithin + grace)
	before, within, late := 0, 0, 0
	var last time.Time
	for _, c := range boxes {
		for _, g := range c.Gets() {
			s.At(g.At, "%s: GET %s next=%s", c.Name, g.ID, g.Fields["next"])
			if c.Name != "box-1" && g.Fields["next"] != "box-1" {
				continue
			}
			switch {
			case g.At.Before(drained):
				before++
			case g.At.After(limit):
				late++
				if g.At.After(last) {
					last = g.At
				}
			default:
				within++
			}
		}
	}
	s.Say("requests %d, fulfilled %d; sent to box-1: %d before the drain, %d until it counted as told and the grace was over, %d later",
		len(requests), fulfilled, before, within, late)
	if late > 0 {
		s.Say("broken: the last came %.1f s after the event, %.1f s after the rule's time", last.Sub(drained).Seconds(), last.Sub(limit).Seconds())
		return kit.Broken, nil
	}
	if before < 20 || fulfilled < len(requests)*9/10 {
		s.Say("too little was sent to box-1 before the drain, or too little was fulfilled")
		return kit.NotRun, nil
	}
	return kit.Held, nil
}
