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

// process is a gateway process and the clients' connections to it. Only the event loop of the stage uses it.
type process struct {
	stage   *Stage
	number  int
	starts  int
	address string
	channel *channel
	cmd     *exec.Cmd
	ending  bool            // its exit is expected: it was signalled, or has a failpoint that kills it
	ready   bool            // it has passed a health check
	exited  context.Context // cancelled once the process has exited
	callers []*clients.Client
	aborts  map[string]func() // abort functions of the open requests, by request ID
}

// reserveAddresses chooses the gateway's client address, which it keeps across restarts, and opens its command channel.
func (p *process) reserveAddresses() (err error) {
	if p.address, err = reserveAddress(); err != nil {
		return err
	}
	p.channel, err = newChannel(p.stage, p.number)
	return err
}

// configPath returns the path of the gateway's configuration file.
func (p *process) configPath() string {
	return filepath.Join(p.stage.dir, fmt.Sprintf("gateway-%d.json", p.number))
}

// configuration returns the gateway's configuration as JSON.
func (p *process) configuration() ([]byte, error) {
	return p.stage.world.Configuration(p.number, p.address, p.channel.address(), p.stage.knownEvents, nil)
}

// writeConfig replaces the gateway's configuration file atomically.
func (p *process) writeConfig() error {
	text, err := p.configuration()
	if err != nil {
		return err
	}
	if err = os.WriteFile(p.configPath()+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(p.configPath()+".new", p.configPath())
}

// hasKillFailpoint reports whether a failpoint is set to kill the process, so that its exit is expected.
func (p *process) hasKillFailpoint() bool {
	return p.stage.OperatorConfig != nil && strings.Contains(p.stage.OperatorConfig(p.number), "kill")
}

// reload writes the configuration files and has the process read them (SIGHUP).
func (p *process) reload() error {
	err := errors.Join(p.writeConfig(), p.stage.writeOperatorConfig(p.number))
	p.ending = p.ending || p.hasKillFailpoint()
	p.signal(syscall.SIGHUP)
	return err
}

// start writes the configuration files and starts the process, unless the stage has no binary.
func (p *process) start() error {
	s := p.stage
	if err := errors.Join(p.writeConfig(), s.writeOperatorConfig(p.number)); err != nil || s.Binary == "" {
		return err
	}
	p.aborts = map[string]func(){}
	p.starts++
	cmd := exec.Command(s.Binary, "serve", "--config", p.configPath())
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "TMPDIR=" + s.dir}
	if s.script.Links.Life > 0 || s.script.Fair.On || s.script.Quorum.On {
		cmd.Env = append(cmd.Env, "POPPYMILL_FILE="+s.operatorConfigPath(p.number))
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
	exited, markExited := context.WithCancel(s.ctx)
	p.cmd, p.ending, p.ready, p.exited = cmd, p.hasKillFailpoint(), false, exited
	s.spawn(func() {
		cmd.Wait()
		markExited()
		at := s.now()
		s.post(func() {
			if p.cmd == cmd {
				p.cmd = nil
				p.closeCallers()
				if !p.ending && !p.ready {
					s.stop(fmt.Errorf("gateway %d exited during startup (%v); use --logs to keep its log", p.number, cmd.ProcessState))
				}
				s.apply(s.world.Handle(at, world.Exited{Gateway: p.number, Crashed: !p.ending}))
			}
		})
	})
	s.spawn(func() { p.waitReady(exited, cmd) })
	return nil
}

// waitReady polls the gateway's health check until it passes or the process has exited.
func (p *process) waitReady(exited context.Context, cmd *exec.Cmd) {
	s := p.stage
	for exited.Err() == nil {
		ctx, cancel := context.WithTimeout(exited, time.Second)
		r, err := clients.Do(ctx, p.address, map[string]string{"SCRIPT_NAME": "/_health"}, nil)
		cancel()
		if err == nil && r.Status == 200 {
			at := s.now()
			s.post(func() {
				if p.cmd == cmd {
					p.ready = true
					s.apply(s.world.Handle(at, world.Ready{Gateway: p.number}))
				}
			})
			return
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-exited.Done():
		}
	}
}

// signal sends a signal; after any but SIGHUP the exit of the process is expected.
func (p *process) signal(sig os.Signal) {
	if p.cmd != nil {
		p.ending = p.ending || sig != syscall.SIGHUP
		p.cmd.Process.Signal(sig)
	}
}

// storePath returns the directory of the gateway's quorum store, which survives restarts.
func (p *process) storePath() string {
	return filepath.Join(p.stage.dir, fmt.Sprintf("store-%d", p.number))
}

// freeze suspends the process (SIGSTOP) and closes its clients' connections, or resumes it (SIGCONT).
func (p *process) freeze(on bool) {
	if p.cmd == nil {
		return
	}
	if on {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		p.closeCallers()
		return
	}
	p.cmd.Process.Signal(syscall.SIGCONT)
	cmd, exited := p.cmd, p.exited
	p.stage.spawn(func() { p.waitReady(exited, cmd) })
}

// kill ends the process with SIGKILL. The world is not notified: it ordered the kill, or the stage is ending.
func (p *process) kill() {
	if p.cmd != nil {
		p.cmd.Process.Kill()
		p.cmd = nil
		p.closeCallers()
	}
}

// closeCallers closes the clients' connections to the process.
func (p *process) closeCallers() {
	for _, c := range p.callers {
		c.Close()
	}
	p.callers, p.aborts = nil, map[string]func(){}
}

// close kills the process and closes its command channel.
func (p *process) close() {
	p.channel.close()
	p.kill()
}

// maxIdleCallers is how many client connections to a gateway are kept while they have no open request.
const maxIdleCallers = 8

// send sends a request on an existing client connection with fewer than 16 open requests, or on a new one.
func (p *process) send(r world.Request) {
	s := p.stage
	done := func(reply clients.Response, err error) {
		at := s.now()
		s.post(func() {
			delete(p.aborts, r.ID)
			var e world.Event = toAnswer(p.number, r.ID, reply)
			if err != nil && reply.Status == 0 {
				e = world.RequestFailed{ID: r.ID}
			}
			s.apply(s.world.Handle(at, e))
		})
	}
	var kept []*clients.Client
	var best *clients.Client
	idle := 0
	for _, c := range p.callers {
		open, alive := c.Open()
		if !alive {
			continue
		}
		if open == 0 {
			if idle++; idle > maxIdleCallers {
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
	sendOn := func(c *clients.Client) error {
		id, err := c.Send(world.Params(r), make([]byte, r.Body), done)
		if err == nil {
			p.aborts[r.ID] = func() { c.Abort(id) }
		}
		return err
	}
	if best != nil && sendOn(best) == nil {
		return
	}
	// On loopback a connection attempt succeeds or is refused at once, so dialling here does not block the event loop.
	ctx, cancel := context.WithTimeout(s.ctx, time.Second)
	defer cancel()
	c, err := clients.Dial(ctx, p.address)
	if err == nil {
		p.callers = append(p.callers, c)
		err = sendOn(c)
	}
	if err != nil {
		refused := errors.Is(err, syscall.ECONNREFUSED)
		at := s.now()
		s.apply(s.world.Handle(at, world.RequestFailed{ID: r.ID, Refused: refused}))
	}
}

// abort aborts an open request.
func (p *process) abort(id string) {
	if abort := p.aborts[id]; abort != nil {
		abort()
	}
}
