package driver

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"time"

	bolt "go.etcd.io/bbolt"

	"poppymill/internal/links"
)

// Store keeps spent tokens across restarts (go.etcd.io/bbolt). A write that was confirmed is on the disk. A write that was not
// confirmed may or may not be on the disk, and counts as spent if it is.
type Store struct {
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
	errQueueFull = errors.New("store: write queue is full")
)

// OpenStore opens or creates a store, and calls restore for each entry that has not expired.
func OpenStore(path string, now float64, restore func(links.SpentToken)) (*Store, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	s := &Store{db: db, queue: make(chan change, maxQueued), onStep: func(string) {}}
	err = db.Update(func(tx *bolt.Tx) error {
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
		bucket, err := tx.CreateBucketIfNotExists(spentBucket)
		if err != nil {
			return err
		}
		return bucket.ForEach(func(k, v []byte) error {
			if len(k) != 16 || len(v) != 8 {
				return fmt.Errorf("entry has a key of %d bytes and a value of %d bytes", len(k), len(v))
			}
			spend := links.SpentToken{Key: [16]byte(k), Expires: math.Float64frombits(binary.BigEndian.Uint64(v))}
			if spend.Expires > now {
				restore(spend)
			}
			return nil
		})
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", path, err), db.Close())
	}
	return s, nil
}

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
			if err := bucket.Put(key, binary.BigEndian.AppendUint64(nil, math.Float64bits(c.spend.Expires))); err != nil {
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
			if len(v) == 8 && math.Float64frombits(binary.BigEndian.Uint64(v)) <= now {
				if err := cursor.Delete(); err != nil {
					return err
				}
				s.Expired++
			}
		}
		return nil
	})
}
