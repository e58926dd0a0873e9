package standin

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Club is a small deployment: one cache box of the club, a hub cache and the member core, with a command channel for each
// gateway. Renewals run at the member core; the record counts how often each ran.
type Club struct {
	c         *Case
	Box       *Cache
	Hub, Core *Cache
	mu        sync.Mutex
	runs      map[string][]string // by object: the ids of the requests that ran
}

// NewClub starts the caches.
func (c *Case) NewClub() (*Club, error) {
	k := &Club{c: c, runs: map[string][]string{}}
	serve := func(name string) func(Command) Reply {
		return func(cmd Command) Reply {
			object := cmd.Fields["obj"]
			if cmd.Fields["kind"] != "renewal" {
				c.Log("%s: GET %s %s of %s", name, cmd.ID, cmd.Fields["kind"], object)
				return NewCopy(object).Done("fill")
			}
			if name != "core-1" && cmd.Fields["next"] == "" {
				return Reply{Word: "LACK", Fields: "-"}
			}
			k.mu.Lock()
			k.runs[object] = append(k.runs[object], cmd.ID)
			n := len(k.runs[object])
			k.mu.Unlock()
			c.Log("%s: renewal %s of %s RAN at the member core (time %d)", name, cmd.ID, object, n)
			return Reply{Word: "DONE", Fields: "res=fill", Body: []byte("renewed " + object), After: 20 * time.Millisecond}
		}
	}
	var err error
	for _, n := range []struct {
		name string
		to   **Cache
	}{{"box-1", &k.Box}, {"hub-1", &k.Hub}, {"core-1", &k.Core}} {
		if *n.to, err = c.NewCache(n.name, serve(n.name)); err != nil {
			return nil, err
		}
	}
	return k, nil
}

// Runs returns the ids of the requests by which an object's renewal ran.
func (k *Club) Runs(object string) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return append([]string(nil), k.runs[object]...)
}

// List returns the first event of the command channel: the whole list.
func (k *Club) List() map[string]any {
	return List(true, Endpoint("box-1", k.Box.Address, "edge-1", "standard", "ready"), Endpoint("hub-1", k.Hub.Address, "amber", "parent", "ready"),
		Endpoint("core-1", k.Core.Address, "amber", "origin", "ready"))
}

// StartGateway starts a gateway of the club with a command channel of its own.
func (k *Club) StartGateway(name, operator string, gateways int) (*Gateway, error) {
	events := &Events{}
	events.Add(k.List())
	channel, err := k.c.NewChannel(events)
	if err != nil {
		return nil, err
	}
	g, err := k.c.NewGateway(name)
	if err != nil {
		return nil, err
	}
	if err := g.SetConfig(Configuration(channel.Address, events, gateways)); err != nil {
		return nil, err
	}
	if err := g.SetOperator(operator); err != nil {
		return nil, err
	}
	return g, g.Start()
}

// Base is the prefix of all signed links of the cases.
const Base = "https://media.example"

// NewKeys writes a key file with one signing key and returns its path.
func (c *Case) NewKeys() (string, error) {
	path := c.Dir + "/keys.hcl"
	out, status, err := c.Tool(20*time.Second, "link", "keys", "new", "--keys", path, "--id", "2026-a", "--issuer", "club", "--state", "signing")
	if err == nil && status != 0 {
		err = fmt.Errorf("link keys new: %s", out)
	}
	return path, err
}

// SignRenewal returns a link that is good for one renewal of an object, for five minutes.
func (c *Case) SignRenewal(keys, object string) (string, error) {
	out, status, err := c.Tool(20*time.Second, "link", "sign", "--keys", keys, "--base", Base, "--type", "renewal", "--write", "--subject", "member", "--for", "5m", object)
	if err == nil && status != 0 {
		err = fmt.Errorf("link sign: %s", out)
	}
	return strings.TrimSpace(out), err
}

// Renew sends a renewal under a link.
func (c *Case) Renew(g *Gateway, object, token string) Answer {
	a := c.Ask(g.Address, "renewal", object, map[string]string{"QUERY_STRING": "URISigningPackage=" + token}, 3*time.Second)
	c.Log("client: renewal of %s at %s: status %d", object, g.Name, a.Status)
	return a
}

// Reload sends SIGHUP.
func (g *Gateway) Reload() error { return g.Signal(syscall.SIGHUP) }
