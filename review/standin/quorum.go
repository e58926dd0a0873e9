package standin

import (
	"fmt"
	"time"
)

// Fleet is several gateways of a club that agree with each other.
type Fleet struct {
	Gateways []*Gateway
	Peers    []string // where each listens for its peers
	names    []string
	dial     [][]string // the addresses under which each reaches the others
	blocks   string
}

// NewFleet prepares n gateways g1 to gn with quorum, jobs and further blocks. through returns the address under which one
// gateway reaches another; nil: directly.
func (k *Club) NewFleet(n int, blocks string, through func(from, to int, address string) (string, error)) (*Fleet, error) {
	f := &Fleet{blocks: blocks}
	for i := range n {
		address, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		f.Peers = append(f.Peers, address)
		f.names = append(f.names, fmt.Sprintf("g%d", i+1))
	}
	for from := range n {
		row := make([]string, n)
		for to := range n {
			row[to] = f.Peers[to]
			if through != nil && from != to {
				var err error
				if row[to], err = through(from, to, f.Peers[to]); err != nil {
					return nil, err
				}
			}
		}
		f.dial = append(f.dial, row)
	}
	for i := range n {
		events := &Events{}
		events.Add(k.List())
		channel, err := k.c.NewChannel(events)
		if err != nil {
			return nil, err
		}
		g, err := k.c.NewGateway(f.names[i])
		if err != nil {
			return nil, err
		}
		if err := g.SetConfig(Configuration(channel.Address, events, n)); err != nil {
			return nil, err
		}
		if err := g.SetOperator(f.Operator(i, k.c.Dir)); err != nil {
			return nil, err
		}
		f.Gateways = append(f.Gateways, g)
	}
	return f, nil
}

// Operator returns the operator's file of a gateway.
func (f *Fleet) Operator(i int, dir string) string {
	founders, peers := "", ""
	for j, name := range f.names {
		founders += fmt.Sprintf("%q, ", name)
		if j != i {
			peers += fmt.Sprintf("  peer %q {\n    address = %q\n  }\n", name, f.dial[i][j])
		}
	}
	return fmt.Sprintf("quorum {\n  listen = %q\n  store = %q\n  founders = [%s]\n%s}\njobs {}\n%s", f.Peers[i], dir+"/store-"+f.names[i], founders, peers, f.blocks)
}

// Start starts all gateways.
func (f *Fleet) Start() error {
	for _, g := range f.Gateways {
		if err := g.Start(); err != nil {
			return err
		}
	}
	return nil
}

// WaitAgreed waits until each gateway sees a majority.
func (f *Fleet) WaitAgreed(c *Case) error {
	for range 100 {
		_, exit, err := c.Tool(10*time.Second, append([]string{"quorum", "status"}, f.Peers...)...)
		if err != nil {
			return err
		}
		if exit == 0 {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("the gateways did not agree")
}
