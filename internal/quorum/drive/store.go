package drive

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/canon"
	"poppymill/internal/quorum"
)

const storeVersion = 1

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	versionKey    = []byte("version")
	identityKey   = []byte("identity")
	foundingKey   = []byte("founding")
	hardKey       = []byte("hard")
	snapshotKey   = []byte("snapshot")

	// ErrStore tells that a store holds what it never wrote: a disk that is torn, spoilt or put back in part. Whoever had it
	// must not vote by it.
	ErrStore = errors.New("the store is spoilt")
)

// store keeps on the disk what the agreement rests on (go.etcd.io/bbolt): what was put is synced before put returns, whole or
// not at all. Every value carries a checksum with its key, so that a page of another time or place is told.
type store struct {
	db   *bolt.DB
	step func(string) // called at each step of a write
}

// openStore opens a store, or makes an empty one, and reads all that it holds.
func openStore(path string) (s *store, held quorum.Store, err error) {
	// What bbolt finds impossible in a page it tells by a panic, or by reading past its file.
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			s, err = nil, fmt.Errorf("store %s: %w: %v", path, ErrStore, p)
		}
	}()
	if err := heads(path); err != nil {
		return nil, held, fmt.Errorf("store %s: %w", path, err)
	}
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
	if err != nil {
		return nil, held, fmt.Errorf("store %s: %w", path, err)
	}
	s = &store{db: db, step: func(string) {}}
	err = db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(entriesBucket); err != nil {
			return err
		}
		if meta.Get(versionKey) == nil {
			return put(meta, versionKey, []byte{storeVersion})
		}
		return nil
	})
	if err == nil {
		err = db.View(func(tx *bolt.Tx) error { return load(tx, &held) })
	}
	if err != nil {
		db.Close()
		return nil, held, fmt.Errorf("store %s: %w", path, err)
	}
	return s, held, nil
}

// heads checks both heads of the file. Where one is torn or spoilt bbolt goes back to the other, the write before: to what may
// have been told to others, and counted on by them, that would be an old copy.
func heads(path string) error {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	} else if err != nil {
		return err
	}
	defer f.Close()
	if info, err := f.Stat(); err != nil || info.Size() == 0 {
		return err
	}
	// Each head is a page: 16 bytes, then 56 of which the next 8 are the FNV-1a sum; the first 4 name the format.
	b := make([]byte, 80)
	for _, at := range []int64{0, int64(os.Getpagesize())} {
		if _, err := f.ReadAt(b, at); err != nil {
			return fmt.Errorf("%w: its head at %d: %v", ErrStore, at, err)
		}
		h := fnv.New64a()
		h.Write(b[16:72])
		if binary.NativeEndian.Uint32(b[16:]) != 0xED0CDAED || binary.NativeEndian.Uint64(b[72:]) != h.Sum64() {
			return fmt.Errorf("%w: its head at %d is torn: the last write may be lost", ErrStore, at)
		}
	}
	return nil
}

func load(tx *bolt.Tx, held *quorum.Store) error {
	meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
	if v, err := get(meta, versionKey); err != nil || len(v) != 1 || v[0] != storeVersion {
		return fmt.Errorf("%w: version %v, %v is read", ErrStore, v, storeVersion)
	}
	for _, x := range []struct {
		key  []byte
		read func([]byte) error
	}{
		{identityKey, func(b []byte) error { return canon.Decode(b, &held.Identity) }},
		{foundingKey, func(b []byte) error { return canon.Decode(b, &held.Founding) }},
		{hardKey, func(b []byte) error { held.Hard = &raftpb.HardState{}; return proto.Unmarshal(b, held.Hard) }},
		{snapshotKey, func(b []byte) error { held.Snapshot = &raftpb.Snapshot{}; return proto.Unmarshal(b, held.Snapshot) }},
	} {
		b, err := get(meta, x.key)
		if err == nil && b != nil {
			err = x.read(b)
		}
		if err != nil {
			return fmt.Errorf("%w: %s: %v", ErrStore, x.key, err)
		}
	}
	at := held.Snapshot.GetMetadata().GetIndex()
	c := entries.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		b, err := get(entries, k)
		e := &raftpb.Entry{}
		if err == nil {
			err = proto.Unmarshal(b, e)
		}
		if err == nil && e.GetIndex() != binary.BigEndian.Uint64(k) {
			err = fmt.Errorf("holds %d", e.GetIndex())
		}
		if err != nil {
			return fmt.Errorf("%w: entry %x: %v", ErrStore, k, err)
		}
		if e.GetIndex() <= at {
			continue // kept for those that lag; what the snapshot holds is not read again
		}
		if want := at + uint64(len(held.Entries)) + 1; e.GetIndex() != want {
			return fmt.Errorf("%w: entry %d where %d should stand", ErrStore, e.GetIndex(), want)
		}
		held.Entries = append(held.Entries, e)
	}
	if last := at + uint64(len(held.Entries)); held.Hard.GetCommit() > last {
		return fmt.Errorf("%w: agreed up to %d, held up to %d", ErrStore, held.Hard.GetCommit(), last)
	}
	return nil
}

// spoilt tells whether an error says that a store holds what was never written there so.
func spoilt(err error) bool {
	for _, e := range []error{ErrStore, berrors.ErrInvalid, berrors.ErrChecksum, berrors.ErrVersionMismatch} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// put writes a value behind a checksum of key and value.
func put(b *bolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint64(nil, sum(key, value)), value...))
}

func sum(key, value []byte) uint64 {
	d := xxhash.New()
	d.Write(key)
	d.Write([]byte{0})
	d.Write(value)
	return d.Sum64()
}

func get(b *bolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	if len(v) < 8 || binary.BigEndian.Uint64(v) != sum(key, v[8:]) {
		return nil, errors.New("its checksum is wrong")
	}
	return bytes.Clone(v[8:]), nil
}

// put puts a record on the disk, whole or not at all.
func (s *store) put(r quorum.Record) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("%w: %v", ErrStore, p)
		}
	}()
	s.step("before")
	err = s.db.Update(func(tx *bolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if r.Anew {
			if err := errors.Join(meta.Delete(hardKey), meta.Delete(snapshotKey), cut(entries, 0, ^uint64(0))); err != nil {
				return err
			}
		}
		if r.Identity != nil {
			if err := put(meta, identityKey, canon.Encode(r.Identity)); err != nil {
				return err
			}
		}
		if r.Founding != nil {
			if err := put(meta, foundingKey, canon.Encode(r.Founding)); err != nil {
				return err
			}
		}
		if r.Snapshot != nil {
			b, err := proto.Marshal(r.Snapshot)
			if err = errors.Join(err, put(meta, snapshotKey, b)); err != nil {
				return err
			}
			if r.Compact == 0 { // it came from a leader, in place of all that was here
				if err := cut(entries, 0, ^uint64(0)); err != nil {
					return err
				}
			}
		}
		if r.Compact > 0 {
			if err := cut(entries, 0, r.Compact); err != nil {
				return err
			}
		}
		if len(r.Entries) > 0 {
			if err := cut(entries, r.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range r.Entries {
			b, err := proto.Marshal(e)
			if err = errors.Join(err, put(entries, binary.BigEndian.AppendUint64(nil, e.GetIndex()), b)); err != nil {
				return err
			}
		}
		if r.Hard != nil {
			b, err := proto.Marshal(r.Hard)
			if err = errors.Join(err, put(meta, hardKey, b)); err != nil {
				return err
			}
		}
		s.step("written")
		return nil
	})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.step("synced")
	return nil
}

// cut drops the entries from one place up to another, both with them.
func cut(entries *bolt.Bucket, from, to uint64) error {
	c := entries.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

func (s *store) close() error { return s.db.Close() }
