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

	"poppymill/internal/codec"
	"poppymill/internal/maintenance"
	maintenancedriver "poppymill/internal/maintenance/driver"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

func machinesCommand() *cli.Command {
	flags := []cli.Flag{&cli.BoolFlag{Name: "json", Usage: "print one JSON document"},
		&cli.DurationFlag{Name: "within", Usage: "timeout of the request to the gateway", Value: 5 * time.Second}}
	queryFlags := append(flags[:2:2], &cli.BoolFlag{Name: "fresh", Usage: "include everything agreed before now; exit status 1 if there is no majority to confirm it"})
	agentFlags := append(flags[:2:2], &cli.Uint64Flag{Name: "token", Required: true, Usage: "token of the grant, as printed by `machines show`"})
	return &cli.Command{Name: "machines", Usage: "take machines out for maintenance, in an order that the gateways schedule", Commands: []*cli.Command{
		{Name: "list", Usage: "list all machines, and the differences between the operator's file and the present members", ArgsUsage: "ADDRESS", Flags: queryFlags, Action: machinesList},
		{Name: "show", Usage: "show one machine", ArgsUsage: "ADDRESS NAME", Flags: queryFlags, Action: machinesShow},
		{Name: "out", Usage: "request maintenance of machines; repeating a request with the same id has no effect", ArgsUsage: "ADDRESS NAME...", Flags: append(flags[:2:2],
			&cli.DurationFlag{Name: "for", Required: true, Usage: "expected duration of the work"},
			&cli.StringFlag{Name: "by", Usage: "deadline of the work: 06:00, or 2006-01-02T15:04:05Z07:00"},
			&cli.StringFlag{Name: "not-before", Usage: "earliest start, in the format of --by"}, &cli.StringFlag{Name: "why"},
			&cli.StringFlag{Name: "id", Usage: "id of the request; with several machines, the machine's name is appended; default: the name and the time"}), Action: machinesOut},
		{Name: "cancel", Usage: "cancel a request, unless its machine is out", ArgsUsage: "ADDRESS ID", Flags: flags, Action: machinesCancel},
		{Name: "withdraw", Usage: "withdraw a grant: the machine stays in service and waits again", ArgsUsage: "ADDRESS NAME", Flags: flags, Action: machinesStep(maintenance.Withdraw)},
		{Name: "drain", Usage: "for the agent of a machine: draining begins", ArgsUsage: "ADDRESS NAME", Flags: agentFlags, Action: machinesStep(maintenance.Drain)},
		{Name: "go", Usage: "for the agent of a machine: exit status 0 only once the machine may go out", ArgsUsage: "ADDRESS NAME", Flags: agentFlags, Action: machinesStep(maintenance.Leave)},
		{Name: "back", Usage: "for the agent of a machine: the machine is back", ArgsUsage: "ADDRESS NAME", Flags: agentFlags, Action: machinesStep(maintenance.Return)},
		{Name: "plan", Usage: "show the expected schedule and the use of each limit; exit status 1 if a deadline cannot be met", ArgsUsage: "ADDRESS", Flags: queryFlags, Action: machinesPlan},
		{Name: "watch", Usage: "print changes until no machine waits or is out", ArgsUsage: "ADDRESS", Flags: append(flags[:2:2], &cli.DurationFlag{Name: "every", Value: time.Second}), Action: machinesWatch},
		agentCommand(),
		{Name: "history", Usage: "list finished and cancelled requests", ArgsUsage: "ADDRESS", Flags: queryFlags, Action: machinesHistory},
	}}
}

// machinesReply is the state of all machines, as a gateway reports it.
type machinesReply struct {
	AgreedVersion int                         `json:"version"` // of the operator's file that the gateways agreed on
	LocalVersion  int                         `json:"here"`    // of the operator's file at this gateway
	Limits        maintenance.Limits          `json:"limits"`
	Machines      []maintenancedriver.Machine `json:"machines"`
	Differences   []string                    `json:"strangers"` // between the operator's file and the present members
}

// queryMachines checks the number of arguments and queries the gateway at the address in the first one.
func queryMachines(ctx context.Context, cmd *cli.Command, args int, q quorumdriver.Query, dst any) (quorumdriver.Reply, error) {
	if cmd.Args().Len() != args {
		return quorumdriver.Reply{}, usageError(fmt.Errorf("machines %s: takes %s", cmd.Name, cmd.ArgsUsage))
	}
	return sendMachinesQuery(ctx, cmd, q, dst)
}

// sendMachinesQuery queries the gateway at the address in the first argument and stores the body of the reply in dst.
func sendMachinesQuery(ctx context.Context, cmd *cli.Command, q quorumdriver.Query, dst any) (quorumdriver.Reply, error) {
	q.Fresh = cmd.Bool("fresh")
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("within"))
	defer cancel()
	r, err := quorumdriver.SendQuery(ctx, cmd.Args().First(), q)
	if err == nil && r.Error != "" {
		if !r.Report.Majority {
			r.Error += fmt.Sprintf(" (%s sees no majority)", r.Report.Name)
		}
		err = errors.New(r.Error)
	}
	if err == nil && dst != nil {
		err = json.Unmarshal(r.Body, dst)
	}
	if err != nil {
		return r, cli.Exit(fmt.Sprintf("machines %s: %s: %v", cmd.Name, cmd.Args().First(), err), 1)
	}
	return r, nil
}

// printTable prints the rows that a function writes as aligned columns.
func printTable(writeRows func(w *tabwriter.Writer)) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	writeRows(w)
	return w.Flush()
}

// formatTime formats Unix milliseconds as a local time without the year; 0 is no time.
func formatTime(ms float64) string {
	if ms == 0 {
		return "-"
	}
	return time.UnixMilli(int64(ms)).Format("01-02 15:04:05")
}

func machinesList(ctx context.Context, cmd *cli.Command) error {
	var reply machinesReply
	r, err := queryMachines(ctx, cmd, 1, quorumdriver.Query{Subject: "machines"}, &reply)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "machines": reply})
	}
	fmt.Printf("%s; agreed version of the operator's file: %d, version at this gateway: %d\n", viewHeader(r), reply.AgreedVersion, reply.LocalVersion)
	for _, s := range reply.Differences {
		fmt.Println("differs:", s)
	}
	return printTable(func(w *tabwriter.Writer) { printMachines(w, reply.Machines) })
}

// printMachines writes the table of machines.
func printMachines(w *tabwriter.Writer, list []maintenancedriver.Machine) {
	fmt.Fprintln(w, "MACHINE\tCLUB\tZONE\tIS\tTOKEN\tSINCE\tREQUEST\tBY\tWHY")
	for _, m := range list {
		state := m.Stage
		if m.Degraded {
			state += ", hurt"
		}
		if m.Work == nil {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t-\t-\t-\t-\t-\n", m.Name, m.Club, m.Zone, state)
			continue
		}
		reason := m.Work.Reason
		if len(m.PendingAcks) > 0 {
			reason = "waits for " + strings.Join(m.PendingAcks, ", ")
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%s\t%s\t%s\t%s\n", m.Name, m.Club, m.Zone, state, m.Work.Token, formatTime(m.Work.Since), m.Work.Request.ID, formatTime(m.Work.Request.Deadline), reason)
	}
}

func machinesShow(ctx context.Context, cmd *cli.Command) error {
	var m maintenancedriver.Machine
	r, err := queryMachines(ctx, cmd, 2, quorumdriver.Query{Subject: "machine", Name: cmd.Args().Get(1)}, &m)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "machine": m})
	}
	fmt.Println(viewHeader(r))
	if err := printTable(func(w *tabwriter.Writer) { printMachines(w, []maintenancedriver.Machine{m}) }); err != nil {
		return err
	}
	fmt.Printf("gateways %v, boxes %v, hubs %v, carries %g\n", m.Gateways, m.Boxes, m.Hubs, m.Capacity)
	if m.Work != nil && m.Work.RevokedGrants > 0 {
		fmt.Printf("returned to waiting %d times, last reason: %s\n", m.Work.RevokedGrants, m.Work.LastRevocation)
	}
	if m.Work != nil && len(m.Work.Warm) > 0 {
		fmt.Printf("found warm by gateways %v\n", slices.Sorted(maps.Keys(m.Work.Warm)))
	}
	if m.Work != nil && len(m.Work.MissingAcks) > 0 {
		fmt.Printf("went out without an acknowledgement from %v\n", m.Work.MissingAcks)
	}
	return nil
}

// parseTime parses an RFC 3339 time, or a time of day, which means its next occurrence, into Unix milliseconds. An
// empty text is 0.
func parseTime(flag, text string, now time.Time) (float64, error) {
	if text == "" {
		return 0, nil
	}
	if t, err := time.Parse(time.RFC3339, text); err == nil {
		if t.Before(now) {
			return 0, fmt.Errorf("--%s: %s is in the past", flag, text)
		}
		return float64(t.UnixMilli()), nil
	}
	t, err := time.ParseInLocation("15:04", text, now.Location())
	if err != nil {
		return 0, fmt.Errorf("--%s: %q is neither 15:04 nor %s", flag, text, time.RFC3339)
	}
	at := time.Date(now.Year(), now.Month(), now.Day(), t.Hour(), t.Minute(), 0, 0, now.Location())
	if at.Before(now) {
		at = at.AddDate(0, 0, 1)
	}
	return float64(at.UnixMilli()), nil
}

func machinesOut(ctx context.Context, cmd *cli.Command) error {
	args, now := cmd.Args().Slice(), time.Now()
	if len(args) < 2 {
		return usageError(errors.New("machines out: takes ADDRESS NAME..."))
	}
	by, err := parseTime("by", cmd.String("by"), now)
	notBefore, notBeforeErr := parseTime("not-before", cmd.String("not-before"), now)
	if err = errors.Join(err, notBeforeErr); err == nil && cmd.Duration("for") <= 0 {
		err = fmt.Errorf("--for: %v is not a positive duration", cmd.Duration("for"))
	}
	if err != nil {
		return usageError(fmt.Errorf("machines out: %w", err))
	}
	failed := 0
	for _, name := range args[1:] {
		id := cmd.String("id")
		switch {
		case id == "":
			id = fmt.Sprintf("%s-%s", name, now.UTC().Format("20060102T150405"))
		case len(args) > 2:
			id += "-" + name
		}
		request := maintenance.Request{ID: id, Machine: name, Duration: float64(cmd.Duration("for").Milliseconds()), Deadline: by, NotBefore: notBefore, Reason: cmd.String("why")}
		var m maintenancedriver.Machine
		_, err := sendMachinesQuery(ctx, cmd, quorumdriver.Query{Subject: "machine", Name: name, Command: &quorum.Command{StateMachine: maintenancedriver.StateMachineName, Kind: maintenance.Submit,
			Data: codec.Encode(maintenance.CommandData{At: float64(now.UnixMilli()), Request: &request})}}, &m)
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
	_, err := queryMachines(ctx, cmd, 2, quorumdriver.Query{Command: &quorum.Command{StateMachine: maintenancedriver.StateMachineName, Kind: maintenance.Cancel,
		Data: codec.Encode(maintenance.CommandData{At: float64(time.Now().UnixMilli()), ID: cmd.Args().Get(1)})}}, nil)
	return err
}

// machinesStep returns the action that submits one step of a machine's maintenance.
func machinesStep(kind string) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		var m maintenancedriver.Machine
		name := cmd.Args().Get(1)
		_, err := queryMachines(ctx, cmd, 2, quorumdriver.Query{Subject: "machine", Name: name, Command: &quorum.Command{StateMachine: maintenancedriver.StateMachineName, Kind: kind,
			Data: codec.Encode(maintenance.CommandData{At: float64(time.Now().UnixMilli()), Machine: name, Token: cmd.Uint64("token")})}}, &m)
		if err != nil {
			return err
		}
		if cmd.Bool("json") {
			return printJSON(m)
		}
		fmt.Printf("%s: %s\n", name, m.Stage)
		return nil
	}
}

// scheduleReply is the schedule, as a gateway reports it.
type scheduleReply struct {
	Now   float64               `json:"now"`
	Plan  []maintenance.Slot    `json:"plan"`
	Usage map[string][2]float64 `json:"near"` // by limit: amount in use, and the limit itself
}

func machinesPlan(ctx context.Context, cmd *cli.Command) error {
	var schedule scheduleReply
	r, err := queryMachines(ctx, cmd, 1, quorumdriver.Query{Subject: "plan"}, &schedule)
	if err != nil {
		return err
	}
	late := slices.ContainsFunc(schedule.Plan, func(s maintenance.Slot) bool { return s.MissesDeadline })
	if cmd.Bool("json") {
		err = printJSON(map[string]any{"view": r.Report, "schedule": schedule})
	} else {
		fmt.Println(viewHeader(r))
		err = printTable(func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "MACHINE\tREQUEST\tGOES\tIN AGAIN\tBY\tKEPT\tHELD UP BY")
			for _, s := range schedule.Plan {
				goes, back := formatTime(s.Start), formatTime(s.End)
				if s.Never {
					goes, back = "never, with the present limits", "-"
				}
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", s.Machine, s.ID, goes, back, formatTime(s.Deadline), map[bool]string{true: "NO", false: "yes"}[s.MissesDeadline], orDash(s.BlockedBy))
			}
			fmt.Fprintln(w, "\nLIMIT\tTAKEN\tOF")
			for _, name := range slices.Sorted(maps.Keys(schedule.Usage)) {
				fmt.Fprintf(w, "%s\t%.4g\t%.4g\n", name, schedule.Usage[name][0], schedule.Usage[name][1])
			}
		})
	}
	if err == nil && late {
		err = cli.Exit("", 1)
	}
	return err
}

func machinesWatch(ctx context.Context, cmd *cli.Command) error {
	lastText := ""
	for {
		var reply machinesReply
		r, err := queryMachines(ctx, cmd, 1, quorumdriver.Query{Subject: "machines"}, &reply)
		if err != nil {
			return err
		}
		unsettled := slices.DeleteFunc(reply.Machines, func(m maintenancedriver.Machine) bool { return m.Work == nil && !m.Degraded })
		var b strings.Builder
		w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		printMachines(w, unsettled)
		w.Flush()
		if text := b.String(); text != lastText {
			lastText = text
			fmt.Printf("%s, %d machines are not in or are hurt\n%s\n", time.Now().Format("15:04:05"), len(unsettled), text)
		}
		if len(unsettled) == 0 && r.Report.Majority {
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
	var ended []maintenance.FinishedRequest
	r, err := queryMachines(ctx, cmd, 1, quorumdriver.Query{Subject: "ended"}, &ended)
	if err != nil {
		return err
	}
	if cmd.Bool("json") {
		return printJSON(map[string]any{"view": r.Report, "ended": ended})
	}
	fmt.Println(viewHeader(r))
	return printTable(func(w *tabwriter.Writer) {
		fmt.Fprintln(w, "REQUEST\tMACHINE\tENDED\tAT\tWHY")
		for _, e := range ended {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", e.Request.ID, e.Request.Machine, e.Outcome, formatTime(e.At), orDash(e.Request.Reason))
		}
	})
}
