package maintenance

// Keeper is a machine's own part: what its agent does next, by what the log says of the machine and what the agent has written down. It is
// pure; what it gives is done by the agent, and written down before it is, so that an agent that ends at any place goes on rightly: the
// work is begun once for a grant, however often the agent is started.
type Keeper struct {
	Token uint64 `json:"token"` // of the grant under which it was last begun
	Phase Phase  `json:"phase"`
}

// Phase is how far an agent has come with a grant.
type Phase int

// The phases.
const (
	Nothing Phase = iota
	Begun         // the work was begun; it may have ended, and the machine with it
	Worked        // it has ended
	Failed        // it has failed: the machine stays out until somebody has looked
)

func (p Phase) String() string { return [...]string{"nothing", "begun", "worked", "failed"}[p] }

// Deed is what an agent does next.
type Deed int

// The deeds.
const (
	Wait     Deed = iota // look again later
	DoDrain              // say that it begins: the command Drain
	DoGo                 // ask whether it may go: the command Go
	DoWork               // write down Begun, then work
	DoReady              // see whether all that stands on the machine runs; once it does, the command Back
	Finished             // it is in, and what was asked for is over
)

func (d Deed) String() string {
	return [...]string{"wait", "drain", "go", "work", "ready", "finished"}[d]
}

// Next tells what to do. Work is the machine's as the log has it, nil where it is in.
func (k *Keeper) Next(w *Work) Deed {
	if w == nil {
		if k.Phase != Nothing {
			return Finished
		}
		return Wait
	}
	switch w.Stage {
	case Granted:
		return DoDrain
	case Draining:
		return DoGo
	case Out, Overdue:
		if k.Token != w.Token {
			return DoWork // agreed that it is out, and nothing was begun under this grant
		}
		if k.Phase == Failed {
			return Wait // overdue in its time, which an operator is told
		}
		// Begun before, by this process or one before it. That one may have ended with the machine, as in a restart: it is not begun again.
		return DoReady
	}
	return Wait
}

// Begin notes that the work is about to begin under a grant; it is to be on the disk before it does.
func (k *Keeper) Begin(token uint64) { k.Token, k.Phase = token, Begun }

// End notes that it has ended, well or not.
func (k *Keeper) End(well bool) {
	if k.Phase = Failed; well {
		k.Phase = Worked
	}
}

// Over forgets a grant that is done with, so that the next one is told from it.
func (k *Keeper) Over() { k.Phase = Nothing }
