// Command 9 checks that a gateway follows the command channel to its new address, after a new configuration and SIGHUP,
// while the operator's file holds a change that waits for the next restart.
package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poppymill/review/standin"
)

// Bounds of the pages, in ms: told 4 s after SIGHUP, and 7 s after the event at the latest; the graces of the settings; 50 ms
// more for each limit on sockets.
const (
	toldAfterHangup = 4000.0
	toldAfterEvent  = 7000.0
	purgeGrace      = 500.0
	drainGrace      = 250.0
	slack           = 50.0
	dropsWithin     = 5900.0 // a cache drops older copies by itself within 6 s of the purge
)

func main() { standin.Run(os.Args[1], 110*time.Second, run) }

// boxes are the two cache boxes of the club. Each holds copies, and drops older ones some seconds after a purge.
type boxes struct {
	c        *standin.Case
	mu       sync.Mutex
	copies   map[string]map[string]standin.Copy // by box and object
	purged   string
	purgedAt float64
	from     map[string]float64 // by request id: t0 of the copy that answered it
	arrived  map[string]float64 // by request id: when it came to a box
	atBox2   []float64          // when requests came to box-2
}

func (b *boxes) serve(box string) func(standin.Command) standin.Reply {
	return func(cmd standin.Command) standin.Reply {
		b.mu.Lock()
		defer b.mu.Unlock()
		object := cmd.Fields["obj"]
		if box == "box-2" {
			b.atBox2 = append(b.atBox2, cmd.At)
		}
		k, held := b.copies[box][object]
		if held && object == b.purged && b.purgedAt > 0 && k.T0 < b.purgedAt && cmd.At >= b.purgedAt+dropsWithin {
			held = false
		}
		limit, err := strconv.ParseFloat(cmd.Fields["agelim"], 64)
		if held && err == nil && limit > 0 && cmd.At-k.T0 > limit {
			held = false // older than what the gateway accepts
		}
		note := "warm"
		if !held {
			k, note = standin.NewCopy(object), "fill"
			b.copies[box][object] = k
		}
		b.from[cmd.ID], b.arrived[cmd.ID] = k.T0, cmd.At
		if object == b.purged {
			b.c.Log("%s: GET %s of %s agelim=%s: copy of %.0f (%s)", box, cmd.ID, object, cmd.Fields["agelim"], k.T0, note)
		}
		reply := k.Done(note)
		reply.After = 5 * time.Millisecond
		return reply
	}
}

func run(c *standin.Case) (broken bool, err error) {
	b := &boxes{c: c, copies: map[string]map[string]standin.Copy{"box-1": {}, "box-2": {}}, from: map[string]float64{}, arrived: map[string]float64{}}
	addresses := map[string]string{}
	for _, name := range []string{"box-1", "box-2"} {
		n, err := c.NewCache(name, b.serve(name))
		if err != nil {
			return false, err
		}
		addresses[name] = n.Address
	}
	for _, name := range []string{"hub-1", "core-1"} {
		n, err := c.NewCache(name, func(cmd standin.Command) standin.Reply { return standin.NewCopy(cmd.Fields["obj"]).Done("fill") })
		if err != nil {
			return false, err
		}
		addresses[name] = n.Address
	}
	box2 := func(status string) map[string]any {
		return standin.Endpoint("box-2", addresses["box-2"], "edge-1", "standard", status)
	}
	events := &standin.Events{}
	events.Add(standin.List(true, standin.Endpoint("box-1", addresses["box-1"], "edge-1", "standard", "ready"), box2("ready"),
		standin.Endpoint("hub-1", addresses["hub-1"], "amber", "parent", "ready"), standin.Endpoint("core-1", addresses["core-1"], "amber", "origin", "ready")))
	channel, err := c.NewChannel(events)
	if err != nil {
		return false, err
	}
	keys, err := c.NewKeys()
	if err != nil {
		return false, err
	}
	g, err := c.NewGateway("g1")
	if err != nil {
		return false, err
	}
	if err := g.SetConfig(standin.Configuration(channel.Address, events, 1)); err != nil {
		return false, err
	}
	if err := g.SetOperator("log {\n  level = \"info\"\n}\n"); err != nil {
		return false, err
	}
	if err := g.Start(); err != nil {
		return false, err
	}

	// Load: the purged object and others, 40 requests a second.
	objects := []string{standin.HexID()}
	for range 11 {
		objects = append(objects, standin.HexID())
	}
	b.mu.Lock()
	b.purged = objects[0]
	b.mu.Unlock()
	type answered struct {
		id   string
		body string
	}
	var mu sync.Mutex
	var served []answered
	var stop atomic.Bool
	var clients sync.WaitGroup
	c.OnEnd(func() { stop.Store(true); clients.Wait() })
	clients.Go(func() {
		for i := 0; !stop.Load(); i++ {
			object := objects[i%len(objects)]
			if i%2 == 0 {
				object = objects[0]
			}
			clients.Go(func() {
				id := standin.HexID()
				a := c.Ask(g.Address, "video-parts", object, map[string]string{"HTTP_X_JOB_ID": id}, 3*time.Second)
				if object == objects[0] {
					c.Log("client: %s of the purged object: status %d, %q", id, a.Status, a.Body)
				}
				mu.Lock()
				defer mu.Unlock()
				if a.Status == 200 && object == objects[0] {
					served = append(served, answered{id, a.Body})
				}
			})
			time.Sleep(25 * time.Millisecond)
		}
	})
	time.Sleep(3 * time.Second)

	// The operator prepares signed links, which are turned on at the next restart.
	if os.Getenv("EDIT") != "0" {
		if err := g.SetOperator(fmt.Sprintf("log {\n  level = \"info\"\n}\nlinks {\n  keys = %q\n  base = %q\n}\n", keys, standin.Base)); err != nil {
			return false, err
		}
		out, status, err := c.Tool(10*time.Second, "check", "--config", g.ConfigPath, "--operator", g.OperatorPath)
		if err != nil || status != 0 {
			return false, fmt.Errorf("the operator's file is not valid: %s", out)
		}
		c.Log("operator: the new file is checked: %s", strings.ReplaceAll(strings.ReplaceAll(out, "\n", "; "), c.Dir, "DIR"))
	}
	// The platform moves the command channel.
	hangup := standin.Now()
	if c.Trouble {
		next, err := c.NewChannel(events)
		if err != nil {
			return false, err
		}
		if err := g.SetConfig(standin.Configuration(next.Address, events, 1)); err != nil {
			return false, err
		}
		c.Log("platform: channel moves from %s to %s", channel.Address, next.Address)
		if err := g.Reload(); err != nil {
			return false, err
		}
		channel.Retire()
	}
	time.Sleep(time.Second)
	eventAt := float64(time.Now().UnixMilli())
	b.mu.Lock()
	b.purgedAt = eventAt
	b.mu.Unlock()
	events.Add(map[string]any{"drop": map[string]any{"id": objects[0], "when": int64(eventAt)}})
	events.Add(standin.List(false, box2("draining")))
	c.Log("platform: object %s is purged and box-2 drains, %.0f ms after SIGHUP", objects[0], eventAt-hangup)
	time.Sleep(12 * time.Second)
	stop.Store(true)
	clients.Wait()

	purgeHeeded, drainHeeded := hangup+toldAfterHangup+purgeGrace+slack, max(hangup+toldAfterHangup, eventAt+toldAfterEvent)+drainGrace+slack
	b.mu.Lock()
	defer b.mu.Unlock()
	old, late, after := 0, 0, 0
	for _, a := range served {
		if at := b.arrived[a.id]; at > purgeHeeded {
			if after++; b.from[a.id] < eventAt {
				if old++; old <= 3 {
					c.Log("verdict: %s was sent %.0f ms after SIGHUP and answered from a copy made %.0f ms before the purge", a.id, at-hangup, eventAt-b.from[a.id])
				}
			}
		}
	}
	for _, at := range b.atBox2 {
		if at > drainHeeded {
			if late++; late <= 3 {
				c.Log("verdict: box-2 got a request %.0f ms after it was listed as draining", at-eventAt)
			}
		}
	}
	c.Log("verdict: %d of %d answers for the purged object, sent later than %.0f ms after SIGHUP, came from an older copy; %d requests came to box-2 later than %.0f ms after its drain",
		old, after, purgeHeeded-hangup, late, drainHeeded-eventAt)
	if after == 0 {
		return false, fmt.Errorf("no answer for the purged object was seen after the bound")
	}
	return old > 0 || late > 0, nil
}
