package maintenance

// Keeper decides what a machine's agent does next, from the machine's replicated state and the agent's saved state. It does no I/O: the
// agent saves its state before it acts on a decision, so it can resume after a crash at any point, and the work starts only once per
// grant however often the agent restarts.
type Keeper struct {
	Token uint64 `json:"token"` // of the grant under which the work was last started
	Phase Phase  `json:"phase"`
}

// Phase is an agent's progress under a grant.
type Phase int

// The phases.
const (
	NotStarted Phase = iota
	Started          // the work was started; it may have ended, and may have restarted the machine
	Completed        // the work has ended
	Failed           // the work has failed: the machine stays out until an operator intervenes
)

func (p Phase) String() string { return [...]string{"nothing", "begun", "worked", "failed"}[p] }

// Deed is the next action of an agent.
type Deed int

// The actions.
const (
	Wait     Deed = iota // check again later
	DoDrain              // start draining: propose the command Drain
	DoGo                 // ask whether the machine may leave: propose the command Go
	DoWork               // save the phase Started, then run the work
	DoReady              // check whether everything on the machine runs; once it does, propose the command Back
	Finished             // the machine is back in service and the request is done
)

func (d Deed) String() string {
	return [...]string{"wait", "drain", "go", "work", "ready", "finished"}[d]
}

// Next returns the next action. w is the machine's replicated state, nil if the machine is in service without a request.
func (k *Keeper) Next(w *Work) Deed {
	if w == nil {
		if k.Phase != NotStarted {
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
			return DoWork // the log has the machine out, and no work was started under this grant
		}
		if k.Phase == Failed {
			return Wait // it becomes overdue, which operators see
		}
		// The work was started before, by this process or an earlier one, which may have ended when the machine restarted.
		// It is not started again.
		return DoReady
	}
	return Wait
}

// Begin records that the work is about to start under a grant. The caller saves the state to disk before it starts the work.
func (k *Keeper) Begin(token uint64) { k.Token, k.Phase = token, Started }

// End records that the work has ended, and whether it succeeded.
func (k *Keeper) End(succeeded bool) {
	if k.Phase = Failed; succeeded {
		k.Phase = Completed
	}
}

// Over resets the phase once a grant is finished, so that the next grant starts afresh.
func (k *Keeper) Over() { k.Phase = NotStarted }
