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
}

type call func()

// Open reads the store, listens, and is ready to Run with so many connections at most. Without a store, or with one that can't be
// used, this gateway follows and never votes; the log says why.
func Open(b Block, name, zone string, conns int, books map[string]quorum.Book, log logrus.FieldLogger) (*Council, error) {
	c := &Council{inbox: make(chan any, inboxMost), disk: make(chan quorum.Record, 1), log: log, start: time.Now(), waits: map[uint64]func(quorum.Outcome){}}
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
		if c.store, held, err = openStore(path); err != nil && spoilt(err) {
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
		if f.Kind == quorum.Status {
			c.post(call(func() { answer(quorum.Frame{Kind: quorum.Status, Data: c.report()}) }))
			return
		}
		c.post(quorum.Received{From: from, Frame: f})
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
				err = c.store.put(r)
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
	var leaving <-chan time.Time
	done := ctx.Done()
	for over := false; !over; {
		timer.Reset(time.Duration(max(0, c.node.Next()-c.now()) * float64(time.Millisecond)))
		var e any
		select {
		case e = <-written:
		case e = <-c.inbox:
		case <-timer.C:
		case <-done:
			done, leaving = nil, time.After(100*time.Millisecond)
			e = quorum.Leave{}
		case <-leaving:
			over = true
		}
		if do, ok := e.(call); ok {
			do()
			e = nil
		}
		c.carry(c.handle(e))
	}
	close(c.disk)
	<-diskEnds
	c.peers.close()
	for _, w := range c.waits {
		w(quorum.Outcome{Err: quorum.ErrGivenUp})
	}
	return c.shut()
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
			c.peers.send(a.To, a.Frame)
		case quorum.Save:
			c.disk <- a.Record
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

// Propose asks for a command to be agreed; done is called once, from the loop, and must not wait.
func (c *Council) Propose(command quorum.Command, done func(quorum.Outcome)) {
	do := call(func() {
		c.token++
		c.waits[c.token] = done
		c.carry(c.handle(quorum.Propose{Token: c.token, Command: command}))
	})
	select {
	case c.inbox <- do:
	default:
		done(quorum.Outcome{Err: quorum.ErrBusy})
	}
}

func (c *Council) report() []byte {
	b, err := json.Marshal(c.node.Report(c.now()))
	if err != nil {
		panic(err) // our own type
	}
	return b
}

func (c *Council) shut() error {
	if c.store == nil {
		return nil
	}
	return c.store.close()
}

// Ask asks a gateway at its peer address how things stand.
func Ask(ctx context.Context, address string) (r quorum.Report, err error) {
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
	if _, err := nc.Write(quorum.Frame{Kind: quorum.Status}.Append(b)); err != nil {
		return r, err
	}
	f, err := read(nc)
	if err == nil && f.Kind != quorum.Status {
		err = fmt.Errorf("%s: answered with something else", address)
	}
	if err == nil {
		err = json.Unmarshal(f.Data, &r)
	}
	return r, err
}
