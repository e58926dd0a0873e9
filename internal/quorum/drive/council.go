// Package drive puts sockets, a disk and a clock round the agreement of package quorum.
package drive

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

	"poppymill/internal/canon"
	"poppymill/internal/checked"
	"poppymill/internal/failpoint"
	"poppymill/internal/quorum"
)

// inboxMost bounds what waits for the loop; frames beyond it are lost, as on a network.
const inboxMost = 4096

// Council is one gateway's part in the agreement, running. Its loop is its own: nothing that serves downloads waits for it.
type Council struct {
	node  *quorum.Node
	peers *peers
	store *store // nil: no disk, it only follows
	disk  chan quorum.Record
	inbox chan any
	log   logrus.FieldLogger
	start time.Time
	token uint64
	waits map[uint64]func(quorum.Outcome)
	part  Part     // nil: none
	told  Followed // as the part knows it
	news  bool     // the log went on since
}

type call func()

// Part is what else lives in the council's loop, on what is agreed. All of it is called from that loop and must not wait.
type Part interface {
	Books() map[string]quorum.Book
	// Begin hands it the council, before anything else.
	Begin(c *Council)
	// Handle takes a Followed, an Asked, a Leaving or whatever was handed to Council.Post; nil only lets time pass.
	Handle(now float64, e any)
	Next() float64
	// Tell answers a person's question; what it gives is told as JSON.
	Tell(about, name string) (any, error)
	// Allow tells whether a person may have a command agreed.
	Allow(quorum.Command) error
	// Idle tells whether it may end, after a Leaving.
	Idle() bool
	Close() error
}

// Events of a Part.
type (
	// Followed tells that the log went on, or that this gateway stands otherwise in it. Incarnation 0: it may ask for nothing.
	Followed struct {
		Name        string
		Incarnation uint64
		Leads       bool
		Restored    bool // a whole state came in the place of what was followed
	}
	// Asked is a frame of a peer's that the agreement does not look into; Answer may be called from anywhere.
	Asked struct {
		From   string
		Frame  quorum.Frame
		Answer func(quorum.Frame)
	}
	// Leaving tells that this gateway is about to end.
	Leaving struct{}
)

// handOver bounds how long a gateway that leaves waits until what it had is another's.
const handOver = 700 * time.Millisecond

// Open reads the store, listens, and is ready to Run with so many connections at most. Without a store, or with one that can't be
// used, this gateway follows and never votes; the log says why.
func Open(b Block, name, zone string, conns int, part Part, log logrus.FieldLogger) (*Council, error) {
	var books map[string]quorum.Book
	if part != nil {
		books = part.Books()
	}
	c := &Council{part: part, inbox: make(chan any, inboxMost), disk: make(chan quorum.Record, 1), log: log, start: time.Now(), waits: map[uint64]func(quorum.Outcome){}}
	var seed [16]byte
	rand.Read(seed[:])
	set := b.Settings
	set.Name, set.Zone, set.Seed = name, zone, binary.LittleEndian.Uint64(seed[:])
	var held quorum.Store
	if b.Store != "" {
		if err := os.MkdirAll(b.Store, 0o700); err != nil {
			log.WithError(err).Error("quorum: the store's folder can't be made")
		}
		path := filepath.Join(b.Store, "agreed")
		var err error
		if c.store, held, err = openStore(path); err != nil && checked.Spoilt(err) {
			// What it holds can't be trusted, its identity least of all: it goes aside, and this gateway joins as somebody else.
			aside := fmt.Sprintf("%s.spoilt-%d", path, time.Now().Unix())
			log.WithError(err).WithField("aside", aside).Error("quorum: the store is spoilt: this gateway joins anew as somebody else")
			if err = os.Rename(path, aside); err == nil {
				c.store, held, err = openStore(path)
			}
		}
		if err != nil {
			log.WithError(err).Error("quorum: the store can't be used: this gateway only follows")
		}
	}
	if c.store == nil {
		set.Founders, set.Diskless = nil, true
	}
	l, err := net.Listen("tcp", b.Listen)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("quorum: listen: %w", err), c.shut())
	}
	if set.Address == "" {
		set.Address = l.Addr().String()
	}
	nonce := binary.LittleEndian.Uint64(seed[8:]) | 1
	c.told.Name = name
	if c.node, err = begin(set, held, books, nonce, c.now()); err != nil {
		log.WithError(err).Error("quorum: the store can't be used: this gateway only follows")
		c.shut()
		c.store, set.Founders, set.Diskless = nil, nil, true
		if c.node, err = begin(set, quorum.Store{}, books, nonce, c.now()); err != nil {
			l.Close()
			return nil, fmt.Errorf("quorum: %w", err)
		}
	}
	// A follower renews six times a lease; what is silent for many of them is gone.
	c.peers = newPeers(name, l, conns, time.Duration(5*set.Lease*float64(time.Millisecond)))
	c.peers.address = c.node.Address // asked by the loop alone
	c.peers.lost = func(to string) { c.post(quorum.Lost{To: to}) }
	c.peers.received = func(from string, f quorum.Frame, answer func(quorum.Frame)) {
		switch f.Kind {
		case quorum.Status:
			c.post(call(func() { c.asked(f, answer) }))
		case quorum.Effect, quorum.Effected:
			if part != nil {
				c.Post(Asked{From: from, Frame: f, Answer: answer})
			}
		default:
			c.post(quorum.Received{From: from, Frame: f})
		}
	}
	if part != nil {
		part.Begin(c)
	}
	return c, nil
}

// begin makes a node of a store. What raft finds impossible in it, it tells by a panic.
func begin(set quorum.Settings, held quorum.Store, books map[string]quorum.Book, nonce uint64, now float64) (n *quorum.Node, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("store: %v", p)
		}
	}()
	return quorum.New(set, held, books, nonce, now)
}

// Address is where peers reach this gateway.
func (c *Council) Address() string { return c.peers.listener.Addr().String() }

func (c *Council) now() float64 { return float64(time.Since(c.start)) / float64(time.Millisecond) }

// post hands something to the loop, or lets go of it where too much waits.
func (c *Council) post(e any) {
	select {
	case c.inbox <- e:
	default:
	}
}

// Post hands something to the part, from anywhere. It is lost where too much waits.
func (c *Council) Post(e any) {
	c.post(call(func() { c.part.Handle(c.now(), e) }))
}

// Send brings a frame to a peer; it may be lost. Never is called, from anywhere, where it is known that no byte of it went out. Of
// the loop, as all that a Part does.
func (c *Council) Send(to string, f quorum.Frame, never func()) { c.peers.send(to, f, never) }

// Retire names gateways that are about to go for a while: their votes go to others first. Of the loop.
func (c *Council) Retire(names []string) { c.node.Retire(names) }

// Sight is how many ms ago this gateway last knew all that was agreed by then; under 0: it never did. Of the loop.
func (c *Council) Sight() float64 {
	at, knows := c.node.Sight()
	if !knows {
		return -1
	}
	return c.now() - at
}

// Voters are the names of those that vote, sorted. Of the loop.
func (c *Council) Voters() []string { return c.node.Voters() }

// Run plays this gateway's part until the context ends; then it says goodbye and returns.
func (c *Council) Run(ctx context.Context) error {
	c.peers.serve()
	written := make(chan any, 4) // one is under way at a time, but for one whose part has broken
	diskEnds := make(chan bool)
	go func() {
		defer close(diskEnds)
		for r := range c.disk {
			at := time.Now()
			var err error
			if c.store != nil {
				failpoint.Here(failpoint.Saving)
				err = c.store.put(r)
				failpoint.Here(failpoint.Saved)
			}
			if err != nil {
				written <- quorum.Broken{Err: err}
			} else {
				written <- quorum.Saved{Took: float64(time.Since(at)) / float64(time.Millisecond)}
			}
		}
	}()
	timer := time.NewTimer(0)
	defer timer.Stop()
	var leaving, handing <-chan time.Time
	done := ctx.Done()
	for over := false; !over; {
		next := c.node.Next()
		if c.part != nil {
			next = min(next, c.part.Next())
		}
		timer.Reset(time.Duration(min(3.6e6, max(0, next-c.now())) * float64(time.Millisecond)))
		var e any
		select {
		case e = <-written:
		case e = <-c.inbox:
		case <-timer.C:
		case <-done:
			done, handing = nil, time.After(handOver)
			if c.part != nil {
				c.part.Handle(c.now(), Leaving{})
			}
		case <-handing:
			handing, leaving = nil, time.After(100*time.Millisecond)
			failpoint.Here(failpoint.Leaving)
			e = quorum.Leave{}
		case <-leaving:
			over = true
		}
		if do, ok := e.(call); ok {
			do()
			e = nil
		}
		c.carry(c.handle(e))
		c.tell()
		if handing != nil && (c.part == nil || c.part.Idle()) {
			handing, leaving = nil, time.After(100*time.Millisecond)
			failpoint.Here(failpoint.Leaving)
			c.carry(c.handle(quorum.Leave{}))
		}
	}
	close(c.disk)
	<-diskEnds
	c.peers.close()
	if c.part != nil {
		if err := c.part.Close(); err != nil {
			c.log.WithError(err).Error("jobs: the record of effects was not closed")
		}
	}
	for _, w := range c.waits {
		w(quorum.Outcome{Err: quorum.ErrGivenUp})
	}
	return c.shut()
}

// tell has the part know how things stand now.
func (c *Council) tell() {
	if c.part == nil {
		return
	}
	f := Followed{Name: c.told.Name, Incarnation: c.node.Incarnation(), Leads: c.node.Leads(), Restored: c.told.Restored}
	if !c.news && f == c.told {
		c.part.Handle(c.now(), nil)
		return
	}
	c.news, c.told = false, f
	c.told.Restored = false
	c.part.Handle(c.now(), f)
}

// handle is one event. What raft finds impossible, as a log that others don't have, ends this gateway's part and not its
// downloads.
func (c *Council) handle(e any) (actions []quorum.Action) {
	defer func() {
		if p := recover(); p != nil {
			c.log.WithField("error", p).Error("the agreement is broken here: this gateway votes no more until it is started anew")
			actions = c.node.Handle(c.now(), quorum.Broken{Err: fmt.Errorf("%v", p)})
		}
	}()
	return c.node.Handle(c.now(), e)
}

func (c *Council) carry(actions []quorum.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quorum.Send:
			c.peers.send(a.To, a.Frame, nil)
		case quorum.Save:
			c.disk <- a.Record
		case quorum.Agreed:
			if !c.news {
				failpoint.Here(failpoint.Agreed)
			}
			c.news = true
		case quorum.Restored:
			c.news, c.told.Restored = true, true
		case quorum.Outcome:
			if w := c.waits[a.Token]; w != nil {
				delete(c.waits, a.Token)
				w(a)
			}
		case quorum.Say:
			c.log.WithFields(a.Fields).Info("quorum: " + a.Text)
		}
	}
}

// propose asks for a command to be agreed; done is called once, from the loop, and must not wait. Of the loop.
func (c *Council) propose(command quorum.Command, done func(quorum.Outcome)) {
	c.token++
	c.waits[c.token] = done
	c.carry(c.handle(quorum.Propose{Token: c.token, Command: command}))
}

// Propose is propose from anywhere. A Part's must not be called from within Handle's own outcome.
func (c *Council) Propose(command quorum.Command, done func(quorum.Outcome)) {
	select {
	case c.inbox <- call(func() { c.propose(command, done) }):
	default:
		done(quorum.Outcome{Err: quorum.ErrBusy})
	}
}

// Question is a person's. About: empty, or what the part knows of; Name: of one thing. Command: to be agreed before the answer is
// given. Fresh: the answer holds all that was agreed before it was asked.
type Question struct {
	About   string          `cbor:"1,keyasint,omitempty"`
	Name    string          `cbor:"2,keyasint,omitempty"`
	Fresh   bool            `cbor:"3,keyasint,omitempty"`
	Command *quorum.Command `cbor:"4,keyasint,omitempty"`
}

// Reply is its answer.
type Reply struct {
	Error  string          `json:"error,omitempty"`
	Index  uint64          `json:"index,omitempty"` // of the command
	Report quorum.Report   `json:"report"`          // how this gateway stands, with its view's age
	Body   json.RawMessage `json:"body,omitempty"`  // what the part tells
}

// asked answers a person's question.
func (c *Council) asked(f quorum.Frame, answer func(quorum.Frame)) {
	var q Question
	if len(f.Data) > 0 {
		if err := canon.Decode(f.Data, &q); err != nil {
			c.reply(Question{}, 0, err, answer)
			return
		}
	}
	switch command := q.Command; {
	case command != nil && c.part == nil:
		c.reply(q, 0, errors.New("this gateway agrees on nothing of that kind"), answer)
		return
	case command != nil:
		if err := c.part.Allow(*command); err != nil {
			c.reply(q, 0, err, answer)
			return
		}
	case q.Fresh:
		// A place in the log of its own, behind all that was agreed when it was asked.
		q.Command = &quorum.Command{Book: "members", Kind: "nothing"}
	}
	if q.Command == nil {
		c.reply(q, 0, nil, answer)
		return
	}
	fresh := q.Command.Book == "members"
	c.propose(*q.Command, func(o quorum.Outcome) {
		if fresh && o.Index > 0 {
			o.Err = nil // nothing is what it is for
		}
		c.reply(q, o.Index, o.Err, answer)
	})
}

func (c *Council) reply(q Question, index uint64, err error, answer func(quorum.Frame)) {
	r := Reply{Index: index, Report: c.node.Report(c.now())}
	r.Report.Frames = c.peers.sent.Load()
	if err == nil && q.About != "" {
		var body any
		if err = errors.New("this gateway knows of nothing of that kind"); c.part != nil {
			body, err = c.part.Tell(q.About, q.Name)
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
		panic(err) // our own type
	}
	answer(quorum.Frame{Kind: quorum.Status, Data: b})
}

func (c *Council) shut() error {
	if c.store == nil {
		return nil
	}
	return c.store.close()
}

// Ask asks a gateway at its peer address how things stand.
func Ask(ctx context.Context, address string) (quorum.Report, error) {
	r, err := Put(ctx, address, Question{})
	return r.Report, err
}

// Put puts a question to a gateway at its peer address. What it could not do is the error of its Reply.
func Put(ctx context.Context, address string, q Question) (r Reply, err error) {
	nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return r, err
	}
	defer nc.Close()
	if by, ok := ctx.Deadline(); ok {
		nc.SetDeadline(by)
	}
	name := fmt.Sprintf("?%d", os.Getpid())
	b := quorum.Frame{Kind: quorum.Hello, Data: []byte(name)}.Append(nil)
	if _, err := nc.Write(quorum.Frame{Kind: quorum.Status, Data: canon.Encode(q)}.Append(b)); err != nil {
		return r, err
	}
	var f quorum.Frame
	var joiner quorum.Joiner
	for whole := false; err == nil && !whole; {
		if f, err = read(nc); err == nil {
			f, whole, err = joiner.Join(f)
		}
	}
	if err == nil && f.Kind != quorum.Status {
		err = fmt.Errorf("%s: answered with something else", address)
	}
	if err == nil {
		err = json.Unmarshal(f.Data, &r)
	}
	return r, err
}
