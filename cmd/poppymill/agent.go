package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"poppymill/internal/codec"
	"poppymill/internal/maintenance"
	maintenancedriver "poppymill/internal/maintenance/driver"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

func agentCommand() *cli.Command {
	return &cli.Command{Name: "agent", Usage: "run the maintenance agent of a machine: drain on a grant, run the work once the gateways agree, and report the machine back",
		ArgsUsage: "NAME ADDRESS...", Action: machinesAgent, Flags: []cli.Flag{
			&cli.StringFlag{Name: "state", Required: true, Usage: "`FILE` that stores the progress over restarts of agent and machine"},
			&cli.StringFlag{Name: "drain", Usage: "shell command to run once the request is granted, before the agent asks to go out"},
			&cli.StringFlag{Name: "work", Required: true, Usage: "shell command that does the work; it may restart or shut down the machine"},
			&cli.StringFlag{Name: "ready", Usage: "shell command that exits with 0 once everything on the machine is running"},
			&cli.DurationFlag{Name: "every", Value: time.Second, Usage: "polling interval"},
			&cli.DurationFlag{Name: "within", Value: 3 * time.Second, Usage: "timeout of a request to one gateway"},
			&cli.BoolFlag{Name: "once", Usage: "exit once the machine was out and is in again"},
		}}
}

// agentState is the file that an agent keeps over restarts.
type agentState struct {
	Version int `json:"version"`
	maintenance.AgentState
}

// stateVersion is the version of the file format.
const stateVersion = 1

// agent is the running maintenance agent of one machine.
type agent struct {
	cmd          *cli.Command
	name         string
	addresses    []string // of gateways
	lastAnswered int      // index of the gateway that answered last
	state        maintenance.AgentState
	log          logrus.FieldLogger
}

func machinesAgent(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return usageError(errors.New("machines agent: takes NAME ADDRESS..."))
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	a := &agent{cmd: cmd, name: args[0], addresses: args[1:], log: logrus.StandardLogger().WithField("machine", args[0])}
	switch text, err := os.ReadFile(cmd.String("state")); {
	case errors.Is(err, os.ErrNotExist):
	case err != nil:
		return usageError(fmt.Errorf("machines agent: --state: %w", err))
	default:
		saved := agentState{}
		if err = json.Unmarshal(text, &saved); err == nil && saved.Version != stateVersion {
			err = fmt.Errorf("version: %d, %d is read", saved.Version, stateVersion)
		}
		if err != nil {
			return usageError(fmt.Errorf("machines agent: --state: %s: %w", cmd.String("state"), err))
		}
		a.state = saved.AgentState
	}
	for ctx.Err() == nil {
		finished, err := a.step(ctx)
		if err != nil {
			a.log.WithError(err).Warn("machines agent")
		}
		if finished && cmd.Bool("once") {
			return nil
		}
		select {
		case <-time.After(cmd.Duration("every")):
		case <-ctx.Done():
		}
	}
	return nil
}

// step asks the gateways for the state of the machine and does what is next. It reports whether a request is finished.
func (a *agent) step(ctx context.Context) (finished bool, err error) {
	var m maintenancedriver.Machine
	if err := a.query(ctx, quorumdriver.Query{Subject: "machine", Name: a.name, Fresh: true}, &m); err != nil {
		return false, err
	}
	switch action := a.state.Next(m.Work); action {
	case maintenance.ActionDrain:
		if err := a.runCommand(ctx, "drain", m.Work.Token); err != nil {
			return false, err
		}
		return false, a.submit(ctx, maintenance.Drain, m.Work.Token)
	case maintenance.ActionLeave:
		return false, a.submit(ctx, maintenance.Leave, m.Work.Token)
	case maintenance.ActionWork:
		a.state.StartWork(m.Work.Token)
		if err := a.saveState(); err != nil {
			return false, err // the work must not begin before its start is on disk
		}
		a.log.WithField("token", m.Work.Token).Info("machine is out, starting the work")
		workErr := a.runCommand(ctx, "work", m.Work.Token)
		if ctx.Err() != nil {
			return false, ctx.Err() // stopped during the work, for example by the shutdown of the machine: the next start finds out the result
		}
		a.state.FinishWork(workErr == nil)
		return false, errors.Join(workErr, a.saveState()) // after a failure the machine stays out until somebody runs `machines back`
	case maintenance.ActionCheckReady:
		if err := a.runCommand(ctx, "ready", m.Work.Token); err != nil {
			return false, nil // not yet
		}
		a.log.Info("machine is back")
		return false, a.submit(ctx, maintenance.Return, m.Work.Token)
	case maintenance.ActionDone:
		a.state.Reset()
		return true, a.saveState()
	}
	return false, nil
}

// query asks one gateway after another, starting with the one that answered last, and stores the body of the reply in
// dst.
func (a *agent) query(ctx context.Context, q quorumdriver.Query, dst any) (err error) {
	for i := range a.addresses {
		n := (a.lastAnswered + i) % len(a.addresses)
		queryCtx, cancel := context.WithTimeout(ctx, a.cmd.Duration("within"))
		r, queryErr := quorumdriver.SendQuery(queryCtx, a.addresses[n], q)
		cancel()
		if queryErr != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", a.addresses[n], queryErr))
			continue
		}
		if a.lastAnswered = n; r.Error != "" {
			if !r.Report.Majority {
				err = errors.Join(err, fmt.Errorf("%s: %s (it sees no majority)", a.addresses[n], r.Error))
				continue
			}
			return errors.New(r.Error)
		}
		return json.Unmarshal(r.Body, dst)
	}
	return err
}

// submit has the gateways agree on a command for the machine. A refusal for now, as some gateway is not done with the
// machine or a limit is reached, is not an error: the agent asks again.
func (a *agent) submit(ctx context.Context, kind string, token uint64) error {
	var m maintenancedriver.Machine
	err := a.query(ctx, quorumdriver.Query{Subject: "machine", Name: a.name, Command: &quorum.Command{StateMachine: maintenancedriver.StateMachineName, Kind: kind,
		Data: codec.Encode(maintenance.CommandData{At: float64(time.Now().UnixMilli()), Machine: a.name, Token: token})}}, &m)
	if err != nil && (strings.Contains(err.Error(), maintenance.ErrPendingAcks.Error()) || strings.Contains(err.Error(), "limit: ")) {
		a.log.WithField("why", err).Debug("the machine may not go out yet")
		return nil
	}
	return err
}

// runCommand runs one of the operator's shell commands; an empty command succeeds.
func (a *agent) runCommand(ctx context.Context, flag string, token uint64) error {
	command := a.cmd.String(flag)
	if command == "" {
		return nil
	}
	c := exec.CommandContext(ctx, "/bin/sh", "-c", command)
	c.Env = append(os.Environ(), "MACHINE="+a.name, fmt.Sprintf("TOKEN=%d", token))
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	if err := c.Run(); err != nil {
		return fmt.Errorf("--%s: %w", flag, err)
	}
	return nil
}

// saveState replaces the state file atomically and syncs file and directory.
func (a *agent) saveState() error {
	text, err := json.Marshal(agentState{stateVersion, a.state})
	if err != nil {
		return err
	}
	path := a.cmd.String("state")
	f, err := os.OpenFile(path+".new", os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(append(text, '\n'))
	if err = errors.Join(err, f.Sync(), f.Close()); err == nil {
		err = os.Rename(path+".new", path)
	}
	if err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
