package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"poppymill/internal/canon"
	"poppymill/internal/owner"
	owned "poppymill/internal/owner/drive"
	"poppymill/internal/owner/place"
	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
)

func jobCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "how long the gateway may take to answer", Value: 5 * time.Second}}
	look := append(flags[:2:2], &cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"})
	return &cli.Command{Name: "job", Usage: "look at work on behalf of all gateways, and ask for it", Commands: []*cli.Command{
		{Name: "list", Usage: "all jobs, as one gateway knows them", ArgsUsage: "ADDRESS", Flags: look, Action: jobList},
		{Name: "show", Usage: "one job; status 1 where steps of it may have run and nobody has said", ArgsUsage: "ADDRESS NAME", Flags: look, Action: jobShow},
		{Name: "history", Usage: "who owned a job, and why no longer", ArgsUsage: "ADDRESS NAME", Flags: look, Action: jobHistory},
		{Name: "effects", Usage: "what happened at one gateway's record, or was refused there", ArgsUsage: "ADDRESS [NAME]", Flags: flags, Action: jobEffects},
		{Name: "start", Usage: "ask for a job; the same again does nothing", ArgsUsage: "ADDRESS NAME", Flags: append(flags[:2:2],
			&cli.StringFlag{Name: "kind", Value: owned.Drill, Usage: "of work"},
			&cli.StringFlag{Name: "type", Value: "safe", Usage: "of its steps: safe, keyed or unsafe"},
			&cli.IntFlag{Name: "steps", Value: 1, Usage: "how many"},
			&cli.IntFlag{Name: "window", Value: 4, Usage: "steps under way at a time"},
			&cli.StringSliceFlag{Name: "place", Usage: "gateways at which the steps happen, in turn; none: at the owner"},
			&cli.StringFlag{Name: "data", Usage: "what the kind needs"}), Action: jobStart},
		{Name: "stop", Usage: "have nothing more of a job go out", ArgsUsage: "ADDRESS NAME", Flags: flags, Action: jobStop},
		{Name: "fence", Usage: "end the present grant: the next one has a newer token, and places refuse what is still on its way", ArgsUsage: "ADDRESS NAME",
			Flags: flags, Action: jobFence},
		{Name: "settle", Usage: "say of a step that may have run whether it did; it must be true", ArgsUsage: "ADDRESS NAME STEP",
			Flags: append(flags[:2:2], &cli.BoolFlag{Name: "ran"}, &cli.BoolFlag{Name: "never-ran", Usage: "it goes out again"},
				&cli.BoolFlag{Name: "by-record", Usage: "fence the job and go by the records of the places, for all such steps; no STEP then"}), Action: jobSettle},
	}}
}

// put puts a question to the gateway that the first argument names.
func put(ctx context.Context, cmd *cli.Command, args int, q drive.Question) (drive.Reply, error) {
	if n := cmd.Args().Len(); n != args {
		return drive.Reply{}, usageError(fmt.Errorf("job %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	q.Fresh = cmd.Bool("fresh")
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := drive.Put(ctx, cmd.Args().First(), q)
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	if err != nil {
		return r, cli.Exit(fmt.Sprintf("job %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return r, nil
}

// view tells whose view it is, and how old.
func view(r drive.Reply) string {
	return fmt.Sprintf("as %s knows it, %.0f ms old, up to %d", r.Report.Name, r.Report.Age, r.Report.Applied)
}

func jobList(ctx context.Context, cmd *cli.Command) error {
	r, err := put(ctx, cmd, 1, drive.Question{About: "jobs"})
	if err != nil {
		return err
	}
	var all []owner.Report
	if err := json.Unmarshal(r.Body, &all); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "jobs": all})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\nJOB\tKIND\tTYPE\tSTATE\tOWNER\tTOKEN\tDONE\tMAY HAVE RUN\tGRANTS\n", view(r))
	for _, j := range all {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d of %d\t%d\t%d\n", j.Name, j.Kind, j.Type, j.State, dash(j.Owner), j.Token, j.Done, j.Steps, len(j.Doubt), j.Grants)
	}
	return t.Flush()
}

func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

func oneJob(ctx context.Context, cmd *cli.Command) (r drive.Reply, j owner.Report, err error) {
	if r, err = put(ctx, cmd, 2, drive.Question{About: "job", Name: cmd.Args().Get(1)}); err == nil {
		err = json.Unmarshal(r.Body, &j)
	}
	return r, j, err
}

func jobShow(ctx context.Context, cmd *cli.Command) error {
	r, j, err := oneJob(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := document(map[string]any{"view": r.Report, "job": j}); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s\n%s: %s, steps are %s, %s\nowner %s, token %d, %d grants\n%d of %d done, all before %d\n", view(r), j.Name, j.Kind, j.Type,
			j.State, dash(j.Owner), j.Token, j.Grants, j.Done, j.Steps, j.Next)
		for _, d := range j.Doubt {
			where := "at its owner"
			if d.Place != "" {
				where = "at " + d.Place
			}
			fmt.Printf("step %d may have run: sent under token %d by %s, %s. `job settle` takes your word, once you know\n", d.Step, d.Token, dash(d.Owner), where)
		}
	}
	if len(j.Doubt) > 0 {
		return cli.Exit("", 1)
	}
	return nil
}

func jobHistory(ctx context.Context, cmd *cli.Command) error {
	r, j, err := oneJob(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "history": j.History})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\nINDEX\tWHAT\tOWNER\tINCARNATION\tTOKEN\n", view(r))
	for _, h := range j.History {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\n", h.Index, h.What, dash(h.Owner), h.Incarnation, h.Token)
	}
	return t.Flush()
}

func jobEffects(ctx context.Context, cmd *cli.Command) error {
	r, err := put(ctx, cmd, max(1, min(2, cmd.Args().Len())), drive.Question{About: "effects", Name: cmd.Args().Get(1)})
	if err != nil {
		return err
	}
	var all []place.Entry
	if err := json.Unmarshal(r.Body, &all); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "effects": all})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "at %s\nNUMBER\tJOB\tSTEP\tTYPE\tTOKEN\tFROM\tWHAT\n", r.Report.Name)
	for _, e := range all {
		what := "happened"
		if e.Refused > 0 {
			what = fmt.Sprintf("refused: token %d was seen", e.Refused)
		} else if e.Told {
			what = "told by the log"
		} else if e.Again {
			what = "had happened before"
		}
		fmt.Fprintf(t, "%d\t%s\t%d\t%v\t%d\t%s\t%s\n", e.Number, e.Effect.Job, e.Effect.Step, e.Effect.Type, e.Effect.Token, e.Effect.From, what)
	}
	return t.Flush()
}

// order has a command agreed and tells how the job stands after it.
func order(ctx context.Context, cmd *cli.Command, args int, kind string, content any) error {
	name := cmd.Args().Get(1)
	if cmd.Args().Len() == args && name == "" {
		return usageError(fmt.Errorf("job %s: NAME: empty", cmd.Name))
	}
	r, err := put(ctx, cmd, args, drive.Question{About: "job", Name: name, Command: &quorum.Command{Book: owned.Book, Kind: kind, Data: canon.Encode(content)}})
	if err != nil {
		return err
	}
	var j owner.Report
	if err := json.Unmarshal(r.Body, &j); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"index": r.Index, "job": j})
	}
	fmt.Printf("%s: agreed at %d; %s, %d of %d done\n", name, r.Index, j.State, j.Done, j.Steps)
	return nil
}

func jobStart(ctx context.Context, cmd *cli.Command) error {
	j := owner.Job{Name: cmd.Args().Get(1), Kind: cmd.String("kind"), Data: []byte(cmd.String("data")), Steps: int(cmd.Int("steps")), Window: int(cmd.Int("window")),
		Places: cmd.StringSlice("place")}
	types := []string{owner.Safe.String(), owner.Keyed.String(), owner.Unsafe.String()}
	for i, name := range types {
		if name == cmd.String("type") {
			j.Type = owner.Type(i)
			return order(ctx, cmd, 2, owner.Start, j)
		}
	}
	return usageError(fmt.Errorf("job start: --type: %q is none of %s", cmd.String("type"), strings.Join(types, ", ")))
}

func jobStop(ctx context.Context, cmd *cli.Command) error {
	return order(ctx, cmd, 2, owner.Stop, owner.Claim{Job: cmd.Args().Get(1)})
}

func jobFence(ctx context.Context, cmd *cli.Command) error {
	return order(ctx, cmd, 2, owner.Fence, owner.Claim{Job: cmd.Args().Get(1)})
}

func jobSettle(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("by-record") {
		return settleByRecord(ctx, cmd)
	}
	step, err := strconv.Atoi(cmd.Args().Get(2))
	switch {
	case cmd.Args().Len() == 3 && (err != nil || step < 0):
		return usageError(fmt.Errorf("job settle: STEP: %q is no number of a step", cmd.Args().Get(2)))
	case cmd.Bool("ran") == cmd.Bool("never-ran"):
		return usageError(errors.New("job settle: one of --ran, --never-ran and --by-record says what became of it"))
	}
	return order(ctx, cmd, 3, owner.Verdict, owner.Claim{Job: cmd.Args().Get(1), Step: step, Ran: cmd.Bool("ran")})
}

// settleByRecord goes by what the places have on record, which proves nothing before they have word of a newer token than that under
// which a step was sent: so the job is fenced first.
func settleByRecord(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	address, name := cmd.Args().First(), cmd.Args().Get(1)
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("job settle --by-record: takes ADDRESS NAME"))
	}
	ask := func(address string, q drive.Question, to any) (quorum.Report, error) {
		r, err := drive.Put(ctx, address, q)
		if err == nil && r.Error != "" {
			err = errors.New(r.Error)
		}
		if err == nil {
			err = json.Unmarshal(r.Body, to)
		}
		if err != nil {
			err = fmt.Errorf("%s: %w", address, err)
		}
		return r.Report, err
	}
	command := func(kind string, c owner.Claim) *quorum.Command {
		return &quorum.Command{Book: owned.Book, Kind: kind, Data: canon.Encode(c)}
	}
	var j owner.Report
	all, err := ask(address, drive.Question{About: "job", Name: name, Command: command(owner.Fence, owner.Claim{Job: name})}, &j)
	settled, left := 0, 0
	for _, d := range j.Doubt {
		at := ""
		for _, m := range all.Members {
			if m.Name == d.Place {
				at = m.Address
			}
		}
		if at == "" {
			fmt.Fprintf(os.Stderr, "step %d: its place %q keeps no record: what became of it has to be found out by hand\n", d.Step, d.Place)
			left++
			continue
		}
		ran, fenced := false, false
		for !ran && !fenced && err == nil {
			var entries []place.Entry
			if _, err = ask(at, drive.Question{About: "effects", Name: name}, &entries); err != nil {
				break
			}
			ran, fenced = owned.OnRecord(entries, name, d)
			if !ran && !fenced { // it has not heard of the next grant yet
				select {
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
					err = fmt.Errorf("%s: step %d: it has no word of a newer token yet", at, d.Step)
				}
			}
		}
		if err == nil {
			_, err = ask(address, drive.Question{About: "job", Name: name, Command: command(owner.Verdict, owner.Claim{Job: name, Step: d.Step, Ran: ran})}, &j)
			var now owner.Report
			if _, look := ask(address, drive.Question{About: "job", Name: name}, &now); err != nil && look == nil &&
				!slices.ContainsFunc(now.Doubt, func(x owner.Doubt) bool { return x.Step == d.Step }) {
				err = nil // whoever sent it said so meanwhile
			}
		}
		if err != nil {
			break
		}
		fmt.Printf("step %d: %s\n", d.Step, map[bool]string{true: "ran", false: "never ran, and goes out again"}[ran])
		settled++
	}
	if err != nil {
		return cli.Exit(fmt.Sprintf("job settle: %v", err), 1)
	}
	if left > 0 {
		return cli.Exit("", 1)
	}
	fmt.Printf("%s: %d steps settled\n", name, settled)
	return nil
}
