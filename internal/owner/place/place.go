// Package place is a place at which effects of owned work happen: a gateway's own record. The check of an effect's token and the
// effect itself are one write to its disk (go.etcd.io/bbolt), whole or not at all, so that nothing gets between them: neither a
// process frozen there nor one that is killed. What it has refused it refuses after a restart.
package place

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

	"poppymill/internal/canon"
	"poppymill/internal/checked"
	"poppymill/internal/failpoint"
	"poppymill/internal/owner"
)

// Effect is one step of a job, on its way to its place.
type Effect struct {
	Job         string     `cbor:"1,keyasint" json:"job"`
	Kind        string     `cbor:"2,keyasint" json:"kind"`
	Token       uint64     `cbor:"3,keyasint" json:"token"`
	Step        int        `cbor:"4,keyasint" json:"step"`
	Type        owner.Type `cbor:"5,keyasint" json:"type"`
	Data        []byte     `cbor:"6,keyasint,omitempty" json:"data,omitempty"`
	From        string     `cbor:"7,keyasint" json:"from"` // who sends it
	Incarnation uint64     `cbor:"8,keyasint" json:"incarnation"`
}

// Effected is what became of it.
type Effected struct {
	Job   string    `cbor:"1,keyasint"`
	Token uint64    `cbor:"2,keyasint"`
	Step  int       `cbor:"3,keyasint"`
	End   owner.End `cbor:"4,keyasint"`
	Newer uint64    `cbor:"5,keyasint,omitempty"` // the token that was seen here, of one refused
	Why   string    `cbor:"6,keyasint,omitempty"`
}

// Entry is an effect that happened here, or one that was refused, in the order of this place.
type Entry struct {
	Number  uint64 `cbor:"1,keyasint" json:"number"`
	Effect  Effect `cbor:"2,keyasint" json:"effect"`
	Refused uint64 `cbor:"3,keyasint,omitempty" json:"refused,omitempty"` // the newer token; 0: it happened
	Again   bool   `cbor:"4,keyasint,omitempty" json:"again,omitempty"`   // it had happened before and did not happen twice
	Told    bool   `cbor:"5,keyasint,omitempty" json:"told,omitempty"`    // no effect: the log told of that token
}

// Bounds of a place.
const (
	mostWaiting = 512  // effects that wait for its disk
	mostJobs    = 1024 // whose tokens it remembers one by one
	mostEntries = 8192 // kept for people; the record of steps that ran goes by owner.Gate's own bound
	version     = 1
)

var (
	metaBucket    = []byte("meta")
	tokensBucket  = []byte("tokens")
	entriesBucket = []byte("entries")
	versionKey    = []byte("version")
	floorKey      = []byte("floor")
)

// Place is one gateway's. Its disk has a goroutine of its own: nobody waits for it.
type Place struct {
	db    *bolt.DB // nil: no disk; only safe effects happen here
	log   logrus.FieldLogger
	step  func(string) // called at each step of a write
	inbox chan func()
	ended chan bool

	gate   *owner.Gate
	broken error
	last   uint64

	mu      sync.Mutex // entries alone: people look at them
	entries []Entry
}

// Open reads a record, or begins one; no folder: only safe effects happen here, and nothing is kept.
func Open(folder string, log logrus.FieldLogger) (*Place, error) {
	p := &Place{log: log, step: func(string) {}, inbox: make(chan func(), mostWaiting), ended: make(chan bool), gate: owner.NewGate(mostJobs)}
	if folder == "" {
		return p, nil
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, fmt.Errorf("record of effects: %w", err)
	}
	path := filepath.Join(folder, "effects")
	db, err := p.open(path)
	if checked.Spoilt(err) {
		// Tokens that it told to others are lost with it: the log makes up for them, as nothing happens here before this gateway has
		// followed it to its own start. Which keyed steps ran here is lost for good.
		aside := fmt.Sprintf("%s.spoilt-%d", path, time.Now().Unix())
		log.WithError(err).WithField("aside", aside).Error("jobs: the record of effects is spoilt: another is begun")
		if err = os.Rename(path, aside); err == nil {
			p.gate, p.last, p.entries = owner.NewGate(mostJobs), 0, nil
			db, err = p.open(path)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	p.db = db
	return p, nil
}

func (p *Place) open(path string) (db *bolt.DB, err error) {
	defer checked.Guard(&err)()
	if db, err = checked.Open(path); err != nil {
		return nil, err
	}
	if err = p.read(db); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return db, nil
}

func (p *Place) read(db *bolt.DB) error {
	if err := db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err == nil {
			err = checked.Version(meta, versionKey, version)
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
		floor, err := checked.Number(meta, floorKey)
		if err != nil {
			return fmt.Errorf("%w: its floor: %v", checked.ErrSpoilt, err)
		}
		tokens := map[string]uint64{}
		if err := tx.Bucket(tokensBucket).ForEach(func(k, _ []byte) (err error) {
			if tokens[string(k)], err = checked.Number(tx.Bucket(tokensBucket), k); err != nil {
				err = fmt.Errorf("%w: the token of job %q: %v", checked.ErrSpoilt, k, err)
			}
			return err
		}); err != nil {
			return err
		}
		p.gate.Restore(floor, tokens)
		return tx.Bucket(entriesBucket).ForEach(func(k, _ []byte) error {
			var e Entry
			v, err := checked.Get(tx.Bucket(entriesBucket), k)
			if err == nil {
				err = canon.Decode(v, &e)
			}
			if err != nil || binary.BigEndian.Uint64(k) != e.Number || p.last != 0 && e.Number != p.last+1 {
				return fmt.Errorf("%w: entry %x", checked.ErrSpoilt, k)
			}
			p.last = e.Number
			p.entries = append(p.entries, e)
			if e.Refused == 0 && !e.Told && e.Effect.Type != owner.Safe {
				p.gate.Ran(e.Effect.Job, e.Effect.Step)
			}
			return nil
		})
	})
}

// Run carries effects out until Close.
func (p *Place) Run() {
	defer close(p.ended)
	for do := range p.inbox {
		do()
	}
}

// Close ends it, with all that waits done.
func (p *Place) Close() error {
	close(p.inbox)
	<-p.ended
	if p.db == nil {
		return nil
	}
	return p.db.Close()
}

// Do has an effect happen, or refuses it; done is called from the place's goroutine, or at once where there is no room. It must not
// be called after Close.
func (p *Place) Do(e Effect, done func(Effected)) {
	select {
	case p.inbox <- func() { done(p.do(e)) }:
	default:
		done(Effected{Job: e.Job, Token: e.Token, Step: e.Step, End: owner.NeverRan, Why: "too much waits there"})
	}
}

// Raise has older tokens refused from now on.
func (p *Place) Raise(job string, token uint64) {
	select {
	case p.inbox <- func() {
		if p.broken == nil && p.gate.Raise(job, token) {
			p.write(&Entry{Effect: Effect{Job: job, Token: token}, Told: true})
		}
	}:
	default: // the next effect, or the next word of the log, raises it
	}
}

func (p *Place) do(e Effect) Effected {
	r := Effected{Job: e.Job, Token: e.Token, Step: e.Step}
	switch {
	case p.broken != nil:
		r.End, r.Why = owner.NeverRan, p.broken.Error()
		return r
	case p.db == nil && e.Type != owner.Safe:
		r.End, r.Why = owner.NeverRan, "this gateway has no disk, and keeps no record of what ran"
		return r
	}
	_, again, err := p.gate.Pass(e.Job, e.Token, e.Step, e.Type)
	entry := &Entry{Effect: e, Again: again}
	entry.Effect.Data = nil // the log has it
	var late owner.Late
	if errors.As(err, &late) {
		entry.Refused = late.Newer
		r.End, r.Newer, r.Why = owner.Refused, late.Newer, late.Error()
		p.log.WithFields(logrus.Fields{"job": e.Job, "step": e.Step, "token": e.Token, "newer": late.Newer, "from": e.From}).
			Warn("jobs: a late effect is refused")
	}
	if err := p.write(entry); err != nil && r.End != owner.Refused {
		r.End, r.Why = owner.Perhaps, err.Error()
	}
	return r
}

// write puts an entry and the tokens on the disk in one act: the effect is the entry.
func (p *Place) write(e *Entry) error {
	p.last++
	e.Number = p.last
	p.mu.Lock()
	if p.entries = append(p.entries, *e); len(p.entries) > mostEntries {
		p.entries = append([]Entry(nil), p.entries[len(p.entries)-mostEntries/2:]...)
	}
	p.mu.Unlock()
	if p.db == nil {
		return nil
	}
	p.step("before")
	failpoint.Here(failpoint.Checked)
	err := p.db.Update(func(tx *bolt.Tx) error {
		floor, tokens := p.gate.Kept()
		if err := checked.Put(tx.Bucket(metaBucket), floorKey, checked.Key(floor)); err != nil {
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
			if old, err := checked.Number(b, []byte(job)); err == nil && old == token {
				continue
			}
			if err := checked.Put(b, []byte(job), checked.Key(token)); err != nil {
				return err
			}
		}
		all := tx.Bucket(entriesBucket)
		if err := checked.Put(all, checked.Key(e.Number), canon.Encode(e)); err != nil {
			return err
		}
		if e.Number > mostEntries {
			if err := all.Delete(checked.Key(e.Number - mostEntries)); err != nil {
				return err
			}
		}
		p.step("written")
		failpoint.Here(failpoint.Written)
		return nil
	})
	if err != nil {
		// What is on the disk can't be known any more, so nothing happens here until a new start has read it.
		p.broken = fmt.Errorf("record of effects: %w", err)
		p.log.WithError(p.broken).Error("jobs: no effect happens here any more until this gateway is started anew")
		return p.broken
	}
	p.step("synced")
	failpoint.Here(failpoint.Synced)
	return nil
}

// Entries are the last effects that happened or were refused here, in their order.
func (p *Place) Entries() []Entry {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]Entry(nil), p.entries...)
}
