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

	maintenancedriver "poppymill/internal/maintenance/driver"
	ownerdriver "poppymill/internal/owner/driver"
	purgesdriver "poppymill/internal/purges/driver"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

func quorumCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "timeout of the request to each gateway", Value: 2 * time.Second},
		&cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"}}
	return &cli.Command{Name: "quorum", Usage: "query the agreement between gateways", Commands: []*cli.Command{
		{Name: "status", Usage: "show leader, followers and their progress; exit status 1 if a gateway does not answer or sees no majority",
			ArgsUsage: "ADDRESS...", Flags: flags, Action: quorumStatus},
		{Name: "members", Usage: "list the members, as known to one gateway", ArgsUsage: "ADDRESS", Flags: flags, Action: quorumMembers},
		{Name: "recover", Usage: "inspect the store of a stopped gateway, and start a new fleet from it if a majority is permanently lost", ArgsUsage: "FOLDER",
			Flags: append(flags[:1:1], &cli.BoolFlag{Name: "yes", Usage: "start the new fleet, accepting the loss that the command describes without this flag"}), Action: quorumRecover},
	}}
}

// gatewayStatus is the report of one gateway, or the error of the request.
type gatewayStatus struct {
	Address string         `json:"address"`
	Error   string         `json:"error,omitempty"`
	Report  *quorum.Report `json:"report,omitempty"`
}

// queryGateways asks all gateways named by the arguments at the same time.
func queryGateways(ctx context.Context, cmd *cli.Command) []gatewayStatus {
	statuses := make([]gatewayStatus, cmd.Args().Len())
	var wg sync.WaitGroup
	for i, address := range cmd.Args().Slice() {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
			defer cancel()
			statuses[i].Address = address
			if r, err := quorumdriver.SendQuery(ctx, address, quorumdriver.Query{Fresh: cmd.Bool("fresh")}); err != nil {
				statuses[i].Error = err.Error()
			} else if r.Error != "" {
				statuses[i].Error = r.Error
			} else {
				statuses[i].Report = &r.Report
			}
		})
	}
	wg.Wait()
	return statuses
}

// printJSON prints a value as one indented JSON document.
func printJSON(v any) error {
	e := json.NewEncoder(os.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func quorumStatus(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return usageError(errors.New("quorum status: takes the peer ADDRESS of one or more gateways"))
	}
	statuses, healthy := queryGateways(ctx, cmd), true
	for _, a := range statuses {
		healthy = healthy && a.Report != nil && a.Report.Majority && a.Report.Role != "broken" && a.Report.Role != "yielded"
	}
	if cmd.Bool("json") {
		if err := printJSON(map[string]any{"holds": healthy, "gateways": statuses}); err != nil {
			return err
		}
	} else {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "ADDRESS\tNAME\tROLE\tLEADER\tTERM\tAPPLIED\tVIEW\tMAJORITY")
		for _, a := range statuses {
			if r := a.Report; r != nil {
				if r.JointConfig {
					r.Role += ", vote being moved"
				}
				fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%.0f ms old\t%t\n", a.Address, r.Name, r.Role, r.Leader, r.Term, r.Applied, r.Age, r.Majority)
			} else {
				fmt.Fprintf(t, "%s\t-\tno answer: %s\n", a.Address, a.Error)
			}
		}
		t.Flush()
	}
	if !healthy {
		return cli.Exit("", 1)
	}
	return nil
}

func quorumMembers(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError(errors.New("quorum members: takes the peer ADDRESS of one gateway"))
	}
	status := queryGateways(ctx, cmd)[0]
	if status.Report == nil {
		return cli.Exit(fmt.Sprintf("%s: %s", status.Address, status.Error), 1)
	}
	r := status.Report
	if cmd.Bool("json") {
		return printJSON(r)
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "view of %s, %.0f ms old, applied up to index %d\nNAME\tCLUB\tADDRESS\tINCARNATION\tIS\tSINCE\tLOSSES\tVOTES\n", r.Name, r.Age, r.Applied)
	for _, m := range r.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\t%t\n", m.Name, m.Zone, m.Address, m.Incarnation, m.State, m.Since, m.Losses, m.Votes)
	}
	t.Flush()
	return nil
}

func quorumRecover(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return usageError(errors.New("quorum recover: takes the FOLDER of one store"))
	}
	stateMachines := ownerdriver.EmptyStateMachines()
	maps.Copy(stateMachines, maintenancedriver.EmptyStateMachines())
	maps.Copy(stateMachines, purgesdriver.EmptyStateMachines())
	r, err := quorumdriver.Recover(cmd.Args().First(), stateMachines, cmd.Bool("yes"))
	if err != nil {
		return usageError(fmt.Errorf("quorum recover: %s: %w", cmd.Args().First(), err))
	}
	if cmd.Bool("json") {
		return printJSON(r)
	}
	fmt.Printf("store of %s in fleet %x: term %d, known to be committed up to index %d, last log entry at index %d\n%d members, voters: %v\n",
		r.Name, r.Fleet, r.Term, r.CommitIndex, r.LastIndex, r.Members, r.Voters)
	if r.NextFleet != 0 {
		fmt.Printf("the store now begins fleet %x with %s as its only voter: start that gateway; the others join when they hear of the new fleet\n", r.NextFleet, r.Name)
		return nil
	}
	fmt.Println(`nothing was changed. With --yes:
- committed log entries that this store lacks are lost: inspect every remaining store and choose the one with the highest term, and
  among those the one with the highest last log entry;
- log entries in this store that were never committed count as committed;
- incarnations and tokens jump above all that were issued; steps that were in progress may have run or not;
- the old fleet must not come back: a majority of its stores, started where it cannot reach the new fleet, would form a second one.
  Put those stores away. A gateway of the old fleet that hears of the new one leaves the old fleet and joins the new.`)
	return nil
}
