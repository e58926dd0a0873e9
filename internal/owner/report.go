package owner

import (
	"maps"
	"slices"
)

// Report is a job for people and for scripts.
type Report struct {
	Name        string   `json:"name"`
	Kind        string   `json:"kind"`
	Type        string   `json:"type"`
	State       string   `json:"state"`
	Owner       string   `json:"owner"`
	Incarnation uint64   `json:"incarnation"`
	Token       uint64   `json:"token"`
	Steps       int      `json:"steps"`
	Done        int      `json:"done"`
	Next        int      `json:"next"` // all steps before it are done
	Window      int      `json:"window"`
	Places      []string `json:"places,omitempty"`
	Meant       []int    `json:"meant,omitempty"`
	Doubt       []Doubt  `json:"doubt,omitempty"`
	Grants      int      `json:"grants"`
	Since       uint64   `json:"since"`
	History     []Change `json:"history"`
}

// Doubt is a step that may have run, with all that the log knows of it.
type Doubt struct {
	Step  int    `json:"step"`
	Token uint64 `json:"token"`           // under which it was sent
	Owner string `json:"owner,omitempty"` // who sent it; empty: so long ago that it is forgotten
	Place string `json:"place,omitempty"` // at which it would have happened; empty: at its owner
}

// Report tells of a job.
func (j *Job) Report() Report {
	r := Report{Name: j.Name, Kind: j.Kind, Type: j.Type.String(), State: j.State.String(), Owner: j.Owner, Incarnation: j.Incarnation,
		Token: j.Token, Steps: j.Steps, Done: j.Next + len(j.Done), Next: j.Next, Window: j.Window, Places: j.Places,
		Meant: slices.Sorted(maps.Keys(j.Meant)), Grants: j.Grants, Since: j.Since, History: slices.Clone(j.History)}
	for _, step := range slices.Sorted(maps.Keys(j.Doubt)) {
		d := Doubt{Step: step, Token: j.Doubt[step], Place: j.Place(step)}
		for _, h := range j.History {
			if h.Token == d.Token && h.Owner != "" {
				d.Owner = h.Owner
			}
		}
		r.Doubt = append(r.Doubt, d)
	}
	return r
}
