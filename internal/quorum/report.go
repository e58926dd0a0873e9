package quorum

import (
	"slices"

	"go.etcd.io/raft/v3"
)

// Report is the state of the replicated log as seen by a gateway, for operators and scripts.
type Report struct {
	Name        string         `json:"name"`
	Cluster     uint64         `json:"fleet"`
	Identity    uint64         `json:"identity"`
	Incarnation uint64         `json:"incarnation"`
	Role        string         `json:"role"`
	Leader      string         `json:"leader"`
	Term        uint64         `json:"term"`
	Applied     uint64         `json:"applied"`
	Age         float64        `json:"age_ms"` // since it last heard from the leader or its upstream voter
	Voters      []string       `json:"voters"`
	JointConfig bool           `json:"moving"`   // a joint configuration is in effect: it needs a majority of both the old and the new voters
	Majority    bool           `json:"majority"` // whether a majority can commit, as far as this gateway knows
	Pending     int            `json:"open"`     // its uncommitted commands
	Frames      uint64         `json:"frames"`   // sent to peers since the start
	Members     []MemberReport `json:"members"`
}

// MemberReport is one member in a Report.
type MemberReport struct {
	Name         string  `json:"name"`
	Zone         string  `json:"zone"`
	Address      string  `json:"address"`
	Incarnation  uint64  `json:"incarnation"`
	State        string  `json:"standing"`
	Since        uint64  `json:"since"`
	Losses       uint64  `json:"losses"`
	Votes        bool    `json:"votes"`
	SinceRenewal float64 `json:"heard_ms,omitempty"` // at the leader: since its last renewal
}

// Report returns the current state.
func (n *Node) Report(now float64) Report {
	report := Report{Name: n.settings.Name, Identity: n.id.ID, Incarnation: n.incarnation, Leader: n.leader, Applied: n.applied, Pending: len(n.pending), Role: "follower"}
	if n.founding != nil {
		report.Cluster = n.founding.Cluster
	}
	switch {
	case n.yielded:
		report.Role = "yielded"
	case n.broken:
		report.Role = "broken"
	case n.founding == nil:
		report.Role = "none"
	case n.isLeader():
		report.Role = "leader"
	case n.raft != nil && n.raft.BasicStatus().RaftState != raft.StateFollower:
		report.Role = "candidate"
	case n.raft != nil:
		report.Role = "voter"
	}
	if n.raft != nil {
		report.Term, report.JointConfig = n.raft.BasicStatus().GetTerm(), len(n.conf.GetVotersOutgoing()) > 0
		report.Age = max(0, now-n.leaderHeardAt)
	} else {
		report.Age = max(0, now-n.upstreamHeardAt)
	}
	if report.Majority = n.leader != "" && report.Age < n.settings.Election; n.isLeader() {
		// A leader that loses its majority steps down; until then only a hung disk keeps it from committing.
		report.Age, report.Majority = 0, !n.diskHung
	}
	for _, member := range n.members.All() {
		memberReport := MemberReport{Name: member.Name, Zone: member.Zone, Address: member.Address, Incarnation: member.Incarnation, State: member.State.String(),
			Since: member.Since, Losses: member.LeaseExpirations}
		if member.Identity != 0 && n.roleOf(member.Identity) == roleVoter {
			memberReport.Votes = true
			report.Voters = append(report.Voters, member.Name)
		}
		if at, ok := n.lastRenewal[member.Incarnation]; ok && n.isLeader() {
			memberReport.SinceRenewal = now - at
		}
		report.Members = append(report.Members, memberReport)
	}
	return report
}

// Address returns the address of a peer: the one configured at the start, else the one in the peer's own join.
func (n *Node) Address(name string) string {
	if a := n.settings.Peers[name]; a != "" {
		return a
	}
	if m := n.members.Names[name]; m != nil {
		return m.Address
	}
	return ""
}

// Voters returns the names of the voters, sorted. It returns nil while one of them is not known by name, or during a
// joint configuration, in which the outgoing voters are needed as well.
func (n *Node) Voters() (names []string) {
	if len(n.conf.GetVotersOutgoing()) > 0 {
		return nil
	}
	for _, id := range n.conf.GetVoters() {
		name := n.nameOf(id)
		if name == "" {
			return nil
		}
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
