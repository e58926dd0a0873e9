package driver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	bolt "go.etcd.io/bbolt"

	"poppymill/internal/boltstore"
	"poppymill/internal/links"
)

// Store keeps spent tokens across restarts (go.etcd.io/bbolt). A write that was confirmed is on the disk. A write that was not
// confirmed may or may not be on the disk, and counts as spent if it is.
type Store struct {
	Since   float64 // Unix ms from which on the store is complete
	db      *bolt.DB
	queue   chan change
	Expired int          // number of expired entries that were deleted
	onStep  func(string) // called at each step of a write; tests end the process there
}

// change is a queued write: spend is stored or, with remove, deleted.
type change struct {
	spend  links.SpentToken
	remove bool
	done   func(error)
}

const (
	storeVersion   = 1
	maxQueued      = 1024 // changes
	maxBatch       = 256  // changes per transaction, so per fsync
	expiryInterval = time.Minute
)

var (
	spentBucket  = []byte("spent")
	metaBucket   = []byte("meta")
	versionKey   = []byte("version")
	sinceKey     = []byte("since") // Unix ms as float64: the store holds each token spent since then that has not expired
	errQueueFull = errors.New("store: write queue is full")
)

// OpenStore opens or creates a store, and calls restore for each entry that has not expired. A store that is created now, or
// does not say since when it is complete, is complete since now. A store that is shorter than it was or corrupt is an error.
func OpenStore(path string, now float64, restore func(links.SpentToken)) (*Store, error) {
	s, err := openStore(path, now, restore)
	if boltstore.IsCorrupt(err) {
		err = fmt.Errorf("%w; without the file the gateway starts, and refuses writes under links issued before", err)
	}
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	return s, nil
}

func openStore(path string, now float64, restore func(links.SpentToken)) (s *Store, err error) {
	defer boltstore.RecoverCorruption(&err)()
	db, err := boltstore.Open(path)
	if err != nil {
		return nil, err
	}
	s = &Store{db: db, queue: make(chan change, maxQueued), onStep: func(string) {}}
	if err := db.Update(func(tx *bolt.Tx) error { return s.load(tx, now, restore) }); err != nil {
		return nil, errors.Join(err, db.Close())
	}
	return s, nil
}

// load reads the store, and creates what it lacks.
func (s *Store) load(tx *bolt.Tx, now float64, restore func(links.SpentToken)) (err error) {
	defer boltstore.RecoverCorruption(&err)()
	meta, err := tx.CreateBucketIfNotExists(metaBucket)
	if err != nil {
		return err
	}
	if v := meta.Get(versionKey); v == nil {
		if err := meta.Put(versionKey, []byte{storeVersion}); err != nil {
			return err
		}
	} else if len(v) != 1 || v[0] != storeVersion {
		return fmt.Errorf("version is %v, want %d", v, storeVersion)
	}
	if s.Since, err = loadSince(meta, now); err != nil {
		return err
	}
	bucket, err := tx.CreateBucketIfNotExists(spentBucket)
	if err != nil {
		return err
	}
	return bucket.ForEach(func(k, v []byte) error {
		if len(k) != 16 || len(v) != 8 {
			return fmt.Errorf("entry has a key of %d bytes and a value of %d bytes", len(k), len(v))
		}
		spend := links.SpentToken{Key: [16]byte(k), Expires: decodeFloat(v)}
		if spend.Expires > now {
			restore(spend)
		}
		return nil
	})
}

// loadSince reads since when the store is complete, and sets it to now if the store does not say.
func loadSince(meta *bolt.Bucket, now float64) (float64, error) {
	v := meta.Get(sinceKey)
	if v == nil {
		return now, meta.Put(sinceKey, encodeFloat(now))
	}
	if len(v) != 8 {
		return 0, fmt.Errorf("%s: %d bytes, want 8", sinceKey, len(v))
	}
	return decodeFloat(v), nil
}

func encodeFloat(f float64) []byte { return binary.BigEndian.AppendUint64(nil, math.Float64bits(f)) }

func decodeFloat(b []byte) float64 { return math.Float64frombits(binary.BigEndian.Uint64(b)) }

// Write queues a spend to be stored. It never blocks. done is called once, from another goroutine, when the spend is on the
// disk or could not be written.
func (s *Store) Write(spend links.SpentToken, done func(error)) {
	s.enqueue(change{spend: spend, done: done})
}

// Remove queues the deletion of a spend whose download never ran. Losing the deletion is harmless: the token just stays spent.
func (s *Store) Remove(spend links.SpentToken) {
	s.enqueue(change{spend: spend, remove: true, done: func(error) {}})
}

// enqueue adds a change to the queue without blocking. If the queue is full, the change fails.
func (s *Store) enqueue(c change) {
	select {
	case s.queue <- c:
	default:
		go c.done(errQueueFull)
	}
}

// Run writes queued changes until the context ends. It then writes what is still queued and closes the store.
func (s *Store) Run(ctx context.Context, now func() float64) error {
	ticker := time.NewTicker(expiryInterval)
	defer ticker.Stop()
	for {
		select {
		case c := <-s.queue:
			s.commitBatch(c)
		case <-ticker.C:
			if err := s.removeExpired(now()); err != nil {
				return errors.Join(err, s.db.Close())
			}
		case <-ctx.Done():
			for {
				select {
				case c := <-s.queue:
					s.commitBatch(c)
					continue
				default:
				}
				return s.db.Close()
			}
		}
	}
}

// commitBatch writes the queued changes in one transaction, in order.
func (s *Store) commitBatch(first change) {
	batch := []change{first}
	for len(batch) < maxBatch {
		select {
		case c := <-s.queue:
			batch = append(batch, c)
			continue
		default:
		}
		break
	}
	s.onStep("taken")
	err := s.db.Update(func(tx *bolt.Tx) error {
		bucket := tx.Bucket(spentBucket)
		defer s.onStep("put")
		for _, c := range batch {
			key := c.spend.Key[:]
			if c.remove {
				if err := bucket.Delete(key); err != nil {
					return err
				}
				continue
			}
			if err := bucket.Put(key, encodeFloat(c.spend.Expires)); err != nil {
				return err
			}
		}
		return nil
	})
	s.onStep("on the disk")
	for _, c := range batch {
		c.done(err)
	}
	s.onStep("told")
}

// removeExpired deletes the expired entries.
func (s *Store) removeExpired(now float64) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		cursor := tx.Bucket(spentBucket).Cursor()
		for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
			if len(v) == 8 && decodeFloat(v) <= now {
				if err := cursor.Delete(); err != nil {
					return err
				}
				s.Expired++
			}
		}
		return nil
	})
}
