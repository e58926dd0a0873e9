package drive

import (
	"encoding/binary"
	"errors"
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/canon"
	"poppymill/internal/checked"
	"poppymill/internal/quorum"
)

const storeVersion = 1

var (
	metaBucket    = []byte("meta")
	entriesBucket = []byte("entries")
	versionKey    = []byte("version")
	identityKey   = []byte("identity")
	startsKey     = []byte("starts")
	marksKey      = []byte("marks")
	foundingKey   = []byte("founding")
	hardKey       = []byte("hard")
	snapshotKey   = []byte("snapshot")
)

// store keeps on the disk what the agreement rests on (go.etcd.io/bbolt): what was put is synced before put returns, whole or
// not at all. Every value carries a checksum with its key, so that a page of another time or place is told.
type store struct {
	db   *bolt.DB
	step func(string) // called at each step of a write
}

// openStore opens a store, or makes an empty one, and reads all that it holds.
func openStore(path string) (s *store, held quorum.Store, err error) {
	defer checked.Guard(&err)()
	db, err := checked.Open(path)
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
		return checked.Version(meta, versionKey, storeVersion)
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

func load(tx *bolt.Tx, held *quorum.Store) error {
	meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
	for _, x := range []struct {
		key  []byte
		read func([]byte) error
	}{
		{identityKey, func(b []byte) error { return canon.Decode(b, &held.Identity) }},
		{startsKey, func(b []byte) error { return canon.Decode(b, &held.Starts) }},
		{marksKey, func(b []byte) error { return canon.Decode(b, &held.Marks) }},
		{foundingKey, func(b []byte) error { return canon.Decode(b, &held.Founding) }},
		{hardKey, func(b []byte) error { held.Hard = &raftpb.HardState{}; return proto.Unmarshal(b, held.Hard) }},
		{snapshotKey, func(b []byte) error { held.Snapshot = &raftpb.Snapshot{}; return proto.Unmarshal(b, held.Snapshot) }},
	} {
		b, err := checked.Get(meta, x.key)
		if err == nil && b != nil {
			err = x.read(b)
		}
		if err != nil {
			return fmt.Errorf("%w: %s: %v", checked.ErrSpoilt, x.key, err)
		}
	}
	at := held.Snapshot.GetMetadata().GetIndex()
	c := entries.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		b, err := checked.Get(entries, k)
		e := &raftpb.Entry{}
		if err == nil {
			err = proto.Unmarshal(b, e)
		}
		if err == nil && e.GetIndex() != binary.BigEndian.Uint64(k) {
			err = fmt.Errorf("holds %d", e.GetIndex())
		}
		if err != nil {
			return fmt.Errorf("%w: entry %x: %v", checked.ErrSpoilt, k, err)
		}
		if e.GetIndex() <= at {
			continue // kept for those that lag; what the snapshot holds is not read again
		}
		if want := at + uint64(len(held.Entries)) + 1; e.GetIndex() != want {
			return fmt.Errorf("%w: entry %d where %d should stand", checked.ErrSpoilt, e.GetIndex(), want)
		}
		held.Entries = append(held.Entries, e)
	}
	if last := at + uint64(len(held.Entries)); held.Hard.GetCommit() > last {
		return fmt.Errorf("%w: agreed up to %d, held up to %d", checked.ErrSpoilt, held.Hard.GetCommit(), last)
	}
	return nil
}

// put puts a record on the disk, whole or not at all.
func (s *store) put(r quorum.Record) (err error) {
	defer checked.Guard(&err)()
	s.step("before")
	err = s.db.Update(func(tx *bolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if r.Anew {
			if err := errors.Join(meta.Delete(hardKey), meta.Delete(snapshotKey), cut(entries, 0, ^uint64(0))); err != nil {
				return err
			}
		}
		if r.Identity != nil {
			if err := checked.Put(meta, identityKey, canon.Encode(r.Identity)); err != nil {
				return err
			}
		}
		if r.Starts > 0 {
			if err := checked.Put(meta, startsKey, canon.Encode(r.Starts)); err != nil {
				return err
			}
		}
		if r.Marks != nil {
			if err := checked.Put(meta, marksKey, canon.Encode(r.Marks)); err != nil {
				return err
			}
		}
		if r.Founding != nil {
			if err := checked.Put(meta, foundingKey, canon.Encode(r.Founding)); err != nil {
				return err
			}
		}
		if r.Snapshot != nil {
			b, err := proto.Marshal(r.Snapshot)
			if err = errors.Join(err, checked.Put(meta, snapshotKey, b)); err != nil {
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
			if err = errors.Join(err, checked.Put(entries, binary.BigEndian.AppendUint64(nil, e.GetIndex()), b)); err != nil {
				return err
			}
		}
		if r.Hard != nil {
			b, err := proto.Marshal(r.Hard)
			if err = errors.Join(err, checked.Put(meta, hardKey, b)); err != nil {
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
