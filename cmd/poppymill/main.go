// Command poppymill is a gateway for caches of large objects behind links of low bandwidth. It also has the
// sub-commands by which operators query and manage running gateways.
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
		Usage:    "gateway for caches of large objects behind links of low bandwidth",
		Commands: []*cli.Command{serveCommand(), checkCommand(), getCommand(), linkCommand(), quorumCommand(), jobCommand(), machinesCommand(), purgeCommand(), rehearseCommand(), versionCommand()},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "poppymill:", err)
		var coder cli.ExitCoder
		if errors.As(err, &coder) {
			os.Exit(coder.ExitCode())
		}
		os.Exit(1)
	}
}
