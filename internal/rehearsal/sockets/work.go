package sockets

import (
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"poppymill/internal/canon"
	"poppymill/internal/owner"
	owned "poppymill/internal/owner/drive"
	"poppymill/internal/owner/place"
	"poppymill/internal/purges"
	sweep "poppymill/internal/purges/drive"
	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Put puts a question to a gateway, past the relays.
func (s *Stage) Put(gateway int, q drive.Question, within time.Duration) (drive.Reply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, within)
	defer cancel()
	return drive.Put(ctx, s.relays.listen[gateway], q)
}

// Reports are what the gateways say of what they agree on; nil for one that does not answer.
func (s *Stage) Reports(within time.Duration) []*quorum.Report {
	all := make([]*quorum.Report, len(s.relays.listen))
	var g sync.WaitGroup
	for i := range all {
		g.Go(func() {
			if r, err := s.Put(i, drive.Question{}, within); err == nil {
				all[i] = &r.Report
			}
		})
	}
	g.Wait()
	return all
}

// Records are the effects of owned work as the gateways that answer have them on record, in the order of each place.
func (s *Stage) Records(within time.Duration) [][]place.Entry {
	all := make([][]place.Entry, len(s.relays.listen))
	var g sync.WaitGroup
	for i := range all {
		g.Go(func() {
			if r, err := s.Put(i, drive.Question{About: "effects"}, within); err == nil && r.Error == "" {
				json.Unmarshal(r.Body, &all[i])
			}
		})
	}
	g.Wait()
	return all
}

// records tells the facts of owned work, once all is over.
func (s *Stage) records() {
	if !s.script.Quorum.On || s.Facts == nil || s.Binary == "" {
		return
	}
	at := s.now()
	for i, all := range s.Records(2 * time.Second) {
		for _, e := range all {
			s.Facts(world.Effected{At: at, Gateway: i, Step: e.Effect.Step, Job: e.Effect.Job, From: e.Effect.From, Type: e.Effect.Type.String(),
				Token: e.Effect.Token, Newer: e.Refused, Again: e.Again, Told: e.Told})
		}
	}
}

// work asks one gateway after another for a job, until one says that it was agreed: the same again does nothing.
func (s *Stage) work(j script.Job) {
	job := owner.Job{Name: j.Name, Kind: owned.Drill, Steps: j.Steps, Window: j.Window}
	for job.Type = owner.Safe; job.Type.String() != j.Type; job.Type++ {
	}
	for i := range j.Places {
		s.Do(func(w *world.World) {
			name, _, _ := w.Config(i)
			job.Places = append(job.Places, name)
		})
	}
	command := &quorum.Command{Book: owned.Book, Kind: owner.Start, Data: canon.Encode(job)}
	for i := 0; s.ctx.Err() == nil; i++ {
		if r, err := s.Put(i%len(s.gateways), drive.Question{Command: command}, 2*time.Second); err == nil && r.Error == "" {
			return
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-s.ctx.Done():
		}
	}
}

// withdraw asks one gateway after another for a purge, until one says that it was accepted, and tells what has to hold from then on.
func (s *Stage) withdraw(a world.Withdraw) {
	p, x := purges.Purge{ID: a.ID, Objects: a.Objects, Groups: a.Groups}, sweep.Purge{}
	for i := 0; s.ctx.Err() == nil && x.Purge.ID == ""; i++ {
		g := i % len(s.gateways)
		var l purges.Limits
		if r, err := s.Put(g, drive.Question{About: "purge limits"}, time.Second); err == nil && r.Error == "" && json.Unmarshal(r.Body, &l) == nil {
			o := purges.Order{At: float64(time.Now().UnixMilli()), Purge: &p, Limits: &l}
			command := &quorum.Command{Book: sweep.Book, Kind: purges.Accept, Data: canon.Encode(o)}
			if r, err := s.Put(g, drive.Question{Command: command, About: "purge", Name: a.ID}, 2*time.Second); err == nil && r.Error == "" && json.Unmarshal(r.Body, &x) == nil {
				break
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-s.ctx.Done():
		}
	}
	if x.Purge.ID == "" || s.Facts == nil {
		return
	}
	epoch := float64(s.start.UnixMicro()) / 1000
	s.Do(func(*world.World) {
		f := world.Purging{Group: -1, When: x.Accepted - epoch, By: x.Effective - epoch}
		for _, f.Object = range p.Objects {
			s.Facts(f)
		}
		f.Object = ""
		for _, g := range p.Groups {
			f.Group = int(g)
			s.Facts(f)
		}
	})
}

// Stopped tells whether a gateway's process stands still, as one does that stopped itself at a failpoint.
func (s *Stage) Stopped(gateway int) (stopped bool) {
	s.Do(func(*world.World) {
		if p := s.gateways[gateway]; p.cmd != nil {
			text, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
			_, after, _ := strings.Cut(string(text), ") ")
			stopped = strings.HasPrefix(after, "T")
		}
	})
	return stopped
}

// pid is that of a gateway's process; 0: it has none.
func (s *Stage) pid(gateway int) (pid int) {
	s.Do(func(*world.World) {
		if p := s.gateways[gateway]; p.cmd != nil {
			pid = p.cmd.Process.Pid
		}
	})
	return pid
}

// Gone tells whether a gateway's process has ended.
func (s *Stage) Gone(gateway int) (gone bool) {
	s.Do(func(*world.World) { gone = s.gateways[gateway].cmd == nil })
	return gone
}

// disk does to a gateway's store what a script says became of its disk.
func (p *process) disk(how string) error {
	switch how {
	case "lost":
		return os.RemoveAll(p.store())
	case "old":
		if err := os.RemoveAll(p.store()); err != nil {
			return err
		}
		return os.CopyFS(p.store(), os.DirFS(p.store()+"-old"))
	}
	return nil
}

// copy keeps the store as it is now, in the place of what was kept before. The process stands still meanwhile, so that the copy is
// of one moment, as that of a disk is.
func (p *process) copy() error {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		defer p.cmd.Process.Signal(syscall.SIGCONT)
	}
	old := p.store() + "-old"
	if err := os.RemoveAll(old); err != nil {
		return err
	}
	return os.CopyFS(old, os.DirFS(p.store()))
}

// fill has the disk take nothing more of a process: its files can't grow, nor be written past a byte.
func (p *process) fill(undo bool) error {
	if p.cmd == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if undo {
		limit.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}
