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

	"poppymill/internal/gateway"
	"poppymill/internal/gatewayconfig"
)

// reloadSignals delivers SIGHUP. It is registered at package initialization: a SIGHUP that arrived before would end the
// process.
var reloadSignals = func() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}()

// setupFlags are the flags of both files.
func setupFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "config", Usage: "configuration `FILE`", Sources: cli.EnvVars("BALANCER_CONFIG")},
		&cli.StringFlag{Name: "operator", Usage: "operator's `FILE`, optional", Sources: cli.EnvVars("POPPYMILL_FILE")},
	}
}

func serveCommand() *cli.Command {
	return &cli.Command{Name: "serve", Usage: "run one gateway until SIGTERM or SIGINT", Flags: setupFlags(), Action: serve}
}

func checkCommand() *cli.Command {
	return &cli.Command{Name: "check", Usage: "check a configuration and the operator's file and report errors",
		Flags: setupFlags(), Action: check}
}

// loadConfig reads the platform's configuration.
func loadConfig(cmd *cli.Command) (*gatewayconfig.Config, error) {
	return gatewayconfig.Load(cmd.String("config"), os.Getenv)
}

// loadSetup reads both files for a start; an error in either makes both unusable.
func loadSetup(cmd *cli.Command) (gateway.Setup, error) {
	c, err := loadConfig(cmd)
	if err != nil {
		return gateway.Setup{}, err
	}
	o, err := gateway.LoadSettings(cmd.String("operator"))
	if err != nil {
		return gateway.Setup{}, err
	}
	if _, err := gateway.BudgetFor(c, o); err != nil {
		return gateway.Setup{}, fmt.Errorf("%s: %w", cmd.String("operator"), err)
	}
	return gateway.Setup{Config: c, Operator: o}, nil
}

func serve(ctx context.Context, cmd *cli.Command) error {
	log := logrus.StandardLogger()
	s, err := loadSetup(cmd)
	if err != nil {
		return err
	}
	s.Operator.Log.Apply(log)
	reloads := gateway.Reloads{Signals: reloadSignals,
		LoadConfig: func() (*gatewayconfig.Config, error) { return loadConfig(cmd) },
		LoadOperator: func() (*gateway.Settings, error) {
			o, err := gateway.LoadSettings(cmd.String("operator"))
			if err == nil {
				o.Log.Apply(log)
			}
			return o, err
		}}
	runtime.GOMAXPROCS(1)
	signal.Ignore(syscall.SIGXFSZ) // exceeding the file size limit must fail the write, not end the process and all its downloads
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return gateway.Serve(ctx, s, reloads, log)
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.String("config") == "" && cmd.String("operator") != "" {
		if _, err := gateway.LoadSettings(cmd.String("operator")); err != nil {
			return err
		}
		fmt.Printf("%s is valid\n", cmd.String("operator"))
		return nil
	}
	s, err := loadSetup(cmd)
	if err != nil {
		return err
	}
	c := s.Config
	fmt.Printf("%s on %s: %d content types, %d known events\n", c.Name, c.Listen, len(c.Types), len(c.Known))
	if o := cmd.String("operator"); o != "" {
		fmt.Printf("%s is valid\n", o)
	}
	return nil
}
