package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/urfave/cli/v3"

	"poppymill/internal/rehearsal/auditor"
	"poppymill/internal/rehearsal/report"
	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/sockets"
	"poppymill/internal/rehearsal/virtual"
	"poppymill/internal/rehearsal/world"
)

func rehearseCommand() *cli.Command {
	c := &cli.Command{Name: "rehearse", Usage: "practise a bad morning on gateways against an emulated deployment", Commands: []*cli.Command{
		{Name: "run", Usage: "play a script", ArgsUsage: "SCRIPT", Action: rehearseRun, Flags: []cli.Flag{
			&cli.BoolFlag{Name: "virtual", Usage: "in virtual time, in this process, the same to the byte each time"},
			&cli.IntFlag{Name: "seed", Usage: "`NUMBER` in place of the script's"},
			&cli.IntFlag{Name: "gateways", Usage: "`NUMBER` in place of the script's"},
			&cli.StringFlag{Name: "logs", Usage: "keep the gateways' logs in a `DIR`"},
			&cli.StringFlag{Name: "binary", Usage: "play another build of the gateway, a `FILE`"},
			&cli.StringFlag{Name: "json", Usage: "write the report to a `FILE`, - for standard output"},
		}},
		{Name: "check", Usage: "read a script and say what is wrong with it", ArgsUsage: "SCRIPT", Action: rehearseCheck},
		{Name: "list", Usage: "name the scripts of a folder", ArgsUsage: "DIR", Action: rehearseList},
	}}
	for _, sub := range c.Commands {
		sub.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return unusable(err) }
	}
	return c
}

// unusable is wrong use, or input that can't be used: exit status 2.
func unusable(err error) error { return cli.Exit(fmt.Sprintf("poppymill: %v", err), 2) }

func loadScript(cmd *cli.Command) (*script.Script, error) {
	if cmd.Args().Len() != 1 {
		return nil, unusable(errors.New("rehearse: one SCRIPT is to be named"))
	}
	s, err := script.Load(cmd.Args().First())
	if err != nil {
		return nil, unusable(err)
	}
	return s, nil
}

func rehearseRun(ctx context.Context, cmd *cli.Command) error {
	s, err := loadScript(cmd)
	if err != nil {
		return err
	}
	if cmd.IsSet("seed") {
		s.Seed = cmd.Int("seed")
	}
	if cmd.IsSet("gateways") {
		if s.Gateways = cmd.Int("gateways"); s.Gateways < len(s.Clubs) {
			return unusable(fmt.Errorf("rehearse: %d gateways for %d clubs", s.Gateways, len(s.Clubs)))
		}
	}
	slack := sockets.Slack
	if cmd.Bool("virtual") {
		slack = 0
	}
	count, audit := report.New(s), auditor.New(s, slack)
	facts := func(f world.Fact) {
		audit.See(f)
		count.See(f)
	}
	if cmd.Bool("virtual") {
		_, err = virtual.Run(s, virtual.Options{Facts: facts})
	} else {
		err = onSockets(ctx, cmd, s, facts)
	}
	if err != nil {
		return err
	}
	r := count.Report(audit)
	if path := cmd.String("json"); path == "-" {
		if err := r.JSON(os.Stdout); err != nil {
			return err
		}
	} else {
		r.Print(os.Stdout)
		if path != "" {
			f, err := os.Create(path)
			if err != nil {
				return unusable(err)
			}
			if err = errors.Join(r.JSON(f), f.Close()); err != nil {
				return err
			}
		}
	}
	if !r.Outcome.Holds {
		return cli.Exit("", 1)
	}
	return nil
}

// onSockets plays a script with real processes.
func onSockets(ctx context.Context, cmd *cli.Command, s *script.Script, facts func(world.Fact)) error {
	o := sockets.Options{Binary: cmd.String("binary"), Logs: cmd.String("logs"), Facts: facts}
	if o.Binary == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		o.Binary = own
	}
	if _, err := exec.LookPath(o.Binary); err != nil {
		return unusable(err)
	}
	if o.Logs != "" {
		if err := os.MkdirAll(o.Logs, 0o755); err != nil {
			return unusable(err)
		}
	}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		o.Progress = func(at, length float64) {
			fmt.Fprintf(os.Stderr, "\r%s: %.0f of %.0f s ", s.Name, at/1000, length/1000)
		}
		defer fmt.Fprintln(os.Stderr)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	stage, err := sockets.New(s, o)
	if err != nil {
		return err
	}
	return stage.Run(ctx)
}

func rehearseCheck(_ context.Context, cmd *cli.Command) error {
	s, err := loadScript(cmd)
	if err != nil {
		return err
	}
	fmt.Printf("%s: %d gateways, %d edge caches, %d hubs, %.0f s in %d phases, %d events: %s\n", s.Name, s.Gateways, s.Box.Count, s.Hub.Count,
		s.Length()/1000, len(s.Phases), len(s.Events), s.About)
	return nil
}

func rehearseList(_ context.Context, cmd *cli.Command) error {
	dir := cmd.Args().First()
	if dir == "" {
		dir = "deploy/rehearsals"
	}
	files, err := filepath.Glob(filepath.Join(dir, "*.hcl"))
	if err == nil && len(files) == 0 {
		err = fmt.Errorf("%s: no scripts", dir)
	}
	if err != nil {
		return unusable(err)
	}
	for _, f := range files {
		s, err := script.Load(f)
		if err != nil {
			return unusable(err)
		}
		fmt.Printf("%-24s %4.0f s  %s\n", s.Name, s.Length()/1000, s.About)
	}
	return nil
}
