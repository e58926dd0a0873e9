package sockets

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"poppymill/internal/clients"
	"poppymill/internal/rehearsal/world"
)

// process is one gateway with the front's connections to it. It belongs to the loop.
type process struct {
	stage   *Stage
	number  int
	starts  int
	address string
	channel *channel
	cmd     *exec.Cmd
	told    bool            // to end
	ready   bool            // it has answered as healthy
	gone    context.Context // over once the process is
	callers []*clients.Caller
	open    map[string]func() // how each open request is taken back
}

// reserve finds an address for a gateway, which it keeps over its restarts.
func (p *process) reserve() (err error) {
	if p.address, err = reserve(); err != nil {
		return err
	}
	p.channel, err = newChannel(p.stage, p.number)
	return err
}

func (p *process) file() string {
	return filepath.Join(p.stage.dir, fmt.Sprintf("gateway-%d.json", p.number))
}

func (p *process) configuration() ([]byte, error) {
	return p.stage.world.Configuration(p.number, p.address, p.channel.address(), p.stage.known, nil)
}

// write puts the configuration where the gateway reads it, whole at once.
func (p *process) write() error {
	text, err := p.configuration()
	if err != nil {
		return err
	}
	if err = os.WriteFile(p.file()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.file()+".new", p.file())
}

// fated tells whether it is to kill itself at a failpoint: it was told to end then.
func (p *process) fated() bool {
	return p.stage.Operator != nil && strings.Contains(p.stage.Operator(p.number), "kill")
}

func (p *process) reload() error {
	err := errors.Join(p.write(), p.stage.write(p.number))
	p.told = p.told || p.fated()
	p.signal(syscall.SIGHUP)
	return err
}

func (p *process) start() error {
	s := p.stage
	if err := errors.Join(p.write(), s.write(p.number)); err != nil || s.Binary == "" {
		return err
	}
	p.open = map[string]func(){}
	p.starts++
	cmd := exec.Command(s.Binary, "serve", "--config", p.file())
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + s.dir}
	if s.script.Links.Life > 0 || s.script.Fair.On || s.script.Quorum.On {
		cmd.Env = append(cmd.Env, "POPPYMILL_FILE="+s.operator(p.number))
	}
	if s.Logs != "" {
		log, err := os.Create(filepath.Join(s.Logs, fmt.Sprintf("gateway-%d-start-%d.log", p.number, p.starts)))
		if err != nil {
			return err
		}
		defer log.Close()
		cmd.Stdout, cmd.Stderr = log, log
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	gone, exited := context.WithCancel(s.ctx)
	p.cmd, p.told, p.ready, p.gone = cmd, p.fated(), false, gone
	s.spawn(func() {
		cmd.Wait()
		exited()
		at := s.now()
		s.post(func() {
			if p.cmd == cmd {
				p.cmd = nil
				p.hangUp()
				if !p.told && !p.ready {
					s.stop(fmt.Errorf("gateway %d ended at its start (%v); --logs keeps what it said", p.number, cmd.ProcessState))
				}
				s.carry(s.world.Handle(at, world.Exited{Gateway: p.number, Crashed: !p.told}))
			}
		})
	})
	s.spawn(func() { p.untilReady(gone, cmd) })
	return nil
}

// untilReady asks for the gateway's health until it is well.
func (p *process) untilReady(gone context.Context, cmd *exec.Cmd) {
	s := p.stage
	for gone.Err() == nil {
		ctx, cancel := context.WithTimeout(gone, time.Second)
		r, err := clients.Get(ctx, p.address, map[string]string{"SCRIPT_NAME": "/_health"}, nil)
		cancel()
		if err == nil && r.Status == 200 {
			at := s.now()
			s.post(func() {
				if p.cmd == cmd {
					p.ready = true
					s.carry(s.world.Handle(at, world.Ready{Gateway: p.number}))
				}
			})
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-gone.Done():
		}
	}
}

func (p *process) signal(sig os.Signal) {
	if p.cmd != nil {
		p.told = p.told || sig != syscall.SIGHUP
		p.cmd.Process.Signal(sig)
	}
}

// store is the folder in which its part of the agreement is kept over restarts.
func (p *process) store() string {
	return filepath.Join(p.stage.dir, fmt.Sprintf("store-%d", p.number))
}

// freeze stops the process where it stands; what its clients had open is over for them.
func (p *process) freeze(on bool) {
	if p.cmd == nil {
		return
	}
	if on {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.hangUp()
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	cmd, gone := p.cmd, p.gone
	p.stage.spawn(func() { p.untilReady(gone, cmd) })
}

// kill ends the process outright; the world has been told or will not hear of it any more.
func (p *process) kill() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
		p.cmd = nil
		p.hangUp()
	}
}

func (p *process) hangUp() {
	for _, c := range p.callers {
		c.Close()
	}
	p.callers, p.open = nil, map[string]func(){}
}

func (p *process) end() {
	p.channel.end()
	p.kill()
}

// mostIdle is how many of the front's connections to a gateway are kept while nothing is open on them.
const mostIdle = 8

// ask sends a request on a connection of the front's that has room.
func (p *process) ask(r world.Request) {
	s := p.stage
	done := func(got clients.Response, err error) {
		at := s.now()
		s.post(func() {
			delete(p.open, r.ID)
			var e world.Event = response(p.number, r.ID, got)
			if err != nil && got.Status == 0 {
				e = world.Unanswered{ID: r.ID}
			}
			s.carry(s.world.Handle(at, e))
		})
	}
	var kept []*clients.Caller
	var best *clients.Caller
	idle := 0
	for _, c := range p.callers {
		open, alive := c.Open()
		if !alive {
			continue
		}
		if open == 0 {
			if idle++; idle > mostIdle {
				c.Close()
				continue
			}
		}
		kept = append(kept, c)
		if best == nil && open < 16 {
			best = c
		}
	}
	p.callers = kept
	send := func(c *clients.Caller) error {
		id, err := c.Ask(world.Params(r), make([]byte, r.Body), done)
		if err == nil {
			p.open[r.ID] = func() { c.Abort(id) }
		}
		return err
	}
	if best != nil && send(best) == nil {
		return
	}
	// Loopback answers at once, whether there is somebody or not.
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	c, err := clients.NewCaller(ctx, p.address)
	if err == nil {
		p.callers = append(p.callers, c)
		err = send(c)
	}
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		at := s.now()
		s.carry(s.world.Handle(at, world.Unanswered{ID: r.ID, Refused: refused}))
	}
}

func (p *process) abort(id string) {
	if take := p.open[id]; take != nil {
		take()
	}
}
