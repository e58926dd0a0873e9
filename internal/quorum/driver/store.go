package driver

import (
	"encoding/binary"
	"errors"
	"fmt"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"poppymill/internal/boltstore"
	"poppymill/internal/codec"
	"poppymill/internal/quorum"
)

// storeVersion is the version of the store's format.
const storeVersion = 1

// Buckets of the store, and the keys of the bucket meta. The bucket entries holds log entries by index.
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

// store keeps the persistent state of a node on disk (go.etcd.io/bbolt). A record is written atomically and synced
// before put returns. Every value carries a checksum over its key and itself, which detects a stale or misplaced page
// (see package checked).
type store struct {
	db     *bolt.DB
	onStep func(string) // called at each step of a write; a test hook
}

// openStore opens a store, or creates an empty one, and reads its content.
func openStore(path string) (s *store, stored quorum.Store, err error) {
	defer boltstore.RecoverCorruption(&err)()
	db, err := boltstore.Open(path)
	if err != nil {
		return nil, stored, fmt.Errorf("store %s: %w", path, err)
	}
	s = &store{db: db, onStep: func(string) {}}
	err = db.Update(func(tx *bolt.Tx) error {
		meta, err := tx.CreateBucketIfNotExists(metaBucket)
		if err != nil {
			return err
		}
		if _, err := tx.CreateBucketIfNotExists(entriesBucket); err != nil {
			return err
		}
		return boltstore.CheckVersion(meta, versionKey, storeVersion)
	})
	if err == nil {
		err = db.View(func(tx *bolt.Tx) error { return load(tx, &stored) })
	}
	if err != nil {
		db.Close()
		return nil, stored, fmt.Errorf("store %s: %w", path, err)
	}
	return s, stored, nil
}

// load reads the content of a store. The log must continue the snapshot without a gap, up to the commit index at least.
func load(tx *bolt.Tx, stored *quorum.Store) error {
	meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
	for _, field := range []struct {
		key    []byte
		decode func([]byte) error
	}{
		{identityKey, func(b []byte) error { return codec.Decode(b, &stored.Identity) }},
		{startsKey, func(b []byte) error { return codec.Decode(b, &stored.Starts) }},
		{marksKey, func(b []byte) error { return codec.Decode(b, &stored.HighWaterMarks) }},
		{foundingKey, func(b []byte) error { return codec.Decode(b, &stored.Founding) }},
		{hardKey, func(b []byte) error {
			stored.HardState = &raftpb.HardState{}
			return proto.Unmarshal(b, stored.HardState)
		}},
		{snapshotKey, func(b []byte) error { stored.Snapshot = &raftpb.Snapshot{}; return proto.Unmarshal(b, stored.Snapshot) }},
	} {
		b, err := boltstore.Get(meta, field.key)
		if err == nil && b != nil {
			err = field.decode(b)
		}
		if err != nil {
			return fmt.Errorf("%w: %s: %v", boltstore.ErrCorrupt, field.key, err)
		}
	}
	snapshotIndex := stored.Snapshot.GetMetadata().GetIndex()
	c := entries.Cursor()
	for k, _ := c.First(); k != nil; k, _ = c.Next() {
		b, err := boltstore.Get(entries, k)
		e := &raftpb.Entry{}
		if err == nil {
			err = proto.Unmarshal(b, e)
		}
		if err == nil && e.GetIndex() != binary.BigEndian.Uint64(k) {
			err = fmt.Errorf("holds %d", e.GetIndex())
		}
		if err != nil {
			return fmt.Errorf("%w: entry %x: %v", boltstore.ErrCorrupt, k, err)
		}
		if e.GetIndex() <= snapshotIndex {
			continue // kept for lagging members; the snapshot covers it
		}
		if want := snapshotIndex + uint64(len(stored.Entries)) + 1; e.GetIndex() != want {
			return fmt.Errorf("%w: entry %d in place of entry %d", boltstore.ErrCorrupt, e.GetIndex(), want)
		}
		stored.Entries = append(stored.Entries, e)
	}
	if last := snapshotIndex + uint64(len(stored.Entries)); stored.HardState.GetCommit() > last {
		return fmt.Errorf("%w: committed up to %d, but the last entry is %d", boltstore.ErrCorrupt, stored.HardState.GetCommit(), last)
	}
	return nil
}

// put writes a record to the disk and syncs it, atomically.
func (s *store) put(r quorum.Record) (err error) {
	defer boltstore.RecoverCorruption(&err)()
	s.onStep("before")
	err = s.db.Update(func(tx *bolt.Tx) error {
		meta, entries := tx.Bucket(metaBucket), tx.Bucket(entriesBucket)
		if r.Reset {
			if err := errors.Join(meta.Delete(hardKey), meta.Delete(snapshotKey), deleteEntries(entries, 0, ^uint64(0))); err != nil {
				return err
			}
		}
		if r.Identity != nil {
			if err := boltstore.Put(meta, identityKey, codec.Encode(r.Identity)); err != nil {
				return err
			}
		}
		if r.Starts > 0 {
			if err := boltstore.Put(meta, startsKey, codec.Encode(r.Starts)); err != nil {
				return err
			}
		}
		if r.HighWaterMarks != nil {
			if err := boltstore.Put(meta, marksKey, codec.Encode(r.HighWaterMarks)); err != nil {
				return err
			}
		}
		if r.Founding != nil {
			if err := boltstore.Put(meta, foundingKey, codec.Encode(r.Founding)); err != nil {
				return err
			}
		}
		if r.Snapshot != nil {
			b, err := proto.Marshal(r.Snapshot)
			if err = errors.Join(err, boltstore.Put(meta, snapshotKey, b)); err != nil {
				return err
			}
			if r.Compact == 0 { // a snapshot of a leader, which replaces the whole log
				if err := deleteEntries(entries, 0, ^uint64(0)); err != nil {
					return err
				}
			}
		}
		if r.Compact > 0 {
			if err := deleteEntries(entries, 0, r.Compact); err != nil {
				return err
			}
		}
		if len(r.Entries) > 0 {
			if err := deleteEntries(entries, r.Entries[0].GetIndex(), ^uint64(0)); err != nil {
				return err
			}
		}
		for _, e := range r.Entries {
			b, err := proto.Marshal(e)
			if err = errors.Join(err, boltstore.Put(entries, binary.BigEndian.AppendUint64(nil, e.GetIndex()), b)); err != nil {
				return err
			}
		}
		if r.HardState != nil {
			b, err := proto.Marshal(r.HardState)
			if err = errors.Join(err, boltstore.Put(meta, hardKey, b)); err != nil {
				return err
			}
		}
		s.onStep("written")
		return nil
	})
	if err != nil {
		return fmt.Errorf("store: %w", err)
	}
	s.onStep("synced")
	return nil
}

// deleteEntries deletes the entries from one index to another, both included.
func deleteEntries(entries *bolt.Bucket, from, to uint64) error {
	c := entries.Cursor()
	for k, _ := c.Seek(binary.BigEndian.AppendUint64(nil, from)); k != nil && binary.BigEndian.Uint64(k) <= to; k, _ = c.Next() {
		if err := c.Delete(); err != nil {
			return err
		}
	}
	return nil
}

// close closes the file.
func (s *store) close() error { return s.db.Close() }
