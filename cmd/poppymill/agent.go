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

	"poppymill/internal/canon"
	"poppymill/internal/maintenance"
	machines "poppymill/internal/maintenance/drive"
	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
)

func agentCommand() *cli.Command {
	return &cli.Command{Name: "agent", Usage: "run on a machine: begins when it is granted, goes only once the gateways agree, works, and says when it is back",
		ArgsUsage: "NAME ADDRESS...", Action: machinesAgent, Flags: []cli.Flag{
			&cli.StringFlag{Name: "state", Required: true, Usage: "`FILE` in which it writes down how far it has come; it survives restarts of agent and machine"},
			&cli.StringFlag{Name: "drain", Usage: "shell command that is run when it may begin, before it asks to go"},
			&cli.StringFlag{Name: "work", Required: true, Usage: "shell command that does the work; it may end the machine"},
			&cli.StringFlag{Name: "ready", Usage: "shell command that ends with 0 once all that stands on the machine runs"},
			&cli.DurationFlag{Name: "every", Value: time.Second, Usage: "how often it looks"},
			&cli.DurationFlag{Name: "within", Value: 3 * time.Second, Usage: "how long a gateway may take to answer"},
			&cli.BoolFlag{Name: "once", Usage: "end once the machine was out and is in again"},
		}}
}

// written is what an agent keeps over restarts.
type written struct {
	Version int `json:"version"`
	maintenance.Keeper
}

const stateVersion = 1

// agent is one machine's, running.
type agent struct {
	cmd       *cli.Command
	name      string
	addresses []string
	first     int // the gateway that answered last
	keeper    maintenance.Keeper
	log       logrus.FieldLogger
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
		held := written{}
		if err = json.Unmarshal(text, &held); err == nil && held.Version != stateVersion {
			err = fmt.Errorf("version: %d, %d is read", held.Version, stateVersion)
		}
		if err != nil {
			return usageError(fmt.Errorf("machines agent: --state: %s: %w", cmd.String("state"), err))
		}
		a.keeper = held.Keeper
	}
	for ctx.Err() == nil {
		over, err := a.look(ctx)
		if err != nil {
			a.log.WithError(err).Warn("machines agent")
		}
		if over && cmd.Bool("once") {
			return nil
		}
		select {
		case <-time.After(cmd.Duration("every")):
		case <-ctx.Done():
		}
	}
	return nil
}

// look does what is next.
func (a *agent) look(ctx context.Context) (over bool, err error) {
	var m machines.Machine
	if err := a.put(ctx, drive.Question{About: "machine", Name: a.name, Fresh: true}, &m); err != nil {
		return false, err
	}
	switch deed := a.keeper.Next(m.Work); deed {
	case maintenance.DoDrain:
		if err := a.run(ctx, "drain", m.Work.Token); err != nil {
			return false, err
		}
		return false, a.order(ctx, maintenance.Drain, m.Work.Token)
	case maintenance.DoGo:
		return false, a.order(ctx, maintenance.Go, m.Work.Token)
	case maintenance.DoWork:
		a.keeper.Begin(m.Work.Token)
		if err := a.save(); err != nil {
			return false, err // nothing is begun that is not written down
		}
		a.log.WithField("token", m.Work.Token).Info("out: the work begins")
		failed := a.run(ctx, "work", m.Work.Token)
		if ctx.Err() != nil {
			return false, ctx.Err() // told to end amid the work, as by the machine's own end: it is seen at the next start what became of it
		}
		a.keeper.End(failed == nil)
		return false, errors.Join(failed, a.save()) // one that failed stays out until somebody says `machines back`
	case maintenance.DoReady:
		if err := a.run(ctx, "ready", m.Work.Token); err != nil {
			return false, nil // not yet
		}
		a.log.Info("back")
		return false, a.order(ctx, maintenance.Back, m.Work.Token)
	case maintenance.Finished:
		a.keeper.Over()
		return true, a.save()
	}
	return false, nil
}

// put asks one gateway after another, the one that answered last first.
func (a *agent) put(ctx context.Context, q drive.Question, to any) (err error) {
	for i := range a.addresses {
		n := (a.first + i) % len(a.addresses)
		within, cancel := context.WithTimeout(ctx, a.cmd.Duration("within"))
		r, failed := drive.Put(within, a.addresses[n], q)
		cancel()
		if failed != nil {
			err = errors.Join(err, fmt.Errorf("%s: %w", a.addresses[n], failed))
			continue
		}
		if a.first = n; r.Error != "" {
			if !r.Report.Majority {
				err = errors.Join(err, fmt.Errorf("%s: %s, and it sees no majority", a.addresses[n], r.Error))
				continue
			}
			return errors.New(r.Error)
		}
		return json.Unmarshal(r.Body, to)
	}
	return err
}

// order has a step agreed. What the log refuses for now, as some gateway is not done with the machine, is no error: it asks again.
func (a *agent) order(ctx context.Context, kind string, token uint64) error {
	var m machines.Machine
	err := a.put(ctx, drive.Question{About: "machine", Name: a.name, Command: &quorum.Command{Book: machines.Book, Kind: kind,
		Data: canon.Encode(maintenance.Order{At: float64(time.Now().UnixMilli()), Machine: a.name, Token: token})}}, &m)
	if err != nil && (strings.Contains(err.Error(), maintenance.ErrWaits.Error()) || strings.Contains(err.Error(), "limit: ")) {
		a.log.WithField("why", err).Debug("may not go yet")
		return nil
	}
	return err
}

// run runs one of the operator's commands; none is none that fails.
func (a *agent) run(ctx context.Context, flag string, token uint64) error {
	text := a.cmd.String(flag)
	if text == "" {
		return nil
	}
	c := exec.CommandContext(ctx, "/bin/sh", "-c", text)
	c.Env = append(os.Environ(), "MACHINE="+a.name, fmt.Sprintf("TOKEN=%d", token))
	c.Stdout, c.Stderr = os.Stderr, os.Stderr
	if err := c.Run(); err != nil {
		return fmt.Errorf("--%s: %w", flag, err)
	}
	return nil
}

// save writes down how far it has come, whole or not at all, and synced.
func (a *agent) save() error {
	text, err := json.Marshal(written{stateVersion, a.keeper})
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
