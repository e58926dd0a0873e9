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

	"poppymill/internal/codec"
	"poppymill/internal/owner"
	ownerdriver "poppymill/internal/owner/driver"
	"poppymill/internal/owner/effectlog"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

func jobCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "timeout of the request to the gateway", Value: 5 * time.Second}}
	queryFlags := append(flags[:2:2], &cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"})
	return &cli.Command{Name: "job", Usage: "inspect and manage jobs, the work done on behalf of all gateways", Commands: []*cli.Command{
		{Name: "list", Usage: "list all jobs, as known to one gateway", ArgsUsage: "ADDRESS", Flags: queryFlags, Action: jobList},
		{Name: "show", Usage: "show one job; exit status 1 if it has steps that may have run and are not settled", ArgsUsage: "ADDRESS NAME", Flags: queryFlags, Action: jobShow},
		{Name: "history", Usage: "list the owners of a job, and why each ownership ended", ArgsUsage: "ADDRESS NAME", Flags: queryFlags, Action: jobHistory},
		{Name: "effects", Usage: "list the effects that the record of one gateway has as happened or refused", ArgsUsage: "ADDRESS [NAME]", Flags: flags, Action: jobEffects},
		{Name: "start", Usage: "start a job; repeating the same request has no effect", ArgsUsage: "ADDRESS NAME", Flags: append(flags[:2:2],
			&cli.StringFlag{Name: "kind", Value: ownerdriver.KindDrill, Usage: "kind of work"},
			&cli.StringFlag{Name: "type", Value: "safe", Usage: "type of the steps: safe, keyed or unsafe"},
			&cli.IntFlag{Name: "steps", Value: 1, Usage: "number of steps"},
			&cli.IntFlag{Name: "window", Value: 4, Usage: "maximum number of steps in progress at a time"},
			&cli.StringSliceFlag{Name: "place", Usage: "gateways at which the steps run, in turn; default: at the owner"},
			&cli.StringFlag{Name: "data", Usage: "input for the kind of work"}), Action: jobStart},
		{Name: "stop", Usage: "stop a job: no further steps are sent", ArgsUsage: "ADDRESS NAME", Flags: flags, Action: jobStop},
		{Name: "fence", Usage: "end the current grant: the next one has a newer token, so that places refuse steps still in transit", ArgsUsage: "ADDRESS NAME",
			Flags: flags, Action: jobFence},
		{Name: "settle", Usage: "record whether a step that may have run did run; the answer must be true", ArgsUsage: "ADDRESS NAME STEP",
			Flags: append(flags[:2:2], &cli.BoolFlag{Name: "ran"}, &cli.BoolFlag{Name: "never-ran", Usage: "the step did not run and is sent again"},
				&cli.BoolFlag{Name: "by-record", Usage: "fence the job and settle all such steps by the records of the places; takes no STEP"}), Action: jobSettle},
	}}
}

// queryJobs checks the number of arguments and queries the gateway at the address in the first one.
func queryJobs(ctx context.Context, cmd *cli.Command, args int, q quorumdriver.Query) (quorumdriver.Reply, error) {
	if n := cmd.Args().Len(); n != args {
		return quorumdriver.Reply{}, usageError(fmt.Errorf("job %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	q.Fresh = cmd.Bool("fresh")
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := quorumdriver.SendQuery(ctx, cmd.Args().First(), q)
	if err == nil && r.Error != "" {
		err = errors.New(r.Error)
	}
	if err != nil {
		return r, cli.Exit(fmt.Sprintf("job %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return r, nil
}

// viewHeader describes the view that a reply is based on: of which gateway, how old, and up to which log index.
func viewHeader(r quorumdriver.Reply) string {
	return fmt.Sprintf("view of %s, %.0f ms old, applied up to index %d", r.Report.Name, r.Report.Age, r.Report.Applied)
}

func jobList(ctx context.Context, cmd *cli.Command) error {
	r, err := queryJobs(ctx, cmd, 1, quorumdriver.Query{Subject: "jobs"})
	if err != nil {
		return err
	}
	var reports []owner.Report
	if err := json.Unmarshal(r.Body, &reports); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "jobs": reports})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\nJOB\tKIND\tTYPE\tSTATE\tOWNER\tTOKEN\tDONE\tMAY HAVE RUN\tGRANTS\n", viewHeader(r))
	for _, j := range reports {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d of %d\t%d\t%d\n", j.Name, j.Kind, j.Type, j.State, orDash(j.Owner), j.Token, j.Done, j.Steps, len(j.Uncertain), j.Grants)
	}
	return t.Flush()
}

// orDash returns a dash for an empty string, to fill a cell of a table.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// queryJob queries one job; the arguments are ADDRESS NAME.
func queryJob(ctx context.Context, cmd *cli.Command) (r quorumdriver.Reply, j owner.Report, err error) {
	if r, err = queryJobs(ctx, cmd, 2, quorumdriver.Query{Subject: "job", Name: cmd.Args().Get(1)}); err == nil {
		err = json.Unmarshal(r.Body, &j)
	}
	return r, j, err
}

func jobShow(ctx context.Context, cmd *cli.Command) error {
	r, j, err := queryJob(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		if err := printJSON(map[string]any{"view": r.Report, "job": j}); err != nil {
			return err
		}
	} else {
		fmt.Printf("%s\n%s: %s, %s steps, %s\nowner %s, token %d, %d grants\n%d of %d steps done, all before step %d\n", viewHeader(r), j.Name, j.Kind, j.Type,
			j.State, orDash(j.Owner), j.Token, j.Grants, j.Done, j.Steps, j.Next)
		for _, d := range j.Uncertain {
			where := "at the owner"
			if d.Place != "" {
				where = "at " + d.Place
			}
			fmt.Printf("step %d may have run: sent under token %d by %s, %s. Once you know whether it ran, record that with `job settle`\n", d.Step, d.Token, orDash(d.Owner), where)
		}
	}
	if len(j.Uncertain) > 0 {
		return cli.Exit("", 1)
	}
	return nil
}

func jobHistory(ctx context.Context, cmd *cli.Command) error {
	r, j, err := queryJob(ctx, cmd)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "history": j.History})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "%s\nINDEX\tWHAT\tOWNER\tINCARNATION\tTOKEN\n", viewHeader(r))
	for _, h := range j.History {
		fmt.Fprintf(t, "%d\t%s\t%s\t%d\t%d\n", h.Index, h.Event, orDash(h.Owner), h.Incarnation, h.Token)
	}
	return t.Flush()
}

func jobEffects(ctx context.Context, cmd *cli.Command) error {
	r, err := queryJobs(ctx, cmd, max(1, min(2, cmd.Args().Len())), quorumdriver.Query{Subject: "effects", Name: cmd.Args().Get(1)})
	if err != nil {
		return err
	}
	var entries []effectlog.Entry
	if err := json.Unmarshal(r.Body, &entries); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "effects": entries})
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "record of %s\nNUMBER\tJOB\tSTEP\tTYPE\tTOKEN\tFROM\tWHAT\n", r.Report.Name)
	for _, e := range entries {
		what := "happened"
		if e.NewerToken > 0 {
			what = fmt.Sprintf("refused: newer token %d was seen", e.NewerToken)
		} else if e.FromLog {
			what = "newer token announced by the log"
		} else if e.Repeated {
			what = "had happened before"
		}
		fmt.Fprintf(t, "%d\t%s\t%d\t%v\t%d\t%s\t%s\n", e.Number, e.Effect.Job, e.Effect.Step, e.Effect.Type, e.Effect.Token, e.Effect.From, what)
	}
	return t.Flush()
}

// submitJobCommand has the gateways agree on a command and prints the resulting state of the job.
func submitJobCommand(ctx context.Context, cmd *cli.Command, args int, kind string, data any) error {
	name := cmd.Args().Get(1)
	if cmd.Args().Len() == args && name == "" {
		return usageError(fmt.Errorf("job %s: NAME is empty", cmd.Name))
	}
	r, err := queryJobs(ctx, cmd, args, quorumdriver.Query{Subject: "job", Name: name, Command: &quorum.Command{StateMachine: ownerdriver.StateMachineName, Kind: kind, Data: codec.Encode(data)}})
	if err != nil {
		return err
	}
	var j owner.Report
	if err := json.Unmarshal(r.Body, &j); err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"index": r.Index, "job": j})
	}
	fmt.Printf("%s: agreed at index %d; %s, %d of %d steps done\n", name, r.Index, j.State, j.Done, j.Steps)
	return nil
}

func jobStart(ctx context.Context, cmd *cli.Command) error {
	j := owner.Job{Name: cmd.Args().Get(1), Kind: cmd.String("kind"), Data: []byte(cmd.String("data")), Steps: int(cmd.Int("steps")), Window: int(cmd.Int("window")),
		Gateways: cmd.StringSlice("place")}
	types := []string{owner.Safe.String(), owner.Keyed.String(), owner.Unsafe.String()}
	for i, name := range types {
		if name == cmd.String("type") {
			j.Type = owner.Type(i)
			return submitJobCommand(ctx, cmd, 2, owner.Start, j)
		}
	}
	return usageError(fmt.Errorf("job start: --type: %q is none of %s", cmd.String("type"), strings.Join(types, ", ")))
}

func jobStop(ctx context.Context, cmd *cli.Command) error {
	return submitJobCommand(ctx, cmd, 2, owner.Stop, owner.Claim{Job: cmd.Args().Get(1)})
}

func jobFence(ctx context.Context, cmd *cli.Command) error {
	return submitJobCommand(ctx, cmd, 2, owner.Fence, owner.Claim{Job: cmd.Args().Get(1)})
}

func jobSettle(ctx context.Context, cmd *cli.Command) error {
	if cmd.Bool("by-record") {
		return settleByRecord(ctx, cmd)
	}
	step, err := strconv.Atoi(cmd.Args().Get(2))
	switch {
	case cmd.Args().Len() == 3 && (err != nil || step < 0):
		return usageError(fmt.Errorf("job settle: STEP: %q is not the number of a step", cmd.Args().Get(2)))
	case cmd.Bool("ran") == cmd.Bool("never-ran"):
		return usageError(errors.New("job settle: needs exactly one of --ran, --never-ran and --by-record"))
	}
	return submitJobCommand(ctx, cmd, 3, owner.Resolve, owner.Claim{Job: cmd.Args().Get(1), Step: step, Ran: cmd.Bool("ran")})
}

// checkPlace returns an error if the gateway that answered at the address of a step's place is not that place: its record
// proves nothing about the step.
func checkPlace(address, answered string, step owner.UncertainStep) error {
	if answered == step.Place {
		return nil
	}
	return fmt.Errorf("%s: step %d: gateway %q answers at the address of its place %q", address, step.Step, answered, step.Place)
}

// settleByRecord settles all steps that may have run by the records of their executing gateways. That a record lacks a
// step proves nothing until that gateway knows a newer token than that under which the step was sent, so the job is
// fenced first.
func settleByRecord(ctx context.Context, cmd *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	address, name := cmd.Args().First(), cmd.Args().Get(1)
	if cmd.Args().Len() != 2 {
		return usageError(errors.New("job settle --by-record: takes ADDRESS NAME"))
	}
	query := func(address string, q quorumdriver.Query, dst any) (quorum.Report, error) {
		r, err := quorumdriver.SendQuery(ctx, address, q)
		if err == nil && r.Error != "" {
			err = errors.New(r.Error)
		}
		if err == nil {
			err = json.Unmarshal(r.Body, dst)
		}
		if err != nil {
			err = fmt.Errorf("%s: %w", address, err)
		}
		return r.Report, err
	}
	command := func(kind string, c owner.Claim) *quorum.Command {
		return &quorum.Command{StateMachine: ownerdriver.StateMachineName, Kind: kind, Data: codec.Encode(c)}
	}
	var j owner.Report
	report, err := query(address, quorumdriver.Query{Subject: "job", Name: name, Command: command(owner.Fence, owner.Claim{Job: name})}, &j)
	settled, unsettled := 0, 0
	for _, d := range j.Uncertain {
		placeAddress := ""
		for _, m := range report.Members {
			if m.Name == d.Place {
				placeAddress = m.Address
			}
		}
		if placeAddress == "" {
			fmt.Fprintf(os.Stderr, "step %d: no record is available from its place %q: find out by other means whether it ran\n", d.Step, d.Place)
			unsettled++
			continue
		}
		ran, fenced := false, false
		for !ran && !fenced && err == nil {
			var entries []effectlog.Entry
			var place quorum.Report
			if place, err = query(placeAddress, quorumdriver.Query{Subject: "effects", Name: name}, &entries); err != nil {
				break
			}
			if err = checkPlace(placeAddress, place.Name, d); err != nil {
				break
			}
			ran, fenced = ownerdriver.CheckRecord(entries, name, d)
			if !ran && !fenced { // the executing gateway does not know the next grant yet
				select {
				case <-time.After(50 * time.Millisecond):
				case <-ctx.Done():
					err = fmt.Errorf("%s: step %d: the place does not know a newer token yet", placeAddress, d.Step)
				}
			}
		}
		if err == nil {
			_, err = query(address, quorumdriver.Query{Subject: "job", Name: name, Command: command(owner.Resolve, owner.Claim{Job: name, Step: d.Step, Ran: ran})}, &j)
			var current owner.Report
			if _, queryErr := query(address, quorumdriver.Query{Subject: "job", Name: name}, &current); err != nil && queryErr == nil &&
				!slices.ContainsFunc(current.Uncertain, func(x owner.UncertainStep) bool { return x.Step == d.Step }) {
				err = nil // the sender of the step has settled it meanwhile
			}
		}
		if err != nil {
			break
		}
		fmt.Printf("step %d: %s\n", d.Step, map[bool]string{true: "ran", false: "never ran, is sent again"}[ran])
		settled++
	}
	if err != nil {
		return cli.Exit(fmt.Sprintf("job settle: %v", err), 1)
	}
	if unsettled > 0 {
		return cli.Exit("", 1)
	}
	fmt.Printf("%s: %d steps settled\n", name, settled)
	return nil
}
