// Command example emulates a small deployment for one gateway: two edge caches, a hub, the member core and the command
// channel, at the addresses that config.json names. Ctrl-C stops it.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"

	"poppymill/internal/rehearsal/script"
	"poppymill/internal/rehearsal/sockets"
	"poppymill/internal/rehearsal/world"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run() error {
	s, err := script.Load("example/deployment.hcl")
	if err != nil {
		return err
	}
	addresses := map[string]string{"box-1:5050": "127.0.0.1:5051", "box-2:5050": "127.0.0.1:5052", "box-3:5050": "127.0.0.1:5053",
		"box-4:5050": "127.0.0.1:5054", "channel": "127.0.0.1:7070"}
	deployment, err := sockets.New(s, sockets.Options{
		Addresses: func(name string) string { return addresses[name] },
		Facts: func(f world.Fact) {
			if f, ok := f.(world.Served); ok {
				fmt.Printf("%s: %s: %s %s\n", f.Box, f.ID, f.Word, f.Note)
			}
		}})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	fmt.Println("deployment: boxes at 127.0.0.1:5051 to 5054, command channel at", deployment.Channel(0))
	if err = deployment.Run(ctx); ctx.Err() != nil {
		return nil
	}
	return err
}
