// Command 8 checks that no answer comes from a purged copy past the time that a purge states, when messages between the
// gateways take as long as the pages allow.
package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"poppymill/review/standin"
)

const (
	messageDelay = 38 * time.Millisecond // each way, the most that the pages name
	objects      = 2400
	sample       = 40 // objects that clients ask for, spread over the purge
	slack        = 50.0
)

func main() { standin.Run(os.Args[1], 115*time.Second, run) }

// status is what `purge status --json` tells.
type status struct {
	Stage     string  `json:"stage"`
	Next      int     `json:"next"`
	Accepted  float64 `json:"accepted"`
	Effective float64 `json:"effective"`
}

// box is a cache box that holds a copy of each object, and keeps it until it is asked for a newer one.
type box struct {
	mu     sync.Mutex
	copies map[string]standin.Copy
	from   map[string]float64 // by request id: t0 of the copy that answered it
}

func (b *box) serve(cmd standin.Command) standin.Reply {
	b.mu.Lock()
	defer b.mu.Unlock()
	object, note := cmd.Fields["obj"], "warm"
	k, held := b.copies[object]
	var limit float64
	fmt.Sscan(cmd.Fields["agelim"], &limit)
	if !held || limit > 0 && cmd.At-k.T0 > limit {
		k, note = standin.NewCopy(object), "fill"
		b.copies[object] = k
	}
	b.from[cmd.ID] = k.T0
	return k.Done(note)
}

func run(c *standin.Case) (broken bool, err error) {
	b := &box{copies: map[string]standin.Copy{}, from: map[string]float64{}}
	var names []string
	for range objects {
		names = append(names, standin.HexID())
		k := standin.NewCopy(names[len(names)-1])
		b.copies[names[len(names)-1]] = k
	}
	club, err := c.NewClub()
	if err != nil {
		return false, err
	}
	if club.Box, err = c.NewCache("box-1", b.serve); err != nil {
		return false, err
	}
	var relays []*standin.Relay
	fleet, err := club.NewFleet(3, "purges {\n  delay = \"6s\"\n  rate = 200\n  batch = 5\n}\n", func(_, _ int, address string) (string, error) {
		r, err := c.NewRelay(address)
		if err != nil {
			return "", err
		}
		relays = append(relays, r)
		return r.Address, nil
	})
	if err != nil {
		return false, err
	}
	if err := fleet.Start(); err != nil {
		return false, err
	}
	if err := fleet.WaitAgreed(c); err != nil {
		return false, err
	}
	if c.Trouble {
		for _, r := range relays {
			r.SetDelay(messageDelay)
		}
		c.Log("network: messages between the gateways take %v", messageDelay)
	}
	time.Sleep(2 * time.Second)
	look := func() (s status, err error) {
		out, _, err := c.Tool(10*time.Second, "purge", "status", "--json", fleet.Peers[0], "programme-41")
		if err == nil {
			err = json.Unmarshal([]byte(out), &s)
		}
		return s, err
	}
	out, exit, err := c.Tool(15*time.Second, append([]string{"purge", "objects", "--id", "programme-41", fleet.Peers[0]}, names...)...)
	c.Log("operator: purge objects: exit %d: %s", exit, strings.ReplaceAll(out, "\n", "; "))
	if err != nil || exit != 0 {
		return false, fmt.Errorf("purge objects: %s: %v", out, err)
	}
	first, err := look()
	if err != nil {
		return false, err
	}
	c.Log("the purge of %d objects was accepted at %.0f and states that it is effective by %.0f, %.1f s later", objects, first.Accepted, first.Effective, (first.Effective-first.Accepted)/1000)

	// Clients ask all gateways for some of the objects, to 10 s past that time.
	type answered struct {
		id, object, gateway string
		sent                float64
	}
	var mu sync.Mutex
	var served []answered
	var stop atomic.Bool
	var clients sync.WaitGroup
	c.OnEnd(func() { stop.Store(true); clients.Wait() })
	clients.Go(func() {
		for i := 0; !stop.Load(); i++ {
			g, object := fleet.Gateways[i%3], names[(i%sample)*objects/sample+objects/sample-1]
			clients.Go(func() {
				id, sent := standin.HexID(), standin.Now()
				a := c.Ask(g.Address, "video-parts", object, map[string]string{"HTTP_X_JOB_ID": id}, 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				if a.Status == 200 {
					served = append(served, answered{id, object, g.Name, sent})
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
	})
	for standin.Now() < first.Effective+10_000 {
		s, err := look()
		if err != nil {
			return false, err
		}
		c.Log("operator: purge status: %s, %d of %d objects sent, %.1f s before the stated time", s.Stage, s.Next, objects, (first.Effective-standin.Now())/1000)
		time.Sleep(time.Second)
	}
	stop.Store(true)
	clients.Wait()
	out, exit, err = c.Tool(10*time.Second, append([]string{"quorum", "status"}, fleet.Peers...)...)
	c.Log("operator: quorum status: exit %d: %s; %v", exit, strings.ReplaceAll(out, "\n", "; "), err)

	b.mu.Lock()
	defer b.mu.Unlock()
	old, after := 0, 0
	for _, a := range served {
		if a.sent <= first.Effective+slack {
			continue
		}
		if after++; b.from[a.id] < first.Accepted {
			if old++; old <= 5 {
				c.Log("verdict: %s asked %s for %s %.0f ms past the stated time and was served a copy made %.0f ms before the purge", a.id, a.gateway, a.object, a.sent-first.Effective, first.Accepted-b.from[a.id])
			}
		}
	}
	c.Log("verdict: %d of %d answers to requests sent past the stated time came from a copy older than the purge", old, after)
	if after == 0 {
		return false, fmt.Errorf("no answer was seen past the stated time")
	}
	return old > 0, nil
}
