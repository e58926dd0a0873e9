// Package driver runs a node of the replicated log of package quorum: it provides the connections to peers, the store on
// disk and the clock, and an event loop that hosts the subsystems built on the log.
package driver

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"github.com/sirupsen/logrus"

	"poppymill/internal/boltstore"
	"poppymill/internal/codec"
	"poppymill/internal/failpoint"
	"poppymill/internal/quorum"
)

// inboxCapacity limits the events queued for the loop. Further ones are dropped, as frames may be on a network.
const inboxCapacity = 4096

// Replica runs one gateway's node of the replicated log. It has an event loop of its own, which nothing that serves
// downloads waits for.
type Replica struct {
	node      *quorum.Node
	peers     *peers
	store     *store             // nil: this gateway only follows
	writes    chan quorum.Record // to the goroutine that writes to the store
	inbox     chan any
	log       logrus.FieldLogger
	start     time.Time
	lastToken uint64
	pending   map[uint64]func(quorum.Outcome) // callbacks of the proposed commands, by token
	subsystem Subsystem                       // nil: none
	notified  LogAdvanced                     // the last state passed to the subsystem; Restored: not passed on yet
	advanced  bool                            // whether the log advanced since
}

// call is a function in the inbox, to be called by the loop.
type call func()

// Subsystem is a subsystem that runs in the replica's loop on top of the replicated log. Its methods are called from that
// loop and must not block.
type Subsystem interface {
	// StateMachines returns its state machines by name.
	StateMachines() map[string]quorum.StateMachine
	// Start passes it the replica, before any event.
	Start(c *Replica)
	// Handle processes a LogAdvanced, a PeerRequest, a ShuttingDown or an event passed to Replica.Post; nil only
	// advances the time.
	Handle(now float64, e any)
	// NextDeadline returns when Handle has to be called again at the latest, in ms.
	NextDeadline() float64
	// Query answers an operator's query. The answer is sent as JSON.
	Query(about, name string) (any, error)
	// CheckCommand returns an error if an operator may not propose a command.
	CheckCommand(quorum.Command) error
	// Idle reports whether the process may end, after a ShuttingDown.
	Idle() bool
	// Close releases its resources when the loop ends.
	Close() error
}

// Events of a Subsystem.
type (
	// LogAdvanced reports that the log advanced, or that this gateway's own state in it changed. With incarnation 0 the
	// gateway must not propose commands.
	LogAdvanced struct {
		Name        string
		Incarnation uint64
		Leads       bool
		Restored    bool // a snapshot replaced the whole state
	}
	// PeerRequest is a peer's request that is not part of the replication itself. Answer may be called from any goroutine.
	PeerRequest struct {
		From   string
		Frame  quorum.Frame
		Answer func(quorum.Frame)
	}
	// ShuttingDown announces that this process is about to end.
	ShuttingDown struct{}
)

const (
	// handOverTimeout limits how long a process that leaves waits until other gateways have taken over its work.
	handOverTimeout = 700 * time.Millisecond
	// leaveFlushTime is the time between the announcement that this process leaves and its end, so that the frames are sent.
	leaveFlushTime = 100 * time.Millisecond
)

// Open reads the store and listens for peers, with maxConns connections at most; Run then starts the loop. Without a
// store, or with an unusable one, this gateway follows and never votes. An unusable store is logged with its error.
func Open(b Block, name, zone string, maxConns int, subsystem Subsystem, log logrus.FieldLogger) (*Replica, error) {
	var stateMachines map[string]quorum.StateMachine
	if subsystem != nil {
		stateMachines = subsystem.StateMachines()
	}
	c := &Replica{subsystem: subsystem, inbox: make(chan any, inboxCapacity), writes: make(chan quorum.Record, 1), log: log, start: time.Now(), pending: map[uint64]func(quorum.Outcome){}}
	var seed [16]byte
	rand.Read(seed[:])
	settings := b.Settings
	settings.Name, settings.Zone, settings.Seed = name, zone, binary.LittleEndian.Uint64(seed[:])
	var stored quorum.Store
	if b.Store != "" {
		if err := os.MkdirAll(b.Store, 0o700); err != nil {
			log.WithError(err).Error("quorum: the store's directory can't be created")
		}
		path := filepath.Join(b.Store, "agreed")
		var err error
		if c.store, stored, err = openStore(path); err != nil && boltstore.IsCorrupt(err) {
			// Nothing in a corrupt store can be trusted, least of all its identity: it is moved aside, and this gateway
			// joins under a new identity.
			aside := fmt.Sprintf("%s.spoilt-%d", path, time.Now().Unix())
			log.WithError(err).WithField("aside", aside).Error("quorum: the store is corrupt: this gateway joins under a new identity")
			if err = os.Rename(path, aside); err == nil {
				c.store, stored, err = openStore(path)
			}
		}
		if err != nil {
			log.WithError(err).Error("quorum: the store can't be used: this gateway only follows")
		}
	}
	if c.store == nil {
		settings.Founders, settings.Diskless = nil, true
	}
	l, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("quorum: listen: %w", err), c.closeStore())
	}
	if settings.Address == "" {
		settings.Address = l.Addr().String()
	}
	nonce := binary.LittleEndian.Uint64(seed[8:]) | 1
	c.notified.Name = name
	if c.node, err = newNode(settings, stored, stateMachines, nonce, c.now()); err != nil {
		log.WithError(err).Error("quorum: the store can't be used: this gateway only follows")
		c.closeStore()
		c.store, settings.Founders, settings.Diskless = nil, nil, true
		if c.node, err = newNode(settings, quorum.Store{}, stateMachines, nonce, c.now()); err != nil {
			l.Close()
			return nil, fmt.Errorf("quorum: %w", err)
		}
	}
	// A follower renews its lease six times in each lease period, so a connection that is silent for five periods is dead.
	c.peers = newPeers(name, l, maxConns, time.Duration(5*settings.Lease*float64(time.Millisecond)))
	c.peers.address = c.node.Address // called by the loop only
	c.peers.onLost = func(to string) { c.post(quorum.SendFailed{To: to}) }
	c.peers.onMismatch = func(meant, answered string) {
		log.WithFields(logrus.Fields{"name": meant, "answered": answered}).Warn("quorum: another gateway answers at the address of a peer; nothing is sent to it")
	}
	c.peers.onFrame = func(from string, f quorum.Frame, answer func(quorum.Frame)) {
		switch f.Kind {
		case quorum.KindStatus:
			c.post(call(func() { c.answerQuestion(f, answer) }))
		case quorum.KindEffect, quorum.KindEffectResult:
			if subsystem != nil {
				c.Post(PeerRequest{From: from, Frame: f, Answer: answer})
			}
		default:
			c.post(quorum.Received{From: from, Frame: f})
		}
	}
	if subsystem != nil {
		subsystem.Start(c)
	}
	return c, nil
}

// newNode creates a node with the state of a store. It returns an error when raft panics, as it does on a state that
// contradicts itself.
func newNode(settings quorum.Settings, stored quorum.Store, stateMachines map[string]quorum.StateMachine, nonce uint64, now float64) (n *quorum.Node, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("store: %v", p)
		}
	}()
	return quorum.New(settings, stored, stateMachines, nonce, now)
}

// Address returns the address on which this gateway listens for peers.
func (c *Replica) Address() string { return c.peers.listener.Addr().String() }

// now returns the ms since the start.
func (c *Replica) now() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// post queues an event for the loop. It drops the event when the inbox is full.
func (c *Replica) post(e any) {
	select {
	case c.inbox <- e:
	default:
	}
}

// Post queues an event for the subsystem. It may be called from any goroutine, and drops the event when the inbox is full.
func (c *Replica) Post(e any) {
	c.post(call(func() { c.subsystem.Handle(c.now(), e) }))
}

// Send sends a frame to a peer; the frame may be lost. When it is certain that no byte of it was sent, notSent is
// called, from any goroutine; it may be nil. Send must be called from the loop, like all that a Subsystem calls unless it
// says otherwise.
func (c *Replica) Send(to string, f quorum.Frame, notSent func()) { c.peers.send(to, f, notSent) }

// Retire names the gateways that are about to go down for a while. Their votes are moved to other gateways first. It
// must be called from the loop.
func (c *Replica) Retire(names []string) { c.node.Retire(names) }

// ViewAge returns the age of this gateway's view in ms: it has seen all commands that were committed by then. The result
// is negative while the age is not known. It must be called from the loop.
func (c *Replica) ViewAge() float64 {
	at, known := c.node.FreshAsOf()
	if !known {
		return -1
	}
	return c.now() - at
}

// Voters returns the names of the voters, sorted; nil while they are not known or change (see quorum.Node.Voters). It
// must be called from the loop.
func (c *Replica) Voters() []string { return c.node.Voters() }

// Run runs the loop until the context ends. Then it lets other gateways take over this one's work, announces that it
// leaves, and returns.
func (c *Replica) Run(ctx context.Context) error {
	c.peers.serve()
	written := make(chan any, 4) // one write is in progress at a time, unless the node broke during one
	writerDone := make(chan bool)
	go func() {
		defer close(writerDone)
		for record := range c.writes {
			started := time.Now()
			var err error
			if c.store != nil {
				failpoint.Here(failpoint.Saving)
				err = c.store.put(record)
				failpoint.Here(failpoint.Saved)
			}
			if err != nil {
				written <- quorum.DiskFailed{Err: err}
			} else {
				written <- quorum.Saved{Took: float64(time.Since(started)) / float64(time.Millisecond)}
			}
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leaveFlushed, handOverExpired <-chan time.Time
	done := ctx.Done()
	for over := false; !over; {
		next := c.node.Next()
		if c.subsystem != nil {
			next = min(next, c.subsystem.NextDeadline())
		}
		timer.Reset(time.Duration(min(3.6e6, max(0, next-c.now())) * float64(time.Millisecond)))
		var e any
		select {
		case e = <-written:
		case e = <-c.inbox:
		case <-timer.C:
		case <-done:
			done, handOverExpired = nil, time.After(handOverTimeout)
			if c.subsystem != nil {
				c.subsystem.Handle(c.now(), ShuttingDown{})
			}
		case <-handOverExpired:
			handOverExpired, leaveFlushed = nil, time.After(leaveFlushTime)
			failpoint.Here(failpoint.Leaving)
			e = quorum.Leave{}
		case <-leaveFlushed:
			over = true
		}
		if do, ok := e.(call); ok {
			do()
			e = nil
		}
		c.perform(c.handle(e))
		c.notifySubsystem()
		if handOverExpired != nil && (c.subsystem == nil || c.subsystem.Idle()) {
			handOverExpired, leaveFlushed = nil, time.After(leaveFlushTime)
			failpoint.Here(failpoint.Leaving)
			c.perform(c.handle(quorum.Leave{}))
		}
	}
	close(c.writes)
	<-writerDone
	c.peers.close()
	if c.subsystem != nil {
		if err := c.subsystem.Close(); err != nil {
			c.log.WithError(err).Error("jobs: the record of effects can't be closed")
		}
	}
	for _, callback := range c.pending {
		callback(quorum.Outcome{Err: quorum.ErrGivenUp})
	}
	return c.closeStore()
}

// notifySubsystem passes the subsystem the current state of the log, or only the time when nothing changed.
func (c *Replica) notifySubsystem() {
	if c.subsystem == nil {
		return
	}
	f := LogAdvanced{Name: c.notified.Name, Incarnation: c.node.Incarnation(), Leads: c.node.IsLeader(), Restored: c.notified.Restored}
	if !c.advanced && f == c.notified {
		c.subsystem.Handle(c.now(), nil)
		return
	}
	c.advanced, c.notified = false, f
	c.notified.Restored = false
	c.subsystem.Handle(c.now(), f)
}

// handle passes an event to the node. When raft panics, as it does when its log contradicts that of other voters, the
// node stops voting while the gateway goes on serving downloads.
func (c *Replica) handle(e any) (actions []quorum.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("error", p).Error("quorum: raft panicked: this gateway does not vote until it is restarted")
			actions = c.node.Handle(c.now(), quorum.DiskFailed{Err: fmt.Errorf("%v", p)})
		}
	}()
	return c.node.Handle(c.now(), e)
}

// perform carries out the node's actions in order.
func (c *Replica) perform(actions []quorum.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quorum.Send:
			c.peers.send(a.To, a.Frame, nil)
		case quorum.Save:
			c.writes <- a.Record
		case quorum.Committed:
			if !c.advanced {
				failpoint.Here(failpoint.Committed)
			}
			c.advanced = true
		case quorum.Restored:
			c.advanced, c.notified.Restored = true, true
		case quorum.Outcome:
			if done := c.pending[a.Token]; done != nil {
				delete(c.pending, a.Token)
				done(a)
			}
		case quorum.Log:
			c.log.WithFields(a.Fields).Info("quorum: " + a.Text)
		}
	}
}

// propose proposes a command. Its outcome is passed to done, which is called once, from the loop, and must not block.
// It must be called from the loop.
func (c *Replica) propose(command quorum.Command, done func(quorum.Outcome)) {
	c.lastToken++
	c.pending[c.lastToken] = done
	c.perform(c.handle(quorum.Propose{Token: c.lastToken, Command: command}))
}

// Propose proposes a command; it may be called from any goroutine. Its outcome is passed to done, which must not block.
// It is called once, from the loop, unless the loop ends before it takes the command from the inbox. When the inbox is
// full, done is called with ErrBusy before Propose returns, so a Subsystem that proposes in Handle must be prepared for that.
func (c *Replica) Propose(command quorum.Command, done func(quorum.Outcome)) {
	select {
	case c.inbox <- call(func() { c.propose(command, done) }):
	default:
		done(quorum.Outcome{Err: quorum.ErrBusy})
	}
}

// Query is an operator's query. Subject selects what a Subsystem reports; empty: only the state of the log. Name selects one
// item of that. Command is committed before the answer is given. Fresh: the answer reflects all commands that were
// committed before the query.
type Query struct {
	Subject string          `cbor:"1,keyasint,omitempty"`
	Name    string          `cbor:"2,keyasint,omitempty"`
	Fresh   bool            `cbor:"3,keyasint,omitempty"`
	Command *quorum.Command `cbor:"4,keyasint,omitempty"`
}

// Reply is the answer to a Query.
type Reply struct {
	Error  string          `json:"error,omitempty"`
	Index  uint64          `json:"index,omitempty"` // of the committed command
	Report quorum.Report   `json:"report"`          // state of the log at this gateway, and the age of its view
	Body   json.RawMessage `json:"body,omitempty"`  // answer of the part
}

// answerQuestion answers an operator's query, after its command is committed, if it has one.
func (c *Replica) answerQuestion(f quorum.Frame, answer func(quorum.Frame)) {
	var q Query
	if len(f.Data) > 0 {
		if err := codec.Decode(f.Data, &q); err != nil {
			c.reply(Query{}, 0, err, answer)
			return
		}
	}
	switch command := q.Command; {
	case command != nil && c.subsystem == nil:
		c.reply(q, 0, errors.New("this gateway agrees on nothing of that kind"), answer)
		return
	case command != nil:
		if err := c.subsystem.CheckCommand(*command); err != nil {
			c.reply(q, 0, err, answer)
			return
		}
	case q.Fresh:
		// An empty command: its index is after all commands that were committed when the query came.
		q.Command = &quorum.Command{StateMachine: "members", Kind: "nothing"}
	}
	if q.Command == nil {
		c.reply(q, 0, nil, answer)
		return
	}
	fresh := q.Command.StateMachine == "members"
	c.propose(*q.Command, func(o quorum.Outcome) {
		if fresh && o.Index > 0 {
			o.Err = nil // the empty command is refused as unknown, which is expected
		}
		c.reply(q, o.Index, o.Err, answer)
	})
}

// reply sends the answer to an operator's query.
func (c *Replica) reply(q Query, index uint64, err error, answer func(quorum.Frame)) {
	r := Reply{Index: index, Report: c.node.Report(c.now())}
	r.Report.Frames = c.peers.framesSent.Load()
	if err == nil && q.Subject != "" {
		var body any
		if err = errors.New("this gateway knows of nothing of that kind"); c.subsystem != nil {
			body, err = c.subsystem.Query(q.Subject, q.Name)
		}
		if err == nil {
			r.Body, err = json.Marshal(body)
		}
	}
	if err != nil {
		r.Error = err.Error()
	}
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // can't happen: Reply is a type of this package
	}
	answer(quorum.Frame{Kind: quorum.KindStatus, Data: b})
}

// closeStore closes the store, if there is one.
func (c *Replica) closeStore() error {
	if c.store == nil {
		return nil
	}
	return c.store.close()
}

// QueryReport returns the state of the log as seen by the gateway at a peer address.
func QueryReport(ctx context.Context, address string) (quorum.Report, error) {
	r, err := SendQuery(ctx, address, Query{})
	return r.Report, err
}

// SendQuery sends a query to the gateway at a peer address. An error of the gateway itself is the Error of its Reply.
func SendQuery(ctx context.Context, address string, q Query) (r Reply, err error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return r, err
	}
	defer conn.Close()
	if deadline, ok := ctx.Deadline(); ok {
		conn.SetDeadline(deadline)
	}
	name := fmt.Sprintf("?%d", os.Getpid())
	hello := quorum.Frame{Kind: quorum.KindHello, Data: []byte(name)}.Append(nil)
	if _, err := conn.Write(quorum.Frame{Kind: quorum.KindStatus, Data: codec.Encode(q)}.Append(hello)); err != nil {
		return r, err
	}
	var f quorum.Frame
	var joiner quorum.Reassembler
	for whole := false; err == nil && !whole; {
		if f, err = readFrame(conn); err == nil {
			f, whole, err = joiner.Add(f)
		}
	}
	if err == nil && f.Kind != quorum.KindStatus {
		err = fmt.Errorf("%s: unexpected kind of frame in the answer", address)
	}
	if err == nil {
		err = json.Unmarshal(f.Data, &r)
	}
	return r, err
}
