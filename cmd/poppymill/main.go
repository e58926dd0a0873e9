// Command poppymill is a front for caches of large objects behind thin links.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	app := &cli.Command{
		Name:     "poppymill",
		Usage:    "a front for caches of large objects behind thin links",
		Commands: []*cli.Command{serveCommand(), checkCommand(), getCommand(), linkCommand(), quorumCommand(), jobCommand(), machinesCommand(), purgeCommand(), rehearseCommand(), versionCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "poppymill:", err)
		var status cli.ExitCoder
		if errors.As(err, &status) {
			os.Exit(status.ExitCode())
		}
		os.Exit(1)
	}
}
