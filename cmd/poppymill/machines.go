package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"poppymill/internal/canon"
	"poppymill/internal/maintenance"
	machines "poppymill/internal/maintenance/drive"
	"poppymill/internal/quorum"
	"poppymill/internal/quorum/drive"
)

func machinesCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "how long the gateway may take to answer", Value: 5 * time.Second}}
	look := append(flags[:2:2], &cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"})
	agent := append(flags[:2:2], &cli.Uint64Flag{Name: "token", Required: true, Usage: "of the grant, as `machines show` tells it"})
	return &cli.Command{Name: "machines", Usage: "take machines out for work, in an order that the gateways settle", Commands: []*cli.Command{
		{Name: "list", Usage: "all machines, and what differs between the operator's file and who is there", ArgsUsage: "ADDRESS", Flags: look, Action: machinesList},
		{Name: "show", Usage: "one machine", ArgsUsage: "ADDRESS NAME", Flags: look, Action: machinesShow},
		{Name: "out", Usage: "ask for machines to be taken out; the same id again does nothing", ArgsUsage: "ADDRESS NAME...", Flags: append(flags[:2:2],
			&cli.DurationFlag{Name: "for", Required: true, Usage: "how long the work takes"},
			&cli.StringFlag{Name: "by", Usage: "when it must be done: 06:00, or 2006-01-02T15:04:05Z07:00"},
			&cli.StringFlag{Name: "not-before", Usage: "as --by"}, &cli.StringFlag{Name: "why"},
			&cli.StringFlag{Name: "id", Usage: "of the request; with several machines the name is put behind it; without it, one is made of the name and the time"}), Action: machinesOut},
		{Name: "cancel", Usage: "take a request back, unless its machine is out", ArgsUsage: "ADDRESS ID", Flags: flags, Action: machinesCancel},
		{Name: "withdraw", Usage: "void a grant: the machine stays in, and waits anew", ArgsUsage: "ADDRESS NAME", Flags: flags, Action: machinesStep(maintenance.Withdraw)},
		{Name: "drain", Usage: "for a machine's agent: it begins", ArgsUsage: "ADDRESS NAME", Flags: agent, Action: machinesStep(maintenance.Drain)},
		{Name: "go", Usage: "for a machine's agent: status 0 once it may go, and not before", ArgsUsage: "ADDRESS NAME", Flags: agent, Action: machinesStep(maintenance.Go)},
		{Name: "back", Usage: "for a machine's agent: it is back", ArgsUsage: "ADDRESS NAME", Flags: agent, Action: machinesStep(maintenance.Back)},
		{Name: "plan", Usage: "the schedule as it is expected, and how near each limit comes; status 1 where a deadline can't be kept", ArgsUsage: "ADDRESS", Flags: look, Action: machinesPlan},
		{Name: "watch", Usage: "follow until nothing waits or is out", ArgsUsage: "ADDRESS", Flags: append(flags[:2:2], &cli.DurationFlag{Name: "every", Value: time.Second}), Action: machinesWatch},
		agentCommand(),
		{Name: "history", Usage: "requests that are over", ArgsUsage: "ADDRESS", Flags: look, Action: machinesHistory},
	}}
}

// fleet is what a gateway tells of all machines.
type fleet struct {
	Version   int                `json:"version"`
	Here      int                `json:"here"`
	Limits    maintenance.Limits `json:"limits"`
	Machines  []machines.Machine `json:"machines"`
	Strangers []string           `json:"strangers"`
}

// askMachines asks the gateway that the first argument names.
func askMachines(ctx context.Context, cmd *cli.Command, args int, q drive.Question, to any) (drive.Reply, error) {
	if cmd.Args().Len() != args {
		return drive.Reply{}, usageError(fmt.Errorf("machines %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	return putMachines(ctx, cmd, q, to)
}

func putMachines(ctx context.Context, cmd *cli.Command, q drive.Question, to any) (drive.Reply, error) {
	q.Fresh = cmd.Bool("fresh")
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := drive.Put(ctx, cmd.Args().First(), q)
	if err == nil && r.Error != "" {
		if !r.Report.Majority {
			r.Error += fmt.Sprintf(" (%s sees no majority)", r.Report.Name)
		}
		err = errors.New(r.Error)
	}
	if err == nil && to != nil {
		err = json.Unmarshal(r.Body, to)
	}
	if err != nil {
		return r, cli.Exit(fmt.Sprintf("machines %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return r, nil
}

func table(rows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	rows(w)
	return w.Flush()
}

func clock(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(int64(ms)).Format("01-02 15:04:05")
}

func machinesList(ctx context.Context, cmd *cli.Command) error {
	var f fleet
	r, err := askMachines(ctx, cmd, 1, drive.Question{About: "machines"}, &f)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "machines": f})
	}
	fmt.Printf("%s; file of version %d agreed on, %d here\n", view(r), f.Version, f.Here)
	for _, s := range f.Strangers {
		fmt.Println("differs:", s)
	}
	return table(func(w *tabwriter.Writer) { rows(w, f.Machines) })
}

func rows(w *tabwriter.Writer, all []machines.Machine) {
	fmt.Fprintln(w, "MACHINE\tCLUB\tZONE\tIS\tTOKEN\tSINCE\tREQUEST\tBY\tWHY")
	for _, m := range all {
		is := m.Stage
		if m.Hurt {
			is += ", hurt"
		}
		if m.Work == nil {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t-\n", m.Name, m.Club, m.Zone, is)
			continue
		}
		why := m.Work.Why
		if len(m.Waits) > 0 {
			why = "waits for " + strings.Join(m.Waits, ", ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", m.Name, m.Club, m.Zone, is, m.Work.Token, clock(m.Work.Since), m.Work.Request.ID, clock(m.Work.Request.By), why)
	}
}

func machinesShow(ctx context.Context, cmd *cli.Command) error {
	var m machines.Machine
	r, err := askMachines(ctx, cmd, 2, drive.Question{About: "machine", Name: cmd.Args().Get(1)}, &m)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "machine": m})
	}
	fmt.Println(view(r))
	if err := table(func(w *tabwriter.Writer) { rows(w, []machines.Machine{m}) }); err != nil {
		return err
	}
	fmt.Printf("gateways %v, boxes %v, hubs %v, carries %g\n", m.Gateways, m.Boxes, m.Hubs, m.Carries)
	if m.Work != nil && m.Work.Backs > 0 {
		fmt.Printf("put back %d times, last: %s\n", m.Work.Backs, m.Work.Before)
	}
	if m.Work != nil && len(m.Work.Warm) > 0 {
		fmt.Printf("found warm by %v\n", slices.Sorted(maps.Keys(m.Work.Warm)))
	}
	if m.Work != nil && len(m.Work.Without) > 0 {
		fmt.Printf("out without word from %v\n", m.Work.Without)
	}
	return nil
}

// moment reads a time of the day, the next one of it, or a whole one, as Unix milliseconds.
func moment(field, text string, now time.Time) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		if t.Before(now) {
			return 0, fmt.Errorf("--%s: %s is past", field, text)
		}
		return float64(t.UnixMilli()), nil
	}
	t, err := time.ParseInLocation("15:04", text, now.Location())
	if err != nil {
		return 0, fmt.Errorf("--%s: %q is neither 15:04 nor %s", field, text, time.RFC3339)
	}
	at := time.Date(now.Year(), now.Month(), now.Day(), t.Hour(), t.Minute(), 0, 0, now.Location())
	if at.Before(now) {
		at = at.AddDate(0, 0, 1)
	}
	return float64(at.UnixMilli()), nil
}

func machinesOut(ctx context.Context, cmd *cli.Command) error {
	names, now := cmd.Args().Slice(), time.Now()
	if len(names) < 2 {
		return usageError(errors.New("machines out: takes ADDRESS NAME..."))
	}
	by, err := moment("by", cmd.String("by"), now)
	notBefore, err2 := moment("not-before", cmd.String("not-before"), now)
	if err = errors.Join(err, err2); err == nil && cmd.Duration("for") <= 0 {
		err = fmt.Errorf("--for: %v is no time", cmd.Duration("for"))
	}
	if err != nil {
		return usageError(fmt.Errorf("machines out: %w", err))
	}
	failed := 0
	for _, name := range names[1:] {
		id := cmd.String("id")
		switch {
		case id == "":
			id = fmt.Sprintf("%s-%s", name, now.UTC().Format("20060102T150405"))
		case len(names) > 2:
			id += "-" + name
		}
		request := maintenance.Request{ID: id, Machine: name, Takes: float64(cmd.Duration("for").Milliseconds()), By: by, NotBefore: notBefore, Why: cmd.String("why")}
		var m machines.Machine
		_, err := putMachines(ctx, cmd, drive.Question{About: "machine", Name: name, Command: &quorum.Command{Book: machines.Book, Kind: maintenance.Ask,
			Data: canon.Encode(maintenance.Order{At: float64(now.UnixMilli()), Request: &request})}}, &m)
		if err != nil {
			failed++
			fmt.Fprintf(os.Stderr, "%s: %v\n", name, err)
			continue
		}
		fmt.Printf("%s: %s, request %s\n", name, m.Stage, id)
	}
	if failed > 0 {
		return cli.Exit("", 1)
	}
	return nil
}

func machinesCancel(ctx context.Context, cmd *cli.Command) error {
	_, err := askMachines(ctx, cmd, 2, drive.Question{Command: &quorum.Command{Book: machines.Book, Kind: maintenance.Cancel,
		Data: canon.Encode(maintenance.Order{At: float64(time.Now().UnixMilli()), ID: cmd.Args().Get(1)})}}, nil)
	return err
}

// machinesStep is one step of a machine's way.
func machinesStep(kind string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		var m machines.Machine
		name := cmd.Args().Get(1)
		_, err := askMachines(ctx, cmd, 2, drive.Question{About: "machine", Name: name, Command: &quorum.Command{Book: machines.Book, Kind: kind,
			Data: canon.Encode(maintenance.Order{At: float64(time.Now().UnixMilli()), Machine: name, Token: cmd.Uint64("token")})}}, &m)
		if err != nil {
			return err
		}
		if cmd.Bool("json") {
			return document(m)
		}
		fmt.Printf("%s: %s\n", name, m.Stage)
		return nil
	}
}

// planned is what a gateway tells of the schedule.
type planned struct {
	Now  float64               `json:"now"`
	Plan []maintenance.Slot    `json:"plan"`
	Near map[string][2]float64 `json:"near"`
}

func machinesPlan(ctx context.Context, cmd *cli.Command) error {
	var p planned
	r, err := askMachines(ctx, cmd, 1, drive.Question{About: "plan"}, &p)
	if err != nil {
		return err
	}
	late := slices.ContainsFunc(p.Plan, func(s maintenance.Slot) bool { return s.Late })
	if cmd.Bool("json") {
		err = document(map[string]any{"view": r.Report, "schedule": p})
	} else {
		fmt.Println(view(r))
		err = table(func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "MACHINE\tREQUEST\tGOES\tIN AGAIN\tBY\tKEPT\tHELD UP BY")
			for _, s := range p.Plan {
				goes, back := clock(s.Start), clock(s.End)
				if s.Never {
					goes, back = "never, as it is", "-"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Machine, s.ID, goes, back, clock(s.By), map[bool]string{true: "NO", false: "yes"}[s.Late], dash(s.Limit))
			}
			fmt.Fprintln(w, "\nLIMIT\tTAKEN\tOF")
			for _, name := range slices.Sorted(maps.Keys(p.Near)) {
				fmt.Fprintf(w, "%s\t%.4g\t%.4g\n", name, p.Near[name][0], p.Near[name][1])
			}
		})
	}
	if err == nil && late {
		err = cli.Exit("", 1)
	}
	return err
}

func machinesWatch(ctx context.Context, cmd *cli.Command) error {
	last := ""
	for {
		var f fleet
		r, err := askMachines(ctx, cmd, 1, drive.Question{About: "machines"}, &f)
		if err != nil {
			return err
		}
		going := slices.DeleteFunc(f.Machines, func(m machines.Machine) bool { return m.Work == nil && !m.Hurt })
		var b strings.Builder
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		rows(w, going)
		w.Flush()
		if text := b.String(); text != last {
			last = text
			fmt.Printf("%s, %d machines are not in\n%s\n", time.Now().Format("15:04:05"), len(going), text)
		}
		if len(going) == 0 && r.Report.Majority {
			return nil
		}
		select {
		case <-time.After(cmd.Duration("every")):
		case <-ctx.Done():
			return nil
		}
	}
}

func machinesHistory(ctx context.Context, cmd *cli.Command) error {
	var all []maintenance.Ended
	r, err := askMachines(ctx, cmd, 1, drive.Question{About: "ended"}, &all)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return document(map[string]any{"view": r.Report, "ended": all})
	}
	fmt.Println(view(r))
	return table(func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "REQUEST\tMACHINE\tENDED\tAT\tWHY")
		for _, e := range all {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Request.ID, e.Request.Machine, e.What, clock(e.At), dash(e.Request.Why))
		}
	})
}
