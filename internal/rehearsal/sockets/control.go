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

	"poppymill/internal/codec"
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	"poppymill/internal/owner/effectlog"
	"poppymill/internal/purges"
	purgesdriver "poppymill/internal/purges/driver"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/world"
)

// Call sends a question or a command to a gateway's quorum port, bypassing the relays.
func (s *Stage) Call(gateway int, q quorumdriver.Query, within time.Duration) (quorumdriver.Reply, error) {
	ctx, cancel := context.WithTimeout(s.ctx, within)
	defer cancel()
	return quorumdriver.SendQuery(ctx, s.relays.peerAddresses[gateway], q)
}

// QuorumReports returns each gateway's report on the replicated log; nil for one that does not answer.
func (s *Stage) QuorumReports(within time.Duration) []*quorum.Report {
	all := make([]*quorum.Report, len(s.relays.peerAddresses))
	var g sync.WaitGroup
	for i := range all {
		g.Go(func() {
			if r, err := s.Call(i, quorumdriver.Query{}, within); err == nil {
				all[i] = &r.Report
			}
		})
	}
	g.Wait()
	return all
}

// EffectRecords returns the recorded effects of owned work of each gateway that answers, in the order of its record.
func (s *Stage) EffectRecords(within time.Duration) [][]effectlog.Entry {
	all := make([][]effectlog.Entry, len(s.relays.peerAddresses))
	var g sync.WaitGroup
	for i := range all {
		g.Go(func() {
			if r, err := s.Call(i, quorumdriver.Query{Subject: "effects"}, within); err == nil && r.Error == "" {
				json.Unmarshal(r.Body, &all[i])
			}
		})
	}
	g.Wait()
	return all
}

// reportEffects reports the recorded effects of owned work as facts, at the end of the rehearsal.
func (s *Stage) reportEffects() {
	if !s.script.Quorum.On || s.Facts == nil || s.Binary == "" {
		return
	}
	at := s.now()
	for i, all := range s.EffectRecords(2 * time.Second) {
		for _, e := range all {
			s.Facts(world.StepLogged{At: at, Gateway: i, Step: e.Effect.Step, Job: e.Effect.Job, From: e.Effect.From, Type: e.Effect.Type.String(),
				Token: e.Effect.Token, NewerToken: e.NewerToken, Repeated: e.Repeated, TokenNotice: e.FromLog})
		}
	}
}

// startJob submits a job to one gateway after another until one confirms that it was committed. Submitting the same job again
// has no effect.
func (s *Stage) startJob(j script.Job) {
	job := owner.Job{Name: j.Name, Kind: ownerdriver.KindDrill, Steps: j.Steps, Window: j.Window}
	for job.Type = owner.Safe; job.Type.String() != j.Type; job.Type++ {
	}
	for i := range j.Places {
		s.Do(func(w *world.World) {
			name, _, _ := w.Config(i)
			job.Gateways = append(job.Gateways, name)
		})
	}
	command := &quorum.Command{StateMachine: ownerdriver.StateMachineName, Kind: owner.Start, Data: codec.Encode(job)}
	for i := 0; s.ctx.Err() == nil; i++ {
		if r, err := s.Call(i%len(s.gateways), quorumdriver.Query{Command: command}, 2*time.Second); err == nil && r.Error == "" {
			return
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-s.ctx.Done():
		}
	}
}

// startPurge submits a purge to one gateway after another until one confirms that it was accepted and by when it is
// effective, and reports as facts what has to hold from then on.
func (s *Stage) startPurge(a world.SubmitPurge) {
	p, accepted := purges.Purge{ID: a.ID, Objects: a.Objects, Groups: a.Groups}, purgesdriver.PurgeReport{}
	for i := 0; s.ctx.Err() == nil && (accepted.Purge.ID == "" || accepted.Provisional); i++ {
		gateway := i % len(s.gateways)
		var limits purges.Limits
		if r, err := s.Call(gateway, quorumdriver.Query{Subject: "purge limits"}, time.Second); err == nil && r.Error == "" && json.Unmarshal(r.Body, &limits) == nil {
			order := purges.CommandData{At: float64(time.Now().UnixMilli()), Purge: &p, Limits: &limits, AwaitBegin: true}
			command := &quorum.Command{StateMachine: purgesdriver.StateMachineName, Kind: purges.Accept, Data: codec.Encode(order)}
			if r, err := s.Call(gateway, quorumdriver.Query{Command: command, Subject: "purge", Name: a.ID}, 2*time.Second); err == nil && r.Error == "" && json.Unmarshal(r.Body, &accepted) == nil && !accepted.Provisional {
				break
			}
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-s.ctx.Done():
		}
	}
	if accepted.Purge.ID == "" || accepted.Provisional || s.Facts == nil {
		return
	}
	epoch := float64(s.start.UnixMicro()) / 1000
	s.Do(func(*world.World) {
		f := world.PurgeAgreed{Group: -1, When: accepted.Accepted - epoch, Deadline: accepted.Effective - epoch}
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

// ProcessStopped reports whether a gateway's process is suspended, e.g. because it stopped itself at a failpoint.
func (s *Stage) ProcessStopped(gateway int) (stopped bool) {
	s.Do(func(*world.World) {
		if p := s.gateways[gateway]; p.cmd != nil {
			text, _ := os.ReadFile(filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), "stat"))
			_, after, _ := strings.Cut(string(text), ") ")
			stopped = strings.HasPrefix(after, "T")
		}
	})
	return stopped
}

// pid returns the ID of a gateway's process; 0 if none is running.
func (s *Stage) pid(gateway int) (pid int) {
	s.Do(func(*world.World) {
		if p := s.gateways[gateway]; p.cmd != nil {
			pid = p.cmd.Process.Pid
		}
	})
	return pid
}

// ProcessExited reports whether a gateway's process has exited.
func (s *Stage) ProcessExited(gateway int) (exited bool) {
	s.Do(func(*world.World) { exited = s.gateways[gateway].cmd == nil })
	return exited
}

// applyDiskFault removes a gateway's store ("lost") or replaces it by the copy made earlier ("old").
func (p *process) applyDiskFault(fault string) error {
	switch fault {
	case "lost":
		return os.RemoveAll(p.storePath())
	case "old":
		if err := os.RemoveAll(p.storePath()); err != nil {
			return err
		}
		return os.CopyFS(p.storePath(), os.DirFS(p.storePath()+"-old"))
	}
	return nil
}

// copyStore copies the store, replacing an earlier copy. The process is suspended meanwhile, so that the copy shows one point
// in time, as a disk snapshot does.
func (p *process) copyStore() error {
	if p.cmd != nil {
		p.cmd.Process.Signal(syscall.SIGSTOP)
		defer p.cmd.Process.Signal(syscall.SIGCONT)
	}
	backup := p.storePath() + "-old"
	if err := os.RemoveAll(backup); err != nil {
		return err
	}
	return os.CopyFS(backup, os.DirFS(p.storePath()))
}

// fillDisk emulates a full disk by a file size limit of one byte on the process; undo removes the limit.
func (p *process) fillDisk(undo bool) error {
	if p.cmd == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: 1, Max: unix.RLIM_INFINITY}
	if undo {
		limit.Cur = unix.RLIM_INFINITY
	}
	return unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}
