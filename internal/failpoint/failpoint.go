// Package failpoint lets a process stop or kill itself at a named point in the code, so that a test can inject a fault
// exactly between a check and the step that relies on it. Only a debug build (-tags debug) has failpoints, configured
// by the block `failpoints` of the operator's file; any other build rejects the block.
package failpoint

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"poppymill/internal/operator"
)

// The names of the failpoints.
const (
	Saving       = "quorum.saving"     // before a record is written to the store
	Saved        = "quorum.saved"      // a record is synced, and neither the node nor any peer knows
	Committed    = "quorum.agreed"     // commands were committed, and nothing about them was sent
	Sending      = "jobs.sending"      // ownership of the job was confirmed, and the effect is not sent
	Executed     = "jobs.happened"     // the effect was executed, and the log does not have its result
	TokenChecked = "place.checked"     // a fencing token was accepted, and the effect is not executed
	Written      = "place.written"     // an effect is written and not synced
	Synced       = "place.synced"      // an effect is synced, and its sender does not know
	Granting     = "jobs.granting"     // the leader is about to propose a grant
	Scheduling   = "machines.granting" // the owner of the schedule is about to propose a grant
	Leaving      = "quorum.leaving"    // the process is about to announce that it leaves
)

var known = []string{Saving, Saved, Committed, Sending, Executed, TokenChecked, Written, Synced, Granting, Scheduling, Leaving}

// Block is the block failpoints of an operator's file: for each failpoint, the number of the pass, counted from 1, at
// which the process stops or is killed.
type Block struct {
	Stop, Kill []string
	stop, kill map[string]int
}

// Fields returns the fields of the block failpoints.
func (b *Block) Fields() []operator.Field {
	return []operator.Field{operator.Attr("stop", operator.StringList(&b.Stop)), operator.Attr("kill", operator.StringList(&b.Kill)),
		operator.Check(func() (err error) {
			if !On {
				return fmt.Errorf("only a debug build has failpoints (-tags debug)")
			}
			if b.stop, err = parse("stop", b.Stop); err == nil {
				b.kill, err = parse("kill", b.Kill)
			}
			return err
		})}
}

// parse parses failpoints in the form NAME:PASS, and returns the passes by name.
func parse(field string, entries []string) (map[string]int, error) {
	passes := map[string]int{}
	for _, text := range entries {
		name, pass, _ := strings.Cut(text, ":")
		n, err := strconv.Atoi(pass)
		if err != nil || n < 1 || !slices.Contains(known, name) {
			return nil, fmt.Errorf("%s: %q is not NAME:PASS with a NAME among %s", field, text, strings.Join(known, ", "))
		}
		passes[name] = n
	}
	return passes, nil
}
