package drive

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

// Store keeps what is spent over a restart (go.etcd.io/bbolt). What was to be written and is told as written is on the disk;
// what was not told may or may not be there, and counts as spent if it is.
type Store struct {
	db    *bolt.DB
	jobs  chan job
	Trims int          // entries that had expired and were let go
	step  func(string) // called at each step of a write; tests end the process there
}

type job struct {
	spend links.Spend
	back  bool
	done  func(error)
}

const (
	storeVersion = 1
	mostJobs     = 1024
	mostBatch    = 256 // one fsync serves so many
	trimEvery    = time.Minute
)

var (
	spentBucket = []byte("spent")
	metaBucket  = []byte("meta")
	versionKey  = []byte("version")
	errFull     = errors.New("store: too much waits to be written")
)

// OpenStore opens a store, or makes one, and tells what is still in force in it.
func OpenStore(path string, now float64, restore func(links.Spend)) (*Store, error) {
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, fmt.Errorf("store %s: %w", path, err)
	}
	s := &Store{db: db, jobs: make(chan job, mostJobs), step: func(string) {}}
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
			return fmt.Errorf("its version is %v, and %d is read here", v, storeVersion)
		}
		b, err := tx.CreateBucketIfNotExists(spentBucket)
		if err != nil {
			return err
		}
		return b.ForEach(func(k, v []byte) error {
			if len(k) != 16 || len(v) != 8 {
				return fmt.Errorf("an entry of %d and %d bytes", len(k), len(v))
			}
			x := links.Spend{Key: [16]byte(k), Expires: math.Float64frombits(binary.BigEndian.Uint64(v))}
			if x.Expires > now {
				restore(x)
			}
			return nil
		})
	})
	if err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", path, err), db.Close())
	}
	return s, nil
}

// Write puts a spend on its way to the disk; done is called once, from another goroutine, when it is there or can't be. It
// never waits.
func (s *Store) Write(x links.Spend, done func(error)) { s.job(job{spend: x, done: done}) }

// Back takes a spend out again: what it was for never ran. It is no harm where that is lost.
func (s *Store) Back(x links.Spend) { s.job(job{spend: x, back: true, done: func(error) {}}) }

func (s *Store) job(j job) {
	select {
	case s.jobs <- j:
	default:
		go j.done(errFull)
	}
}

// Run writes until the context ends, all that has come by then included, and closes the store.
func (s *Store) Run(ctx context.Context, now func() float64) error {
	trim := time.NewTicker(trimEvery)
	defer trim.Stop()
	for {
		select {
		case j := <-s.jobs:
			s.batch(j)
		case <-trim.C:
			if err := s.trim(now()); err != nil {
				return errors.Join(err, s.db.Close())
			}
		case <-ctx.Done():
			for {
				select {
				case j := <-s.jobs:
					s.batch(j)
					continue
				default:
				}
				return s.db.Close()
			}
		}
	}
}

// batch writes what waits by one transaction, in its order.
func (s *Store) batch(first job) {
	all := []job{first}
	for len(all) < mostBatch {
		select {
		case j := <-s.jobs:
			all = append(all, j)
			continue
		default:
		}
		break
	}
	s.step("taken")
	err := s.db.Update(func(tx *bolt.Tx) error {
		b := tx.Bucket(spentBucket)
		defer s.step("put")
		for _, j := range all {
			key := j.spend.Key[:]
			if j.back {
				if err := b.Delete(key); err != nil {
					return err
				}
				continue
			}
			if err := b.Put(key, binary.BigEndian.AppendUint64(nil, math.Float64bits(j.spend.Expires))); err != nil {
				return err
			}
		}
		return nil
	})
	s.step("on the disk")
	for _, j := range all {
		j.done(err)
	}
	s.step("told")
}

// trim lets go of what has expired.
func (s *Store) trim(now float64) error {
	return s.db.Update(func(tx *bolt.Tx) error {
		c := tx.Bucket(spentBucket).Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if len(v) == 8 && math.Float64frombits(binary.BigEndian.Uint64(v)) <= now {
				if err := c.Delete(); err != nil {
					return err
				}
				s.Trims++
			}
		}
		return nil
	})
}
