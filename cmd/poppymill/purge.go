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

	"poppymill/internal/canon"
	"poppymill/internal/purges"
	driver "poppymill/internal/purges/drive"
	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
)

func purgeCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "how long the gateway may take to answer", Value: 5 * time.Second}}
	look := append(flags[:2:2], &cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"})
	ask := append(flags[:2:2], &cli.StringFlag{Name: "id", Usage: "of the purge; the same again does nothing. Needed", Required: true},
		&cli.StringFlag{Name: "club", Usage: "at one club alone"}, &cli.BoolFlag{Name: "stale", Usage: "an older copy may answer where no newer one is to be had"},
		&cli.StringFlag{Name: "wait", Usage: "until it is sent, done (all gateways that are there say so) or effective; status 1 where some gateway did not say so by then"})
	return &cli.Command{Name: "purge", Usage: "have copies of objects end at all gateways, and look how far that is", Commands: []*cli.Command{
		{Name: "objects", Usage: "by name", ArgsUsage: "ADDRESS OBJECT...", Flags: ask, Action: purgeAsk},
		{Name: "tag", Usage: "by number of their group", ArgsUsage: "ADDRESS GROUP...", Flags: ask, Action: purgeAsk},
		{Name: "pattern", Usage: "by a regular expression of the whole name", ArgsUsage: "ADDRESS PATTERN", Flags: ask, Action: purgeAsk},
		{Name: "status", Usage: "one purge; status 1 where it is past its time and some gateway has not said that it goes by it", ArgsUsage: "ADDRESS ID", Flags: look, Action: purgeStatus},
		{Name: "list", Usage: "all that are remembered, in their order", ArgsUsage: "ADDRESS", Flags: look, Action: purgeList},
		{Name: "followers", Usage: "how far each gateway goes by what went out; status 1 where one that is there does not go by all of it", ArgsUsage: "ADDRESS", Flags: look, Action: purgeFollowers},
		{Name: "cancel", Usage: "have nothing more of one go out", ArgsUsage: "ADDRESS ID", Flags: flags, Action: purgeCancel},
	}}
}

// order has a command agreed by the gateway that the first argument names.
func purgeOrder(ctx context.Context, cmd *cli.Command, kind string, o purges.Order) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	address := cmd.Args().First()
	if kind == purges.Accept {
		r, err := drive.Put(ctx, address, drive.Question{About: "purge limits"})
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
	r, err := drive.Put(ctx, address, drive.Question{Command: &quorum.Command{Book: driver.Book, Kind: kind, Data: canon.Encode(o)}})
	switch {
	case err != nil:
		return cli.Exit(fmt.Sprintf("purge %s: %s: %v; it may have been accepted: ask again with the same id", cmd.Name, address, err), 1)
	case r.Error == quorum.ErrGivenUp.Error():
		return cli.Exit(fmt.Sprintf("purge %s: %s: %s: ask again with the same id, or look with status", cmd.Name, address, r.Error), 1)
	case r.Error != "":
		return cli.Exit(fmt.Sprintf("purge %s: %s: %s", cmd.Name, address, r.Error), 1)
	}
	return nil
}

func purgeAsk(ctx context.Context, cmd *cli.Command) error {
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
			g, err := strconv.ParseInt(a, 10, 64)
			if err != nil {
				return usageError(fmt.Errorf("purge tag: GROUP: %q is no number", a))
			}
			p.Groups = append(p.Groups, g)
		}
	}
	if err := p.Check(); err != nil {
		return usageError(fmt.Errorf("purge %s: %w", cmd.Name, err))
	}
	if err := purgeOrder(ctx, cmd, purges.Accept, purges.Order{Purge: &p}); err != nil {
		return err
	}
	for {
		x, err := onePurge(ctx, cmd, p.ID)
		if err != nil {
			return err
		}
		late := float64(time.Now().UnixMilli()) > x.Effective
		over := wait == "" || wait == "sent" && x.Next == len(x.Purge.Objects) || x.Stage == purges.Done.String() || x.Stage == purges.Cancelled.String()
		if over || late {
			if err := showPurge(cmd, x); err != nil {
				return err
			}
			if late && !over && len(x.Waits) > 0 {
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

func onePurge(ctx context.Context, cmd *cli.Command, id string) (x driver.Purge, err error) {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := drive.Put(ctx, cmd.Args().First(), drive.Question{About: "purge", Name: id, Fresh: cmd.Bool("fresh")})
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

func showPurge(cmd *cli.Command, x driver.Purge) error {
	if cmd.Bool("json") {
		return document(x)
	}
	fmt.Printf("purge %s: %s; accepted %s, place %d, effective by %s\n", x.Purge.ID, x.Stage, clock(x.Accepted), x.Place, clock(x.Effective))
	if n := len(x.Purge.Objects); n > 0 {
		fmt.Printf("%d of %d objects have gone out, %d of them by a newer purge\n", x.Next, n, x.Newer)
	}
	if len(x.Waits) > 0 {
		fmt.Printf("waits for word of %s\n", strings.Join(x.Waits, ", "))
	}
	if len(x.Without) > 0 {
		fmt.Printf("without word of %s: lost, and blind since\n", strings.Join(x.Without, ", "))
	}
	return nil
}

func purgeStatus(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("purge status: takes ADDRESS ID"))
	}
	x, err := onePurge(ctx, cmd, cmd.Args().Get(1))
	if err != nil {
		return err
	}
	if err := showPurge(cmd, x); err != nil {
		return err
	}
	if len(x.Waits) > 0 && float64(time.Now().UnixMilli()) > x.Effective {
		return cli.Exit("", 1)
	}
	return nil
}

// lookAt asks the one gateway that is named, and reads what it tells.
func lookAt(ctx context.Context, cmd *cli.Command, about string, to any) (drive.Reply, error) {
	if cmd.Args().Len() != 1 {
		return drive.Reply{}, usageError(fmt.Errorf("purge %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := drive.Put(ctx, cmd.Args().First(), drive.Question{About: about, Fresh: cmd.Bool("fresh")})
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	if err == nil {
		err = json.Unmarshal(r.Body, to)
	}
	if err != nil {
		return r, cli.Exit(fmt.Sprintf("purge %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return r, nil
}

func purgeFollowers(ctx context.Context, cmd *cli.Command) error {
	var all struct {
		Last     uint64            `json:"last"`
		Gateways []driver.Follower `json:"gateways"`
	}
	r, err := lookAt(ctx, cmd, "purge followers", &all)
	if err != nil {
		return err
	}
	holds := true
	for _, g := range all.Gateways {
		holds = holds && (g.Follows || !g.There)
	}
	if cmd.Bool("json") {
		err = document(map[string]any{"view": r.Report, "last": all.Last, "holds": holds, "gateways": all.Gateways})
	} else {
		t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "%s; something went out last at %d\nGATEWAY\tTHERE\tSINCE\tGOES BY ALL UP TO\tFOLLOWS\n", view(r), all.Last)
		for _, g := range all.Gateways {
			fmt.Fprintf(t, "%s\t%t\t%s\t%d\t%t\n", g.Name, g.There, clock(g.Since), g.Seen, g.Follows)
		}
		err = t.Flush()
	}
	if err == nil && !holds {
		return cli.Exit("", 1)
	}
	return err
}

func purgeList(ctx context.Context, cmd *cli.Command) error {
	var all struct {
		Held   int            `json:"held"`
		Floor  float64        `json:"floor"`
		Purges []driver.Purge `json:"purges"`
	}
	r, err := lookAt(ctx, cmd, "purges", &all)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "held": all.Held, "floor": all.Floor, "purges": all.Purges})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s; %d bounds held\nPURGE\tIS\tPLACE\tACCEPTED\tEFFECTIVE BY\tCLUB\tSENT\tWAITS FOR\n", view(r), all.Held)
	for _, x := range all.Purges {
		fmt.Fprintf(t, "%s\t%s\t%d\t%s\t%s\t%s\t%d\t%s\n", x.Purge.ID, x.Stage, x.Place, clock(x.Accepted), clock(x.Effective), dash(x.Purge.Club), x.Next, dash(strings.Join(x.Waits, ", ")))
	}
	return t.Flush()
}

func purgeCancel(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("purge cancel: takes ADDRESS ID"))
	}
	if err := purgeOrder(ctx, cmd, purges.Cancel, purges.Order{ID: cmd.Args().Get(1)}); err != nil {
		return err
	}
	x, err := onePurge(ctx, cmd, cmd.Args().Get(1))
	if err != nil {
		return err
	}
	return showPurge(cmd, x)
}
