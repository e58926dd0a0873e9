// Package effectlog keeps the durable record of effects at a gateway that executes them. Checking the fencing token
// and writing the effect are one transaction on disk (go.etcd.io/bbolt), so nothing gets between them, whether the
// process is frozen there or killed. A token that was refused is still refused after a restart.
package effectlog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	bolt "go.etcd.io/bbolt"

	"poppymill/internal/boltstore"
	"poppymill/internal/codec"
	"poppymill/internal/failpoint"
	"poppymill/internal/owner"
)

// Effect is one step of a job on its way to its executing gateway.
type Effect struct {
	Job         string     `cbor:"1,keyasint" json:"job"`
	Kind        string     `cbor:"2,keyasint" json:"kind"`
	Token       uint64     `cbor:"3,keyasint" json:"token"`
	Step        int        `cbor:"4,keyasint" json:"step"`
	Type        owner.Type `cbor:"5,keyasint" json:"type"`
	Data        []byte     `cbor:"6,keyasint,omitempty" json:"data,omitempty"`
	From        string     `cbor:"7,keyasint" json:"from"` // sender
	Incarnation uint64     `cbor:"8,keyasint" json:"incarnation"`
}

// Result is the outcome of an effect.
type Result struct {
	Job   string        `cbor:"1,keyasint"`
	Token uint64        `cbor:"2,keyasint"`
	Step  int           `cbor:"3,keyasint"`
	End   owner.Outcome `cbor:"4,keyasint"`
	Newer uint64        `cbor:"5,keyasint,omitempty"` // if refused: the newer token seen here
	Why   string        `cbor:"6,keyasint,omitempty"`
}

// Entry is an effect that happened or was refused here, numbered in the order of this record.
type Entry struct {
	Number     uint64 `cbor:"1,keyasint" json:"number"`
	Effect     Effect `cbor:"2,keyasint" json:"effect"`
	NewerToken uint64 `cbor:"3,keyasint,omitempty" json:"refused,omitempty"` // the newer token; 0: it happened
	Repeated   bool   `cbor:"4,keyasint,omitempty" json:"again,omitempty"`   // it had happened before and was not repeated
	FromLog    bool   `cbor:"5,keyasint,omitempty" json:"told,omitempty"`    // not an effect: a token learned from the log
}

// Limits of a Log.
const (
	maxQueued  = 512  // effects waiting for the disk
	maxJobs    = 1024 // jobs whose tokens are remembered individually
	maxEntries = 8192 // kept for operators; owner.TokenChecker bounds the steps remembered on its own
	version    = 1
)

var (
	metaBucket    = []byte("meta")
	tokensBucket  = []byte("tokens")
	entriesBucket = []byte("entries")
	versionKey    = []byte("version")
	floorKey      = []byte("floor")
)

// Log is the record of one gateway. A goroutine of its own writes to the disk, so callers never wait for it.
type Log struct {
	db        *bolt.DB // nil: no disk, only safe effects happen here
	log       logrus.FieldLogger
	writeHook func(string) // called at each stage of a write
	queue     chan func()
	stopped   chan bool

	checker    *owner.TokenChecker
	failure    error
	lastNumber uint64

	mu      sync.Mutex // guards entries only, which operators query
	entries []Entry
}

// Open reads or creates the record in a folder. Without a folder only safe effects happen here, and nothing is
// kept.
func Open(folder string, log logrus.FieldLogger) (*Log, error) {
	p := &Log{log: log, writeHook: func(string) {}, queue: make(chan func(), maxQueued), stopped: make(chan bool), checker: owner.NewTokenChecker(maxJobs)}
	if folder == "" {
		return p, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("record of effects: %w", err)
	}
	path := filepath.Join(folder, "effects")
	db, err := p.open(path)
	if boltstore.IsCorrupt(err) {
		// The tokens in the record are lost. The log makes up for them, as nothing happens here before this gateway
		// has applied it up to its own start. Which keyed steps ran here is lost for good.
		aside := fmt.Sprintf("%s.spoilt-%d", path, time.Now().Unix())
		log.WithError(err).WithField("aside", aside).Error("jobs: the record of effects is corrupt; moving it aside and starting a new one")
		if err = os.Rename(path, aside); err == nil {
			p.checker, p.lastNumber, p.entries = owner.NewTokenChecker(maxJobs), 0, nil
			db, err = p.open(path)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p.db = db
	return p, nil
}

func (p *Log) open(path string) (db *bolt.DB, err error) {
	defer boltstore.RecoverCorruption(&err)()
	if db, err = boltstore.Open(path); err != nil {
		return nil, err
	}
	if err = p.read(db); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

func (p *Log) read(db *bolt.DB) error {
	if err := db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err == nil {
			err = boltstore.CheckVersion(meta, versionKey, version)
		}
		for _, name := range [][]byte{tokensBucket, entriesBucket} {
			if _, more := tx.CreateBucketIfNotExists(name); err == nil {
				err = more
			}
		}
		return err
	}); err != nil {
		return err
	}
	return db.View(func(tx *bolt.Tx) error {
		meta := tx.Bucket(metaBucket)
		floor, err := boltstore.Uint64(meta, floorKey)
		if err != nil {
			return fmt.Errorf("%w: token floor: %v", boltstore.ErrCorrupt, err)
		}
		tokens := map[string]uint64{}
		if err := tx.Bucket(tokensBucket).ForEach(func(k, _ []byte) (err error) {
			if tokens[string(k)], err = boltstore.Uint64(tx.Bucket(tokensBucket), k); err != nil {
				err = fmt.Errorf("%w: token of job %q: %v", boltstore.ErrCorrupt, k, err)
			}
			return err
		}); err != nil {
			return err
		}
		p.checker.Restore(floor, tokens)
		return tx.Bucket(entriesBucket).ForEach(func(k, _ []byte) error {
			var e Entry
			v, err := boltstore.Get(tx.Bucket(entriesBucket), k)
			if err == nil {
				err = codec.Decode(v, &e)
			}
			if err != nil || binary.BigEndian.Uint64(k) != e.Number || p.lastNumber != 0 && e.Number != p.lastNumber+1 {
				return fmt.Errorf("%w: entry %x", boltstore.ErrCorrupt, k)
			}
			p.lastNumber = e.Number
			p.entries = append(p.entries, e)
			if e.NewerToken == 0 && !e.FromLog && e.Effect.Type != owner.Safe {
				p.checker.RestoreStep(e.Effect.Job, e.Effect.Step)
			}
			return nil
		})
	})
}

// Run executes queued effects until Close.
func (p *Log) Run() {
	defer close(p.stopped)
	for task := range p.queue {
		task()
	}
}

// Close executes all queued effects, then stops.
func (p *Log) Close() error {
	close(p.queue)
	<-p.stopped
	if p.db == nil {
		return nil
	}
	return p.db.Close()
}

// Do executes or refuses an effect. done is called from the Log's goroutine, or immediately if the queue is
// full. Do must not be called after Close.
func (p *Log) Do(e Effect, done func(Result)) {
	select {
	case p.queue <- func() { done(p.execute(e)) }:
	default:
		done(Result{Job: e.Job, Token: e.Token, Step: e.Step, End: owner.NotRun, Why: "too much waits there"})
	}
}

// Raise has tokens older than the given one refused from now on.
func (p *Log) Raise(job string, token uint64) {
	select {
	case p.queue <- func() {
		if p.failure == nil && p.checker.Raise(job, token) {
			p.write(&Entry{Effect: Effect{Job: job, Token: token}, FromLog: true})
		}
	}:
	default: // the next effect, or the next grant in the log, raises it
	}
}

func (p *Log) execute(e Effect) Result {
	r := Result{Job: e.Job, Token: e.Token, Step: e.Step}
	switch {
	case p.failure != nil:
		r.End, r.Why = owner.NotRun, p.failure.Error()
		return r
	case p.db == nil && e.Type != owner.Safe:
		r.End, r.Why = owner.NotRun, "this gateway has no disk, and keeps no record of what ran"
		return r
	}
	_, again, err := p.checker.Check(e.Job, e.Token, e.Step, e.Type)
	entry := &Entry{Effect: e, Repeated: again}
	entry.Effect.Data = nil // the log has it
	var stale owner.StaleTokenError
	if errors.As(err, &stale) {
		entry.NewerToken = stale.Newer
		r.End, r.Newer, r.Why = owner.Refused, stale.Newer, stale.Error()
		p.log.WithFields(logrus.Fields{"job": e.Job, "step": e.Step, "token": e.Token, "newer": stale.Newer, "from": e.From}).
			Warn("jobs: refused an effect with a stale token")
	}
	if err := p.write(entry); err != nil && r.End != owner.Refused {
		r.End, r.Why = owner.Uncertain, err.Error()
	}
	return r
}

// write stores an entry and the tokens in one transaction; the entry is the effect.
func (p *Log) write(e *Entry) error {
	p.lastNumber++
	e.Number = p.lastNumber
	p.mu.Lock()
	if p.entries = append(p.entries, *e); len(p.entries) > maxEntries {
		p.entries = append([]Entry(nil), p.entries[len(p.entries)-maxEntries/2:]...)
	}
	p.mu.Unlock()
	if p.db == nil {
		return nil
	}
	p.writeHook("before")
	failpoint.Here(failpoint.TokenChecked)
	err := p.db.Update(func(tx *bolt.Tx) error {
		floor, tokens := p.checker.Snapshot()
		if err := boltstore.Put(tx.Bucket(metaBucket), floorKey, boltstore.EncodeKey(floor)); err != nil {
			return err
		}
		b := tx.Bucket(tokensBucket)
		c := b.Cursor()
		for k, _ := c.First(); k != nil; k, _ = c.Next() {
			if _, there := tokens[string(k)]; !there {
				if err := c.Delete(); err != nil {
					return err
				}
			}
		}
		for job, token := range tokens {
			if old, err := boltstore.Uint64(b, []byte(job)); err == nil && old == token {
				continue
			}
			if err := boltstore.Put(b, []byte(job), boltstore.EncodeKey(token)); err != nil {
				return err
			}
		}
		entries := tx.Bucket(entriesBucket)
		if err := boltstore.Put(entries, boltstore.EncodeKey(e.Number), codec.Encode(e)); err != nil {
			return err
		}
		if e.Number > maxEntries {
			if err := entries.Delete(boltstore.EncodeKey(e.Number - maxEntries)); err != nil {
				return err
			}
		}
		p.writeHook("written")
		failpoint.Here(failpoint.Written)
		return nil
	})
	if err != nil {
		// The content of the disk is unknown from here on, so nothing happens here until a restart has read it again.
		p.failure = fmt.Errorf("record of effects: %w", err)
		p.log.WithError(p.failure).Error("jobs: writing the record of effects failed; no effects are executed here until this gateway restarts")
		return p.failure
	}
	p.writeHook("synced")
	failpoint.Here(failpoint.Synced)
	return nil
}

// Entries returns the latest effects that happened or were refused here, in order.
func (p *Log) Entries() []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Entry(nil), p.entries...)
}
