package owner

import (
	"maps"
	"slices"
)

// Report describes a job to operators and scripts.
type Report struct {
	Name        string          `json:"name"`
	Kind        string          `json:"kind"`
	Type        string          `json:"type"`
	State       string          `json:"state"`
	Owner       string          `json:"owner"`
	Incarnation uint64          `json:"incarnation"`
	Token       uint64          `json:"token"`
	Steps       int             `json:"steps"`
	Done        int             `json:"done"`
	Next        int             `json:"next"` // all steps before it are done
	Window      int             `json:"window"`
	Places      []string        `json:"places,omitempty"`
	Intended    []int           `json:"meant,omitempty"`
	Uncertain   []UncertainStep `json:"doubt,omitempty"`
	Grants      int             `json:"grants"`
	Since       uint64          `json:"since"`
	History     []Change        `json:"history"`
}

// UncertainStep is a step that may have run, with everything the log knows about it.
type UncertainStep struct {
	Step  int    `json:"step"`
	Token uint64 `json:"token"`           // under which it was sent
	Owner string `json:"owner,omitempty"` // who sent it; empty: no longer in the history
	Place string `json:"place,omitempty"` // executing gateway; empty: its owner
}

// Report returns the report of a job.
func (j *Job) Report() Report {
	r := Report{Name: j.Name, Kind: j.Kind, Type: j.Type.String(), State: j.State.String(), Owner: j.Owner, Incarnation: j.Incarnation,
		Token: j.Token, Steps: j.Steps, Done: j.Next + len(j.Done), Next: j.Next, Window: j.Window, Places: j.Gateways,
		Intended: slices.Sorted(maps.Keys(j.Intended)), Grants: j.Grants, Since: j.Since, History: slices.Clone(j.History)}
	for _, step := range slices.Sorted(maps.Keys(j.Uncertain)) {
		doubt := UncertainStep{Step: step, Token: j.Uncertain[step], Place: j.ExecutingGateway(step)}
		for _, change := range j.History {
			if change.Token == doubt.Token && change.Owner != "" {
				doubt.Owner = change.Owner
			}
		}
		r.Uncertain = append(r.Uncertain, doubt)
	}
	return r
}
