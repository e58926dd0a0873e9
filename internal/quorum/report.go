package quorum

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// Report is what a gateway knows of the agreement, for people and for scripts.
type Report struct {
	Name        string         `json:"name"`
	Cluster     uint64         `json:"fleet"`
	Identity    uint64         `json:"identity"`
	Incarnation uint64         `json:"incarnation"`
	Role        string         `json:"role"` // leader, voter, candidate, follower, none, broken or yielded
	Leader      string         `json:"leader"`
	Term        uint64         `json:"term"`
	Applied     uint64         `json:"applied"`
	Age         float64        `json:"age_ms"` // since it last heard of whom its view comes from
	Voters      []string       `json:"voters"`
	Moving      bool           `json:"moving"`   // a vote is on its way to another: until it is there, a majority of those before and of those after is needed
	Majority    bool           `json:"majority"` // as far as can be told from here
	Open        int            `json:"open"`     // commands of its own that wait to be agreed
	Frames      uint64         `json:"frames"`   // sent to peers since its start
	Members     []MemberReport `json:"members"`
}

// MemberReport is one member in a report.
type MemberReport struct {
	Name        string  `json:"name"`
	Zone        string  `json:"zone"`
	Address     string  `json:"address"`
	Incarnation uint64  `json:"incarnation"`
	Standing    string  `json:"standing"`
	Since       uint64  `json:"since"`
	Losses      uint64  `json:"losses"`
	Votes       bool    `json:"votes"`
	Heard       float64 `json:"heard_ms,omitempty"` // at the leader: since it was last heard of
}

// Report tells how things stand.
func (n *Node) Report(now float64) Report {
	r := Report{Name: n.set.Name, Identity: n.id.ID, Incarnation: n.inc, Leader: n.leader, Applied: n.applied, Open: len(n.open), Role: "follower"}
	if n.founded != nil {
		r.Cluster = n.founded.Cluster
	}
	switch {
	case n.yielded:
		r.Role = "yielded"
	case n.dead:
		r.Role = "broken"
	case n.founded == nil:
		r.Role = "none"
	case n.leads():
		r.Role = "leader"
	case n.raft != nil && n.raft.BasicStatus().RaftState != raft.StateFollower:
		r.Role = "candidate"
	case n.raft != nil:
		r.Role = "voter"
	}
	if n.raft != nil {
		r.Term, r.Moving = n.raft.BasicStatus().GetTerm(), len(n.conf.GetVotersOutgoing()) > 0
		r.Age = max(0, now-n.heard)
	} else {
		r.Age = max(0, now-n.hosted)
	}
	if r.Majority = n.leader != "" && r.Age < n.set.Election; n.leads() {
		// It steps down once it hears no majority; until then only a disk that does not answer keeps it from agreeing.
		r.Age, r.Majority = 0, !n.hangs
	}
	for _, m := range n.members.All() {
		x := MemberReport{Name: m.Name, Zone: m.Zone, Address: m.Address, Incarnation: m.Incarnation, Standing: m.Standing.String(),
			Since: m.Since, Losses: m.Losses}
		if m.Identity != 0 && n.votes(m.Identity) == votes {
			x.Votes = true
			r.Voters = append(r.Voters, m.Name)
		}
		if at, ok := n.renewed[m.Incarnation]; ok && n.leads() {
			x.Heard = now - at
		}
		r.Members = append(r.Members, x)
	}
	return r
}

// Address is where a peer is reached: as this gateway was told at its start, else as the peer itself said.
func (n *Node) Address(name string) string {
	if a := n.set.Peers[name]; a != "" {
		return a
	}
	if m := n.members.Names[name]; m != nil {
		return m.Address
	}
	return ""
}

// Voters are the names of those that vote, sorted; nobody while one of them is not known by name, or a vote is on its way from one to
// another: until it is there, whoever had it is needed as well.
func (n *Node) Voters() (all []string) {
	if len(n.conf.GetVotersOutgoing()) > 0 {
		return nil
	}
	for _, id := range n.conf.GetVoters() {
		name := n.name(id)
		if name == "" {
			return nil
		}
		all = append(all, name)
	}
	slices.Sort(all)
	return all
}
