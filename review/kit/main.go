package kit

import (
	"flag"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// Stage is what a case runs on: its record, its folder, the command of the deploy file, and all that it started.
type Stage struct {
	*Record
	Root, Run, Folder string
	Trouble           bool // the disruption takes place
	mu                sync.Mutex
	gateways          []*Gateway
	ends              []func()
}

// Main runs a case and ends the process with its exit code. All that the case started is ended first.
func Main(test func(*Stage) (int, error)) {
	s := &Stage{}
	out := flag.String("record", "record.txt", "file of the record")
	flag.StringVar(&s.Root, "root", "", "root of the repository")
	flag.StringVar(&s.Run, "run", "", "command of the deploy file")
	flag.StringVar(&s.Folder, "folder", "", "temporary folder")
	flag.BoolVar(&s.Trouble, "trouble", true, "with the disruption")
	flag.Parse()
	record, err := NewRecord(*out)
	if err != nil {
		os.Exit(NotRun)
	}
	s.Record = record
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stopped
		s.End(true)
		os.Exit(NotRun)
	}()
	code, err := test(s)
	if err != nil {
		record.Say("could not run: %v", err)
		code = NotRun
	}
	for _, g := range s.gateways {
		if err := g.Unexpected(); err != nil {
			record.Say("%v", err)
			code = Broken
		}
	}
	s.End(false)
	os.Exit(code)
}

// AtEnd has a function called at the end of the case.
func (s *Stage) AtEnd(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, f)
}

// End ends all that the case started.
func (s *Stage) End(now bool) {
	s.mu.Lock()
	gateways, ends := s.gateways, s.ends
	s.gateways, s.ends = nil, nil
	s.mu.Unlock()
	var g sync.WaitGroup
	for _, gateway := range gateways {
		g.Go(func() {
			if now {
				gateway.Kill()
			} else {
				gateway.Stop()
			}
		})
	}
	g.Wait()
	for _, f := range ends {
		f()
	}
}

// Gateway starts a gateway.
func (s *Stage) Gateway(config map[string]any, env ...string) (*Gateway, error) {
	g, err := StartGateway(s.Record, s.Root, s.Run, s.Folder, config, env...)
	if err == nil {
		s.mu.Lock()
		s.gateways = append(s.gateways, g)
		s.mu.Unlock()
	}
	return g, err
}

// Channel starts a command channel.
func (s *Stage) Channel() (*Channel, error) {
	c, err := NewChannel(s.Record)
	if err == nil {
		s.AtEnd(c.Close)
	}
	return c, err
}

// Cache starts a cache, a parent or the origin, and returns its entry in the list.
func (s *Stage) Cache(name, zone, kind string, weight float64, handle func(Get) Reply) (*Cache, Endpoint, error) {
	c, err := NewCache(name, handle)
	if err != nil {
		return nil, Endpoint{}, err
	}
	s.AtEnd(c.Close)
	return c, Endpoint{Name: name, Address: c.Address, Zone: zone, Type: kind, Status: "ready", Weight: weight}, nil
}
