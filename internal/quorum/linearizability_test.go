package quorum

import (
	"fmt"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"poppymill/internal/canon"
)

// cell is a book with a value and a lease: who holds it, and a token that rises with each grant.
type cell struct {
	Value, Holder string
	Token         int
}

// deed is what is asked of a cell, and did what came of it.
type (
	deed struct{ Kind, Who, Value string }
	did  struct {
		Unknown bool // nobody knows whether it counted
		Value   string
		Token   int
		Granted bool
	}
)

func (c *cell) do(d deed) did {
	switch d.Kind {
	case "write":
		c.Value = d.Value
	case "take":
		if c.Holder != "" {
			return did{Token: c.Token}
		}
		c.Holder = d.Who
		c.Token++
		return did{Token: c.Token, Granted: true}
	case "give":
		if c.Holder == d.Who {
			c.Holder = ""
		}
	}
	if d.Kind == "give" {
		return did{Token: c.Token}
	}
	return did{Value: c.Value}
}

func (c *cell) Apply(_ uint64, member Command) any {
	var d deed
	if canon.Decode(member.Data, &d) != nil {
		return ErrUnknown
	}
	return c.do(d)
}
func (c *cell) Save() []byte { return canon.Encode(c) }
func (c *cell) Load(b []byte) error {
	*c = cell{}
	if b == nil {
		return nil
	}
	return canon.Decode(b, c)
}

// What gateways are told of a value and a lease, by commands and by reads through the log, is as if there were one of each, in an
// order that fits when each was asked for and answered, whatever faults there are. Of what was given up nobody knows whether it counted.
func TestLinearizable(t *testing.T) {
	model := porcupine.Model{
		Partition: func(all []porcupine.Operation) [][]porcupine.Operation { // the value and the lease have nothing to do with each other
			parts := make([][]porcupine.Operation, 2)
			for _, o := range all {
				i := 0
				if d := o.Input.(deed); d.Kind == "take" || d.Kind == "give" {
					i = 1
				}
				parts[i] = append(parts[i], o)
			}
			return parts
		},
		Init: func() any { return cell{} },
		Step: func(state, in, out any) (bool, any) {
			c, got := state.(cell), out.(did)
			want := c.do(in.(deed))
			return got.Unknown || got == want, c
		},
		Equal: func(a, b any) bool { return a.(cell) == b.(cell) },
	}
	total, unknown, unjudged := 0, 0, 0
	for seed := range uint64(20) {
		s := newSim(t, 4000+seed, 3+2*int(seed%2), 2)
		s.start(s.names...)
		if !s.play(20_000, s.level) {
			t.Fatalf("seed %d: not level", seed)
		}
		s.loss, s.twice = 0.05, 0.1
		var history []porcupine.Operation
		open := map[uint64]int{} // operations that are not answered, by token
		s.ended = func(token uint64, o Outcome) {
			i, ok := open[token]
			if !ok {
				return
			}
			delete(open, token)
			history[i].Return = int64(s.now * 1000)
			if d, ok := o.Result.(did); ok && o.Err == nil {
				history[i].Output = d
			}
		}
		for n := range 40 {
			name := s.names[int(s.chance.Next())%len(s.names)]
			g := s.all[name]
			switch s.chance.Next() % 12 {
			case 0:
				i := 1 + int(s.chance.Next())%(len(s.names)-1)
				s.part(s.names[:i], s.names[i:])
			case 1:
				s.cut[[2]string{name, s.names[int(s.chance.Next())%len(s.names)]}] = true
			case 2:
				if g.up && !g.frozen {
					s.freeze(name)
				}
			case 3:
				if g.up {
					s.kill(name)
				}
			case 4, 5:
				s.heal()
			default:
				if !g.up {
					s.start(name)
				} else if g.frozen {
					s.wake(name)
				}
			}
			for i, name := range s.names {
				if g := s.all[name]; g.up && !g.frozen && g.node.incarnation != 0 && s.chance.Next()%3 == 0 {
					d := deed{Kind: []string{"read", "write", "take", "give"}[s.chance.Next()%4], Who: name, Value: fmt.Sprint(n, name)}
					s.made++
					token := uint64(s.made)
					open[token] = len(history)
					history = append(history, porcupine.Operation{ClientId: i, Input: d, Call: int64(s.now * 1000), Return: 1 << 60, Output: did{Unknown: true}})
					g.handle(Propose{Token: token, Command: Command{Book: "cell", Kind: d.Kind, Data: canon.Encode(d)}})
				}
			}
			s.play(50+600*s.chance.Below(), nil)
		}
		// Each that nobody knows of is a client of its own that never returned: it may have counted at any time since. A read then is
		// of no matter.
		kept := history[:0]
		for i, o := range history {
			if o.Output.(did).Unknown {
				o.ClientId, o.Return = 1000+i, 1<<60
				unknown++
				if o.Input.(deed).Kind == "read" {
					continue
				}
			}
			kept = append(kept, o)
		}
		history = kept
		total += len(history)
		if len(history) < 25 {
			t.Errorf("seed %d: only %d operations", seed, len(history))
		}
		switch porcupine.CheckOperationsTimeout(model, history, 2*time.Second) {
		case porcupine.Illegal:
			t.Errorf("seed %d: %d operations are not linearizable", seed, len(history))
		case porcupine.Unknown: // too many that nobody knows of, and a bound on the time to try them all
			unjudged++
		}
		s.same()
	}
	t.Logf("%d operations, of %d nobody knows; %d of 20 histories not judged", total, unknown, unjudged)
	if unjudged > 6 {
		t.Errorf("%d of 20 histories could not be judged", unjudged)
	}
}
