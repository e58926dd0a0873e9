package main

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/urfave/cli/v3"
)

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "print the version, build settings and dependencies", Action: version}
}

func version(_ context.Context, _ *cli.Command) error {
	fmt.Println("poppymill", buildInfo())
	return nil
}

// buildInfo returns the build information that the Go tool chain stores in the binary: module and Go version, the
// revision if known, the build tags, and the dependencies.
func buildInfo() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "(build information not available)"
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
