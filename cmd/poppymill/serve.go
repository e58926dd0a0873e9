package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"poppymill/internal/footprint"
	"poppymill/internal/gateway"
)

// hangups is asked for before anything else is done: a SIGHUP that came first would end the process.
var hangups = func() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

func setupFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars("BALANCER_CONFIG")},
		&cli.StringFlag{Name: "operator", Usage: "the operator's `FILE`, if there is one", Sources: cli.EnvVars("POPPYMILL_FILE")},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{Name: "serve", Usage: "run one gateway until SIGTERM or SIGINT", Flags: setupFlags(), Action: serve}
}

func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "read a configuration and the operator's file and say what is wrong with them",
		Flags: setupFlags(), Action: check}
}

// setup reads both files; neither counts where the other can't be used.
func setup(cmd *cli.Command) (gateway.Setup, error) {
	c, err := footprint.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return gateway.Setup{}, err
	}
	o, err := gateway.LoadSettings(cmd.String("operator"))
	return gateway.Setup{Config: c, Operator: o}, err
}

func serve(ctx context.Context, cmd *cli.Command) error {
	log := logrus.StandardLogger()
	load := func() (gateway.Setup, error) {
		s, err := setup(cmd)
		if err == nil {
			s.Operator.Log.Apply(log)
		}
		return s, err
	}
	s, err := load()
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow is an error of its write, and no end of all downloads
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return gateway.Serve(ctx, s, gateway.Reloads{Wanted: hangups, Load: load}, log)
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.String("config") == "" && cmd.String("operator") != "" {
		if _, err := gateway.LoadSettings(cmd.String("operator")); err != nil {
			return err
		}
		fmt.Printf("%s can be used\n", cmd.String("operator"))
		return nil
	}
	s, err := setup(cmd)
	if err != nil {
		return err
	}
	c := s.Config
	fmt.Printf("%s on %s: %d content types, %d events known\n", c.Name, c.Listen, len(c.Types), len(c.Known))
	if o := cmd.String("operator"); o != "" {
		fmt.Printf("%s can be used\n", o)
	}
	return nil
}
