package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
)

func quorumCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "one document for scripts"},
		&cli.DurationFlag{Name: "within", Usage: "how long each may take to answer", Value: 2 * time.Second}}
	return &cli.Command{Name: "quorum", Usage: "ask gateways what they agree on", Commands: []*cli.Command{
		{Name: "status", Usage: "who leads, who follows, and how far; status 1 where one does not answer or sees no majority",
			ArgsUsage: "ADDRESS...", Flags: flags, Action: quorumStatus},
		{Name: "members", Usage: "who is there, as one gateway knows it", ArgsUsage: "ADDRESS", Flags: flags, Action: quorumMembers},
	}}
}

// answer is what one gateway said, or why it did not.
type answer struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Report  *quorum.Report `json:"report,omitempty"`
}

func askAll(ctx context.Context, cmd *cli.Command) []answer {
	all := make([]answer, cmd.Args().Len())
	var g sync.WaitGroup
	for i, address := range cmd.Args().Slice() {
		g.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
			defer cancel()
			all[i].Address = address
			if r, err := drive.Ask(ctx, address); err != nil {
				all[i].Error = err.Error()
			} else {
				all[i].Report = &r
			}
		})
	}
	g.Wait()
	return all
}

func document(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func quorumStatus(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return unusable(errors.New("quorum status: the peer ADDRESS of a gateway is to be named"))
	}
	all, holds := askAll(ctx, cmd), true
	for _, a := range all {
		holds = holds && a.Report != nil && a.Report.Majority && a.Report.Role != "broken" && a.Report.Role != "yielded"
	}
	if cmd.Bool("json") {
		if err := document(map[string]any{"holds": holds, "gateways": all}); err != nil {
			return err
		}
	} else {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "ADDRESS\tNAME\tROLE\tLEADER\tTERM\tAPPLIED\tVIEW\tMAJORITY")
		for _, a := range all {
			if r := a.Report; r != nil {
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%.0f ms old\t%t\n", a.Address, r.Name, r.Role, r.Leader, r.Term, r.Applied, r.Age, r.Majority)
			} else {
				fmt.Fprintf(t, "%s\t-\tno answer: %s\n", a.Address, a.Error)
			}
		}
		t.Flush()
	}
	if !holds {
		return cli.Exit("", 1)
	}
	return nil
}

func quorumMembers(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return unusable(errors.New("quorum members: the peer ADDRESS of one gateway is to be named"))
	}
	a := askAll(ctx, cmd)[0]
	if a.Report == nil {
		return cli.Exit(fmt.Sprintf("%s: %s", a.Address, a.Error), 1)
	}
	r := a.Report
	if cmd.Bool("json") {
		return document(r)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "as %s knows it, %.0f ms old, up to %d\nNAME\tCLUB\tADDRESS\tINCARNATION\tIS\tSINCE\tLOSSES\tVOTES\n", r.Name, r.Age, r.Applied)
	for _, m := range r.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%t\n", m.Name, m.Zone, m.Address, m.Incarnation, m.Standing, m.Since, m.Losses, m.Votes)
	}
	t.Flush()
	return nil
}
