// Command poppymill is a front for caches of large objects behind thin links.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"poppymill/internal/footprint"
	"poppymill/internal/gateway"
)

func main() {
	config := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars("BALANCER_CONFIG")}
	app := &cli.Command{
		Name:  "poppymill",
		Usage: "a front for caches of large objects behind thin links",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "run one gateway until SIGTERM or SIGINT", Flags: []cli.Flag{config}, Action: serve},
			{Name: "check", Usage: "read a configuration and say what is wrong with it", Flags: []cli.Flag{config}, Action: check},
			{Name: "version", Usage: "print what was built", Action: version},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "poppymill:", err)
		os.Exit(1)
	}
}

func serve(ctx context.Context, cmd *cli.Command) error {
	c, err := footprint.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1)
	debug.SetMemoryLimit(int64(c.MemoryMB) << 20 / 4 * 3)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return gateway.Serve(ctx, c, logrus.StandardLogger())
}

func check(_ context.Context, cmd *cli.Command) error {
	c, err := footprint.Load(cmd.String("config"), os.Getenv)
	if err != nil {
		return err
	}
	fmt.Printf("%s on %s: %d content types, %d events known\n", c.Name, c.Listen, len(c.Types), len(c.Known))
	return nil
}

func version(_ context.Context, _ *cli.Command) error {
	fmt.Println("poppymill", built())
	return nil
}

// built tells the revision that the tool chain has put into the binary.
func built() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	text := info.GoVersion
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" || s.Key == "vcs.modified" && s.Value == "true" {
			text += " " + s.Key[len("vcs."):] + " " + s.Value
		}
	}
	return text
}
