package maintenance

// AgentState decides what a machine's agent does next, from the machine's replicated state and the agent's saved state. It does no I/O: the
// agent saves its state before it acts on a decision, so it can resume after a crash at any point, and the work starts only once per
// grant however often the agent restarts.
type AgentState struct {
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

// Action is the next action of an agent.
type Action int

// The actions.
const (
	ActionWait       Action = iota // check again later
	ActionDrain                    // start draining: propose the command Drain
	ActionLeave                    // ask whether the machine may leave: propose the command Leave
	ActionWork                     // save the phase Started, then run the work
	ActionCheckReady               // check whether everything on the machine runs; once it does, propose the command Return
	ActionDone                     // the machine is back in service and the request is done
)

func (d Action) String() string {
	return [...]string{"wait", "drain", "go", "work", "ready", "finished"}[d]
}

// Next returns the next action. w is the machine's replicated state, nil if the machine is in service without a request.
func (k *AgentState) Next(w *Window) Action {
	if w == nil {
		if k.Phase != NotStarted {
			return ActionDone
		}
		return ActionWait
	}
	switch w.Stage {
	case Granted:
		return ActionDrain
	case Draining:
		return ActionLeave
	case OutOfService, Overdue:
		if k.Token != w.Token {
			return ActionWork // the log has the machine out, and no work was started under this grant
		}
		if k.Phase == Failed {
			return ActionWait // it becomes overdue, which operators see
		}
		// The work was started before, by this process or an earlier one, which may have ended when the machine restarted.
		// It is not started again.
		return ActionCheckReady
	}
	return ActionWait
}

// StartWork records that the work is about to start under a grant. The caller saves the state to disk before it starts the work.
func (k *AgentState) StartWork(token uint64) { k.Token, k.Phase = token, Started }

// FinishWork records that the work has ended, and whether it succeeded.
func (k *AgentState) FinishWork(succeeded bool) {
	if k.Phase = Failed; succeeded {
		k.Phase = Completed
	}
}

// Reset resets the phase once a grant is finished, so that the next grant starts afresh.
func (k *AgentState) Reset() { k.Phase = NotStarted }
