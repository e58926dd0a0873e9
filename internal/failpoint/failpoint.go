// Package failpoint has a process stop or kill itself at a named place in the code, so that a test can put a fault exactly between
// a check and what rests on it. Only a debug build does (-tags debug), by the operator's block `failpoints`; any other build refuses
// the block.
package failpoint

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"poppymill/internal/operator"
)

// The places.
const (
	Saving     = "quorum.saving"     // before a record is written to the disk
	Saved      = "quorum.saved"      // it is on the disk, and nobody knows
	Agreed     = "quorum.agreed"     // commands were agreed, and nothing of it has gone out
	Sending    = "jobs.sending"      // it is known to own the job, and the effect has not gone out
	Happened   = "jobs.happened"     // the effect has happened, and the log does not know
	Checked    = "place.checked"     // a place has let a token pass, and nothing has happened
	Written    = "place.written"     // an effect is written and not synced
	Synced     = "place.synced"      // it is on the disk, and its sender does not know
	Granting   = "jobs.granting"     // the leader is about to ask for a grant
	Scheduling = "machines.granting" // the owner of the schedule is about to ask for a grant
	Leaving    = "quorum.leaving"    // its goodbye has not gone out
)

var known = []string{Saving, Saved, Agreed, Sending, Happened, Checked, Written, Synced, Granting, Scheduling, Leaving}

// Block is what an operator's file says: at each place, the how-manieth pass it is at which the process stops or ends.
type Block struct {
	Stop, Kill []string
	stop, kill map[string]int
}

// Fields are those of the block failpoints.
func (b *Block) Fields() []operator.Field {
	return []operator.Field{operator.Attr("stop", operator.Texts(&b.Stop)), operator.Attr("kill", operator.Texts(&b.Kill)),
		operator.Check(func() (err error) {
			if !On {
				return fmt.Errorf("only a debug build has any (-tags debug)")
			}
			if b.stop, err = parse("stop", b.Stop); err == nil {
				b.kill, err = parse("kill", b.Kill)
			}
			return err
		})}
}

// parse reads places in the form NAME:PASS.
func parse(field string, all []string) (map[string]int, error) {
	m := map[string]int{}
	for _, text := range all {
		name, pass, _ := strings.Cut(text, ":")
		n, err := strconv.Atoi(pass)
		if err != nil || n < 1 || !slices.Contains(known, name) {
			return nil, fmt.Errorf("%s: %q is not NAME:PASS, with a name of %s", field, text, strings.Join(known, ", "))
		}
		m[name] = n
	}
	return m, nil
}
