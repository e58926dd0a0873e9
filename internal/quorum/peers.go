package quorum

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/canon"
)

// What one follower is given at a time, in bytes: it asks for more once it has that, so nobody else waits for it.
const mostFollow = 256 << 10

func (n *Node) received(from string, f Frame) {
	if from == n.set.Name && f.Kind != Yield {
		return
	}
	if n.founded != nil && f.Cluster != 0 && f.Cluster != n.founded.Cluster {
		switch {
		case f.Kind == Found && f.Founding != nil && slices.Contains(f.Founding.Was, n.founded.Cluster):
			n.succeed(f.Founding)
			return
		case slices.Contains(n.founded.Was, f.Cluster):
			n.send(from, Frame{Kind: Found, Founding: n.founded})
			return
		}
		if !n.strange[from] && len(n.strange) < n.set.Members {
			n.strange[from] = true
			n.say("a peer belongs to another fleet: nothing of it is heard", "name", from)
		}
		return
	}
	if len(n.names) < n.set.Members || n.names[f.ID] != "" {
		n.names[f.ID] = from
	}
	switch f.Kind {
	case Hello:
		n.hello(from, f)
	case Found:
		n.takeUp(f)
	case Raft:
		n.message(from, f)
	case Ask:
		n.handOn(from, f)
	case Renew:
		n.renewal(from, f)
	case Follow:
		n.follow(from, f)
	case Removed:
		n.removed(from, f)
	case Yield:
		if f.Nonce == n.nonce {
			n.yield()
		}
	case Sight:
		n.sightAsked(from, f)
	case Seen:
		if f.Nonce == n.nonce {
			n.seen(f.Echo, f.Applied)
		}
	case Prove:
		n.testify(from, f)
	case Proof:
		n.proven(from, f)
	}
}

// succeed joins the fleet that an operator made of what was left of this one.
func (n *Node) succeed(f *Founding) {
	if n.dead || n.saving != nil {
		return
	}
	n.say("this fleet was taken over by another, by an operator's hand: this gateway joins that one, as somebody else")
	n.anew(nil, f)
}

// hello is a peer that tells who it is. Founders found once all of them have said, to this very process, that they have
// nothing; whoever belongs to a fleet tells those that don't.
func (n *Node) hello(from string, f Frame) {
	if n.founded != nil {
		if f.Cluster == 0 {
			n.send(from, Frame{Kind: Found, Founding: n.founded})
		}
		return
	}
	if f.Echo == n.nonce && f.Cluster == 0 && slices.Contains(n.set.Founders, from) {
		n.fresh[from] = hello{id: f.ID, at: n.now}
		n.found()
	} else if f.Echo != n.nonce {
		n.send(from, Frame{Kind: Hello, Nonce: n.nonce, Echo: f.Nonce})
	}
}

// found begins a fleet. Only the founder whose name comes first does, and only when all others have answered it lately that
// their stores are empty: one that lost its store finds that the others have not lost theirs.
func (n *Node) found() {
	names := slices.Sorted(slices.Values(n.set.Founders))
	if len(names) == 0 || names[0] != n.set.Name || n.founded != nil || n.saving != nil || n.dead {
		return
	}
	voters := map[string]uint64{n.set.Name: n.id.ID}
	for _, name := range names[1:] {
		h, ok := n.fresh[name]
		if !ok || n.now > h.at+n.set.Election {
			return
		}
		voters[name] = h.id
	}
	n.say("founds a fleet", "voters", names)
	n.takeUp(Frame{Founding: &Founding{Cluster: n.draw(), Voters: voters}}) // the others are told once it is on the disk
}

// takeUp joins a fleet: as a voter from its beginning, or as one that follows.
func (n *Node) takeUp(f Frame) {
	if n.founded != nil || f.Founding == nil || f.Founding.Cluster == 0 || n.dead {
		return
	}
	n.founded = f.Founding
	if f.Founding.Voters[n.set.Name] != n.id.ID {
		n.save(Record{Founding: n.founded}, nil)
		return
	}
	index, term, empty := uint64(initial), uint64(1), newMembers(n.set.Members)
	conf := &raftpb.ConfState{Voters: slices.Sorted(maps.Values(f.Founding.Voters))}
	s := &raftpb.Snapshot{Data: canon.Encode(saved{Members: empty.Save()}), Metadata: &raftpb.SnapshotMetadata{ConfState: conf, Index: &index, Term: &term}}
	store := Store{Identity: n.id, Founding: n.founded, Snapshot: s, Hard: &raftpb.HardState{Term: &term, Commit: &index}}
	n.save(Record{Founding: n.founded, Snapshot: s, Hard: store.Hard}, func() {
		if err := n.begin(store); err != nil {
			n.dead = true
			n.say("the log can't begin: this gateway votes no more until it is started anew", "error", err)
		}
		for _, name := range slices.Sorted(maps.Keys(n.founded.Voters)) {
			n.send(name, Frame{Kind: Found, Founding: n.founded})
		}
	})
}

// message is one of raft's.
func (n *Node) message(from string, f Frame) {
	var m raftpb.Message
	if n.dead || n.founded == nil || proto.Unmarshal(f.Data, &m) != nil || m.GetTo() != n.id.ID || m.GetFrom() != f.ID {
		return
	}
	if t := m.GetType(); n.raft != nil && n.votes(f.ID) == none && (t == raftpb.MessageType_MsgPreVote || t == raftpb.MessageType_MsgVote) {
		// Either it was replaced while it was away, and goes by this word; or this gateway lags, and its vote counts all the same.
		n.send(from, Frame{Kind: Removed, Voters: n.conf.GetVoters(), Applied: n.applied})
	}
	if n.raft == nil {
		// A follower that the leader has begun to bring up as a voter.
		if t := m.GetType(); t != raftpb.MessageType_MsgApp && t != raftpb.MessageType_MsgSnap && t != raftpb.MessageType_MsgHeartbeat || n.saving != nil {
			return
		}
		n.applied, n.sight = 0, sight{seq: n.sight.seq}
		if n.begin(Store{}) != nil {
			return
		}
	}
	n.mark(&m)
	term := n.raft.BasicStatus().GetTerm()
	if n.raft.Step(&m) != nil {
		return
	}
	switch m.GetType() {
	case raftpb.MessageType_MsgApp, raftpb.MessageType_MsgHeartbeat, raftpb.MessageType_MsgSnap:
		if m.GetTerm() >= term {
			n.postpone()
		}
	case raftpb.MessageType_MsgVote, raftpb.MessageType_MsgTimeoutNow:
		if m.GetTerm() > term {
			n.voteAt = max(n.voteAt, n.now+n.set.Election*(0.5+n.chance.Below()))
		}
	}
}

// propose takes a command of this gateway's own. It waits for a place in the log, however often it has to be sent.
func (n *Node) propose(p Propose) {
	switch {
	case n.yielded || n.gone:
		n.do(Outcome{Token: p.Token, Err: ErrYielded})
		return
	case len(n.open) >= n.set.Pending:
		n.do(Outcome{Token: p.Token, Err: ErrBusy})
		return
	case len(p.Command.Data) > mostCommand:
		n.do(Outcome{Token: p.Token, Err: ErrLarge})
		return
	}
	q := &proposal{token: p.Token, c: p.Command, sent: math.Inf(-1), by: n.now + giveUp}
	if n.inc != 0 {
		n.seq++
		q.c.From, q.c.Seq = n.inc, n.seq
	}
	n.open = append(n.open, q)
}

// retry sends what waits. One that comes before an earlier one was agreed does not count, and is sent again.
func (n *Node) retry() {
	var due []Command
	for _, p := range n.open {
		if n.now >= p.late() {
			// Its number has to be taken by something, as what comes later waits for it.
			n.do(Outcome{Token: p.token, Err: ErrGivenUp})
			p.token, p.c = 0, Command{From: p.c.From, Seq: p.c.Seq, Book: membersBook, Kind: nothing}
		}
	}
	if n.inc == 0 || n.saving != nil && n.leads() {
		return
	}
	if n.early && n.now >= n.inTurn {
		// One was lost on its way. If it waited for its time, whatever is new would come before it again and again, and none count.
		n.early, n.inTurn = false, n.now+n.set.Beat
		for _, p := range n.open {
			p.sent = math.Inf(-1)
		}
	}
	for _, p := range n.open {
		if n.now < p.sent+n.set.Retry {
			continue
		}
		due = append(due, p.c)
		p.sent = n.now
		if len(due) == 64 {
			break
		}
	}
	if len(due) > 0 {
		n.ask(due)
	}
}

// ask brings commands to the leader, straight or by the voter that this gateway follows.
func (n *Node) ask(all []Command) {
	switch {
	case n.leads():
		for _, c := range all {
			if len(c.Data) <= mostCommand { // a peer may have brought it
				n.raft.Propose(canon.Encode(c))
			}
		}
	case n.raft != nil:
		n.send(n.leader, Frame{Kind: Ask, Commands: all})
	default:
		n.send(n.host, Frame{Kind: Ask, Commands: all})
	}
}

// handOn takes commands that another gateway brings: the leader proposes them, another voter passes them on, once.
func (n *Node) handOn(from string, f Frame) {
	if n.leads() {
		n.ask(f.Commands)
	} else if n.raft != nil && f.Follows {
		n.send(n.leader, Frame{Kind: Ask, Commands: f.Commands})
	}
}

// join asks for an incarnation, until the log has given one.
func (n *Node) join() {
	if n.inc != 0 || n.founded == nil || n.gone {
		if n.inc != 0 {
			n.joining = math.Inf(1)
		}
		return
	}
	id := n.id.ID
	if n.dead || n.set.Diskless {
		id = 0
	}
	before := uint64(0)
	if m := n.members.Names[n.set.Name]; m != nil {
		before = m.Incarnation
	}
	n.ask([]Command{{Book: membersBook, Kind: joins, Data: canon.Encode(Member{Name: n.set.Name, Zone: n.set.Zone, Address: n.set.Address,
		Nonce: n.nonce, Identity: id, Incarnation: before, Works: n.set.Works, Starts: n.starts})}})
}

func (n *Node) leave() {
	if n.gone || n.inc == 0 {
		n.gone = true
		return
	}
	// Said first: a leader that hands over takes no more commands.
	n.ask([]Command{{Book: membersBook, Kind: leaves, Data: canon.Encode(Member{Name: n.set.Name, Incarnation: n.inc})}})
	n.handOver()
	n.gone = true
}

// renew says that this gateway is still there: a voter to the leader, with all that it gathered; another to the voter that
// it follows; one that belongs to no fleet says hello to all it knows.
func (n *Node) renew() {
	if n.founded == nil {
		for _, name := range slices.Sorted(maps.Keys(n.set.Peers)) {
			n.send(name, Frame{Kind: Hello, Nonce: n.nonce})
		}
		n.found() // one that founds alone hears nobody's hello
		return
	}
	own := Renewal{Incarnation: n.inc, Name: n.set.Name}
	if n.gone || n.yielded {
		own.Incarnation = 0
	}
	if n.raft == nil {
		n.pickHost()
		n.send(n.host, Frame{Kind: Renew, Nonce: n.nonce, Applied: n.applied, Renewals: []Renewal{own}})
		return
	}
	if own.Incarnation != 0 {
		n.gather[own.Incarnation] = own
	}
	if n.leads() {
		n.look()
	} else if n.leader != "" {
		f := Frame{Kind: Renew, Nonce: n.nonce}
		for _, inc := range slices.Sorted(maps.Keys(n.gather)) {
			f.Renewals = append(f.Renewals, n.gather[inc])
		}
		n.send(n.leader, f)
	}
	clear(n.gather)
}

// pickHost chooses the voter to follow: spread by hash, the next one where the last did not answer.
func (n *Node) pickHost() {
	if n.host != "" && n.now < n.hosted+n.set.Lease/2 {
		return
	}
	voters := n.conf.GetVoters()
	if len(voters) == 0 { // it has followed nothing yet
		voters = slices.Sorted(maps.Values(n.founded.Voters))
	}
	var names []string
	for _, id := range voters {
		if name := n.name(id); name != "" && name != n.set.Name {
			names = append(names, name)
		}
	}
	if slices.Sort(names); len(names) == 0 || n.applied == 0 && n.hosts > 2*len(names) { // those that founded may all be gone
		names = slices.Sorted(maps.Keys(n.set.Peers))
	}
	if len(names) == 0 {
		return
	}
	n.hosts++
	n.host, n.hosted = names[(int(xxhash.Sum64String(n.set.Name)%1024)+n.hosts)%len(names)], n.now
}

// renewal is word of who is there. The leader notes it; another voter gathers it. Who is not a voter is told in turn how the
// log goes on.
func (n *Node) renewal(from string, f Frame) {
	if n.raft == nil {
		return
	}
	for _, r := range f.Renewals {
		if r.Incarnation == 0 {
			continue
		}
		if m := n.members.Names[from]; f.Follows && m != nil && r.Incarnation < m.Incarnation {
			n.send(from, Frame{Kind: Yield, Nonce: f.Nonce})
		}
		if n.leads() {
			n.alive(r)
		} else {
			n.gather[r.Incarnation] = r
		}
	}
	if f.Follows && n.saving == nil {
		n.feed(from, f.Applied)
	}
}

// alive notes at the leader that an incarnation was heard of.
func (n *Node) alive(r Renewal) {
	n.renewed[r.Incarnation] = n.now
	m := n.members.Names[r.Name]
	switch {
	case m == nil:
	case r.Incarnation < m.Incarnation && r.Incarnation > m.Doubled:
		n.sayOnce(doubled, Member{Name: m.Name, Incarnation: r.Incarnation})
	case r.Incarnation == m.Incarnation && m.Standing == Silent:
		n.sayOnce(returns, Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since})
	}
}

// sayOnce proposes what the leader itself has to say of a member, not again before that could be agreed.
func (n *Node) sayOnce(kind string, m Member) {
	key := said{m.Incarnation, kind}
	if at, ok := n.said[key]; ok && n.now < at+n.set.Election {
		return
	}
	n.said[key] = n.now
	n.raft.Propose(canon.Encode(Command{Book: membersBook, Kind: kind, Data: canon.Encode(m)}))
}

// look is the leader's for leases that ran out: the one place that says who is silent.
func (n *Node) look() {
	if n.inc != 0 && !n.gone {
		n.renewed[n.inc] = n.now
	}
	for inc := range n.gather {
		n.renewed[inc] = n.now
	}
	for _, m := range n.members.All() {
		at, ok := n.renewed[m.Incarnation]
		if !ok {
			n.renewed[m.Incarnation], at = n.now, n.now
		}
		if m.Standing == Joined && n.now > at+n.set.Lease {
			n.sayOnce(silent, Member{Name: m.Name, Incarnation: m.Incarnation, Since: m.Since})
		}
	}
	for inc := range n.renewed {
		if n.members.By(inc) == nil {
			delete(n.renewed, inc)
		}
	}
	n.choose()
	for key, at := range n.said {
		if n.now > at+2*n.set.Election {
			delete(n.said, key)
		}
	}
}

// feed gives one that follows the next part of the log, or the state itself where the log no longer reaches back so far.
func (n *Node) feed(to string, after uint64) {
	f := Frame{Kind: Follow, Leader: n.leader, Applied: n.applied, After: after, Voters: n.conf.GetVoters()}
	first, _ := n.log.FirstIndex()
	switch {
	case after > n.applied:
		return // this gateway itself lags, as after a start: its state would take the other back in time. It finds another to follow
	case after+1 < first:
		f.Snapshot = n.state()
	case after < n.applied:
		entries, err := n.log.Entries(after+1, n.applied+1, mostFollow)
		if err != nil {
			return
		}
		for _, e := range entries {
			data := e.Data
			if e.GetType() != raftpb.EntryType_EntryNormal {
				data = nil
			}
			f.Entries = append(f.Entries, data)
		}
	}
	n.send(to, f)
}

// follow takes the next part of the log at one that does not vote.
func (n *Node) follow(from string, f Frame) {
	if n.raft != nil || from != n.host || n.founded == nil || f.After != n.applied {
		return
	}
	n.hosted = n.now
	if len(f.Voters) > 0 {
		n.conf = &raftpb.ConfState{Voters: f.Voters}
	}
	if f.Leader != n.leader {
		n.leader = f.Leader
		n.say("leader", "name", n.leader, "by", from)
	}
	if len(f.Snapshot) > 0 {
		if n.restore(f.Snapshot, f.Applied) != nil {
			n.applied, n.sight = 0, sight{seq: n.sight.seq} // what was taken of it may be half: all is asked for anew
			return
		}
	} else {
		for _, data := range f.Entries {
			n.apply(n.applied+1, data)
		}
	}
	if n.applied < f.Applied {
		n.renewAt = n.now // there is more
	}
}

// quiet keeps raft's own lines out of the log; what matters is said by Say. What raft finds impossible ends the process's part
// in it: the driver takes the panic for a broken store.
type quiet struct{}

func (quiet) Debug(...any)                 {}
func (quiet) Debugf(string, ...any)        {}
func (quiet) Error(...any)                 {}
func (quiet) Errorf(string, ...any)        {}
func (quiet) Info(...any)                  {}
func (quiet) Infof(string, ...any)         {}
func (quiet) Warning(...any)               {}
func (quiet) Warningf(string, ...any)      {}
func (quiet) Fatal(v ...any)               { panic(fmt.Sprint(v...)) }
func (quiet) Fatalf(form string, v ...any) { panic(fmt.Sprintf(form, v...)) }
func (quiet) Panic(v ...any)               { panic(fmt.Sprint(v...)) }
func (quiet) Panicf(form string, v ...any) { panic(fmt.Sprintf(form, v...)) }
