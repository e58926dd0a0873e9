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
	c := &cli.Command{Name: "rehearse", Usage: "run failure scenarios on gateways against an emulated deployment", Commands: []*cli.Command{
		{Name: "run", Usage: "run a script", ArgsUsage: "SCRIPT", Action: rehearseRun, Flags: []cli.Flag{
			&cli.BoolFlag{Name: "virtual", Usage: "run in virtual time in this process; the output is identical to the byte on each run"},
			&cli.IntFlag{Name: "seed", Usage: "random seed `NUMBER`; overrides the script"},
			&cli.IntFlag{Name: "gateways", Usage: "`NUMBER` of gateways; overrides the script"},
			&cli.StringFlag{Name: "logs", Usage: "keep the gateways' logs in `DIR`"},
			&cli.StringFlag{Name: "binary", Usage: "run another build of the gateway, the executable `FILE`"},
			&cli.StringFlag{Name: "json", Usage: "write the report as JSON to `FILE`; - for standard output"},
		}},
		{Name: "check", Usage: "check a script and report errors", ArgsUsage: "SCRIPT", Action: rehearseCheck},
		{Name: "list", Usage: "list the scripts of a directory", ArgsUsage: "DIR", Action: rehearseList},
	}}
	for _, sub := range c.Commands {
		sub.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err) }
	}
	return c
}

// usageError is the error for wrong usage or invalid input; its exit status is 2.
func usageError(err error) error { return cli.Exit(fmt.Sprintf("poppymill: %v", err), 2) }

func loadScript(cmd *cli.Command) (*script.Script, error) {
	if cmd.Args().Len() != 1 {
		return nil, usageError(errors.New("rehearse: takes one SCRIPT"))
	}
	s, err := script.Load(cmd.Args().First())
	if err != nil {
		return nil, usageError(err)
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
			return usageError(fmt.Errorf("rehearse: %d gateways are too few for %d clubs", s.Gateways, len(s.Clubs)))
		}
	}
	slack := sockets.Slack
	if cmd.Bool("virtual") {
		slack = 0
	}
	counter, audit := report.New(s), auditor.New(s, slack)
	observe := func(f world.Fact) {
		audit.Observe(f)
		counter.Observe(f)
	}
	if cmd.Bool("virtual") {
		_, err = virtual.Run(s, virtual.Options{Facts: observe})
	} else {
		err = runWithProcesses(ctx, cmd, s, observe)
	}
	if err != nil {
		return err
	}
	r := counter.Report(audit)
	if path := cmd.String("json"); path == "-" {
		if err := r.JSON(os.Stdout); err != nil {
			return err
		}
	} else {
		r.Print(os.Stdout)
		if path != "" {
			f, err := os.Create(path)
			if err != nil {
				return usageError(err)
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

// runWithProcesses runs a script with real gateway processes over sockets.
func runWithProcesses(ctx context.Context, cmd *cli.Command, s *script.Script, observe func(world.Fact)) error {
	options := sockets.Options{Binary: cmd.String("binary"), Logs: cmd.String("logs"), Facts: observe}
	if options.Binary == "" {
		executable, err := os.Executable()
		if err != nil {
			return err
		}
		options.Binary = executable
	}
	if _, err := exec.LookPath(options.Binary); err != nil {
		return usageError(err)
	}
	if options.Logs != "" {
		if err := os.MkdirAll(options.Logs, 0o755); err != nil {
			return usageError(err)
		}
	}
	if info, err := os.Stderr.Stat(); err == nil && info.Mode()&os.ModeCharDevice != 0 {
		options.Progress = func(at, length float64) {
			fmt.Fprintf(os.Stderr, "\r%s: %.0f of %.0f s ", s.Name, at/1000, length/1000)
		}
		defer fmt.Fprintln(os.Stderr)
	}
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM)
	defer stop()
	deployment, err := sockets.New(s, options)
	if err != nil {
		return err
	}
	return deployment.Run(ctx)
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
		err = fmt.Errorf("%s: contains no scripts", dir)
	}
	if err != nil {
		return usageError(err)
	}
	for _, f := range files {
		s, err := script.Load(f)
		if err != nil {
			return usageError(err)
		}
		fmt.Printf("%-24s %4.0f s  %s\n", s.Name, s.Length()/1000, s.About)
	}
	return nil
}
