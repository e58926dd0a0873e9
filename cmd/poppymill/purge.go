package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"poppymill/internal/codec"
	"poppymill/internal/purges"
	purgesdriver "poppymill/internal/purges/driver"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

func purgeCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "timeout of the request to the gateway", Value: 5 * time.Second}}
	queryFlags := append(flags[:2:2], &cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"})
	requestFlags := append(flags[:2:2], &cli.StringFlag{Name: "id", Usage: "id of the purge; repeating a purge with the same id has no effect", Required: true},
		&cli.StringFlag{Name: "club", Usage: "purge at this club only"}, &cli.BoolFlag{Name: "stale", Usage: "an older copy may still be served if no newer one is available"},
		&cli.StringFlag{Name: "wait", Usage: "wait until the purge is sent, done (confirmed by all present gateways) or effective; exit status 1 if a gateway has not confirmed it by then"})
	return &cli.Command{Name: "purge", Usage: "purge copies of objects at all gateways, and show the progress", Commands: []*cli.Command{
		{Name: "objects", Usage: "purge objects by name", ArgsUsage: "ADDRESS OBJECT...", Flags: requestFlags, Action: purgeRequest},
		{Name: "tag", Usage: "purge objects by the number of their group", ArgsUsage: "ADDRESS GROUP...", Flags: requestFlags, Action: purgeRequest},
		{Name: "pattern", Usage: "purge objects by a regular expression that matches the whole name", ArgsUsage: "ADDRESS PATTERN", Flags: requestFlags, Action: purgeRequest},
		{Name: "status", Usage: "show one purge; exit status 1 if it should be effective and a gateway has not confirmed it", ArgsUsage: "ADDRESS ID", Flags: queryFlags, Action: purgeStatus},
		{Name: "list", Usage: "list the remembered purges in order", ArgsUsage: "ADDRESS", Flags: queryFlags, Action: purgeList},
		{Name: "followers", Usage: "show which purges each gateway has applied; exit status 1 if a present gateway has not applied all that were sent", ArgsUsage: "ADDRESS", Flags: queryFlags, Action: purgeFollowers},
		{Name: "cancel", Usage: "cancel a purge: no further batches are sent", ArgsUsage: "ADDRESS ID", Flags: flags, Action: purgeCancel},
	}}
}

// submitPurgeCommand has the gateways agree on a command, through the gateway at the address in the first argument. A
// new purge gets the limits of that gateway.
func submitPurgeCommand(ctx context.Context, cmd *cli.Command, kind string, o purges.CommandData) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	address := cmd.Args().First()
	if kind == purges.Accept {
		r, err := quorumdriver.SendQuery(ctx, address, quorumdriver.Query{Subject: "purge limits"})
		if err == nil && r.Error != "" {
			err = errors.New(r.Error)
		}
		if err == nil {
			o.Limits = &purges.Limits{}
			err = json.Unmarshal(r.Body, o.Limits)
		}
		if err != nil {
			return cli.Exit(fmt.Sprintf("purge %s: %s: %v", cmd.Name, address, err), 1)
		}
	}
	o.At = float64(time.Now().UnixMilli())
	r, err := quorumdriver.SendQuery(ctx, address, quorumdriver.Query{Command: &quorum.Command{StateMachine: purgesdriver.StateMachineName, Kind: kind, Data: codec.Encode(o)}})
	switch {
	case err != nil:
		return cli.Exit(fmt.Sprintf("purge %s: %s: %v; the command may have been accepted: repeat it with the same id", cmd.Name, address, err), 1)
	case r.Error == quorum.ErrGivenUp.Error():
		return cli.Exit(fmt.Sprintf("purge %s: %s: %s: repeat the command with the same id, or check with purge status", cmd.Name, address, r.Error), 1)
	case r.Error != "":
		return cli.Exit(fmt.Sprintf("purge %s: %s: %s", cmd.Name, address, r.Error), 1)
	}
	return nil
}

func purgeRequest(ctx context.Context, cmd *cli.Command) error {
	args := cmd.Args().Tail()
	if len(args) == 0 || cmd.Name == "pattern" && len(args) > 1 {
		return usageError(fmt.Errorf("purge %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	wait := cmd.String("wait")
	if wait != "" && wait != "sent" && wait != "done" && wait != "effective" {
		return usageError(fmt.Errorf("purge %s: --wait: %q is none of sent, done, effective", cmd.Name, wait))
	}
	p := purges.Purge{ID: cmd.String("id"), Club: cmd.String("club"), Stale: cmd.Bool("stale")}
	switch cmd.Name {
	case "objects":
		p.Objects = args
	case "pattern":
		p.Pattern = args[0]
	case "tag":
		for _, a := range args {
			group, err := strconv.ParseInt(a, 10, 64)
			if err != nil {
				return usageError(fmt.Errorf("purge tag: GROUP: %q is not a number", a))
			}
			p.Groups = append(p.Groups, group)
		}
	}
	if err := p.Check(); err != nil {
		return usageError(fmt.Errorf("purge %s: %w", cmd.Name, err))
	}
	if err := submitPurgeCommand(ctx, cmd, purges.Accept, purges.CommandData{Purge: &p, AwaitBegin: true}); err != nil {
		return err
	}
	if err := waitForBegin(ctx, cmd, p.ID); err != nil {
		return err
	}
	for {
		x, err := queryPurge(ctx, cmd, p.ID)
		if err != nil {
			return err
		}
		overdue := float64(time.Now().UnixMilli()) > x.Effective
		reached := wait == "" || wait == "sent" && x.Published == len(x.Purge.Objects) || x.Stage == purges.Done.String() || x.Stage == purges.Cancelled.String()
		if reached || overdue {
			if err := printPurge(cmd, x); err != nil {
				return err
			}
			if overdue && !reached && len(x.Unconfirmed) > 0 {
				return cli.Exit("", 1)
			}
			return nil
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beginCheckInterval is the time between checks whether the time of a purge is fixed.
const beginCheckInterval = 20 * time.Millisecond

// waitForBegin waits until the time by which an accepted purge is effective is fixed.
func waitForBegin(ctx context.Context, cmd *cli.Command, id string) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	for {
		x, err := queryPurge(ctx, cmd, id)
		if err != nil || !x.Provisional || x.Stage == purges.Cancelled.String() {
			return err
		}
		select {
		case <-time.After(beginCheckInterval):
		case <-ctx.Done():
			return cli.Exit(fmt.Sprintf("purge %s: %s: accepted, but the time by which it is effective is not agreed yet: check with purge status", cmd.Name, cmd.Args().First()), 1)
		}
	}
}

// formatEffective formats the time by which a purge is effective.
func formatEffective(x purgesdriver.PurgeReport) string {
	if x.Effective == 0 {
		return "a time that is not agreed yet"
	}
	return formatTime(x.Effective)
}

// queryPurge queries one purge by its id.
func queryPurge(ctx context.Context, cmd *cli.Command, id string) (x purgesdriver.PurgeReport, err error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := quorumdriver.SendQuery(ctx, cmd.Args().First(), quorumdriver.Query{Subject: "purge", Name: id, Fresh: cmd.Bool("fresh")})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	if err == nil {
		err = json.Unmarshal(r.Body, &x)
	}
	if err != nil {
		return x, cli.Exit(fmt.Sprintf("purge %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return x, nil
}

// printPurge prints one purge as a text or as JSON.
func printPurge(cmd *cli.Command, x purgesdriver.PurgeReport) error {
	if cmd.Bool("json") {
		return printJSON(x)
	}
	fmt.Printf("purge %s: %s; accepted %s, position %d, effective by %s\n", x.Purge.ID, x.Stage, formatTime(x.Accepted), x.LogIndex, formatEffective(x))
	if n := len(x.Purge.Objects); n > 0 {
		fmt.Printf("%d of %d objects sent, %d of them already covered by a newer purge\n", x.Published, n, x.Superseded)
	}
	if len(x.Unconfirmed) > 0 {
		fmt.Printf("waits for confirmation by %s\n", strings.Join(x.Unconfirmed, ", "))
	}
	if len(x.Missing) > 0 {
		fmt.Printf("not confirmed by %s: lost, and without news of purges since\n", strings.Join(x.Missing, ", "))
	}
	return nil
}

func purgeStatus(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("purge status: takes ADDRESS ID"))
	}
	x, err := queryPurge(ctx, cmd, cmd.Args().Get(1))
	if err != nil {
		return err
	}
	if err := printPurge(cmd, x); err != nil {
		return err
	}
	if len(x.Unconfirmed) > 0 && !x.Provisional && float64(time.Now().UnixMilli()) > x.Effective {
		return cli.Exit("", 1)
	}
	return nil
}

// queryPurges queries the gateway at the address in the only argument and stores the body of the reply in dst.
func queryPurges(ctx context.Context, cmd *cli.Command, about string, dst any) (quorumdriver.Reply, error) {
	if cmd.Args().Len() != 1 {
		return quorumdriver.Reply{}, usageError(fmt.Errorf("purge %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := quorumdriver.SendQuery(ctx, cmd.Args().First(), quorumdriver.Query{Subject: about, Fresh: cmd.Bool("fresh")})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	if err == nil {
		err = json.Unmarshal(r.Body, dst)
	}
	if err != nil {
		return r, cli.Exit(fmt.Sprintf("purge %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return r, nil
}

func purgeFollowers(ctx context.Context, cmd *cli.Command) error {
	var reply struct {
		Last     uint64                       `json:"last"`
		Gateways []purgesdriver.GatewayReport `json:"gateways"`
	}
	r, err := queryPurges(ctx, cmd, "purge followers", &reply)
	if err != nil {
		return err
	}
	allFollow := true
	for _, g := range reply.Gateways {
		allFollow = allFollow && (g.Follows || !g.Joined)
	}
	if cmd.Bool("json") {
		err = printJSON(map[string]any{"view": r.Report, "last": reply.Last, "holds": allFollow, "gateways": reply.Gateways})
	} else {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "%s; last sent at index %d\nGATEWAY\tTHERE\tSINCE\tGOES BY ALL UP TO\tFOLLOWS\n", viewHeader(r), reply.Last)
		for _, g := range reply.Gateways {
			fmt.Fprintf(t, "%s\t%t\t%s\t%d\t%t\n", g.Name, g.Joined, formatTime(g.Since), g.Confirmed, g.Follows)
		}
		err = t.Flush()
	}
	if err == nil && !allFollow {
		return cli.Exit("", 1)
	}
	return err
}

func purgeList(ctx context.Context, cmd *cli.Command) error {
	var reply struct {
		Held   int                        `json:"held"`
		Floor  float64                    `json:"floor"`
		Purges []purgesdriver.PurgeReport `json:"purges"`
	}
	r, err := queryPurges(ctx, cmd, "purges", &reply)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "held": reply.Held, "floor": reply.Floor, "purges": reply.Purges})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s; %d bounds remembered\nPURGE\tIS\tPLACE\tACCEPTED\tEFFECTIVE BY\tCLUB\tSENT\tWAITS FOR\n", viewHeader(r), reply.Held)
	for _, x := range reply.Purges {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\n", x.Purge.ID, x.Stage, x.LogIndex, formatTime(x.Accepted), formatEffective(x), orDash(x.Purge.Club), x.Published, orDash(strings.Join(x.Unconfirmed, ", ")))
	}
	return t.Flush()
}

func purgeCancel(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("purge cancel: takes ADDRESS ID"))
	}
	if err := submitPurgeCommand(ctx, cmd, purges.Cancel, purges.CommandData{ID: cmd.Args().Get(1)}); err != nil {
		return err
	}
	x, err := queryPurge(ctx, cmd, cmd.Args().Get(1))
	if err != nil {
		return err
	}
	return printPurge(cmd, x)
}
