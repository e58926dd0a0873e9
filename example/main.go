// Command example is a toy deployment for one gateway: two edge caches, a parent, the origin and the command
// channel, at the addresses that config.json names. Ctrl-C ends it.
package main

import (
	"fmt"
	"os"
	"os/signal"

	"poppymill/example/toy"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "example:", err)
		os.Exit(1)
	}
}

func run() error {
	w, err := toy.New("127.0.0.1:7070")
	if err != nil {
		return err
	}
	defer w.Close()
	w.Log = func(s string) { fmt.Println(s) }
	for _, n := range [][4]string{
		{"edge-1", "box", "club", "127.0.0.1:5051"}, {"edge-2", "box", "club", "127.0.0.1:5052"},
		{"hub-1", "parent", "hub", "127.0.0.1:5053"}, {"core-1", "origin", "hub", "127.0.0.1:5054"},
	} {
		if _, err := w.Add(n[0], n[1], n[2], n[3]); err != nil {
			return err
		}
	}
	w.Known()
	fmt.Println("toy deployment: nodes at 127.0.0.1:5051 to 5054, command channel at", w.Channel())
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	<-stop
	return nil
}
