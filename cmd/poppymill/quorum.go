package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	machines "poppymill/internal/maintenance/drive"
	owned "poppymill/internal/owner/drive"
	purges "poppymill/internal/purges/drive"
	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
)

func quorumCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "how long each may take to answer", Value: 2 * time.Second},
		&cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"}}
	return &cli.Command{Name: "quorum", Usage: "ask gateways what they agree on", Commands: []*cli.Command{
		{Name: "status", Usage: "who leads, who follows, and how far; status 1 where one does not answer or sees no majority",
			ArgsUsage: "ADDRESS...", Flags: flags, Action: quorumStatus},
		{Name: "members", Usage: "who is there, as one gateway knows it", ArgsUsage: "ADDRESS", Flags: flags, Action: quorumMembers},
		{Name: "recover", Usage: "look at the store of a gateway that does not run, and make a fleet of it where a majority is lost for good", ArgsUsage: "FOLDER",
			Flags: append(flags[:1:1], &cli.BoolFlag{Name: "yes", Usage: "do it, with what may be lost in mind"}), Action: quorumRecover},
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
			if r, err := drive.Put(ctx, address, drive.Question{Fresh: cmd.Bool("fresh")}); err != nil {
				all[i].Error = err.Error()
			} else if r.Error != "" {
				all[i].Error = r.Error
			} else {
				all[i].Report = &r.Report
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
		return usageError(errors.New("quorum status: the peer ADDRESS of a gateway is to be named"))
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
				if r.Moving {
					r.Role += ", a vote moves"
				}
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
		return usageError(errors.New("quorum members: the peer ADDRESS of one gateway is to be named"))
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

func quorumRecover(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError(errors.New("quorum recover: the FOLDER of one store is to be named"))
	}
	books := owned.Books()
	maps.Copy(books, machines.Books())
	maps.Copy(books, purges.Books())
	r, err := drive.Recover(cmd.Args().First(), books, cmd.Bool("yes"))
	if err != nil {
		return usageError(fmt.Errorf("quorum recover: %s: %w", cmd.Args().First(), err))
	}
	if cmd.Bool("json") {
		return document(r)
	}
	fmt.Printf("the store of %s, of fleet %x: term %d, agreed up to %d as far as it knows, the newest entry at %d\n%d members; those that vote: %v\n",
		r.Name, r.Fleet, r.Term, r.Agreed, r.Last, r.Members, r.Voters)
	if r.Next != 0 {
		fmt.Printf("it begins fleet %x, in which %s votes alone: start that gateway; the others join it when they hear of it\n", r.Next, r.Name)
		return nil
	}
	fmt.Println(`nothing was changed. With --yes:
- what was agreed and is not in this store is lost: look at every store that is left, and take the one with the highest term, and of
  those the highest newest entry;
- what is in it and was never agreed counts as agreed;
- incarnations and tokens leap above all that were given out; steps that were under way are in doubt;
- the old fleet must not come back: a majority of its stores, started where it does not hear of the new fleet, would be a second one.
  Put those stores away. One that hears of the new fleet gives itself up and joins it.`)
	return nil
}
