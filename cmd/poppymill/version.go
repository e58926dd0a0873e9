package main

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print what was built", Action: version}
}

func version(_ context.Context, _ *cli.Command) error {
	fmt.Println("poppymill", built())
	return nil
}

// built tells what the tool chain has put into the binary: its own version, the revision where it knows one, the
// build tags, and the libraries.
func built() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of an unknown build"
	}
	text := info.Main.Version + " " + info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision", "vcs.time", "-tags":
			text += fmt.Sprintf(" %s=%s", strings.TrimPrefix(s.Key, "-"), s.Value)
		}
	}
	for _, d := range info.Deps {
		text += fmt.Sprintf("\n%s %s", d.Path, d.Version)
	}
	return text
}
