// Package boltstore reads and writes bbolt stores (go.etcd.io/bbolt) with corruption checks. Every value carries a
// checksum over its key and itself, which detects a stale or misplaced page; a check of the file's meta pages detects
// that its last write was lost.
package boltstore

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
)

// ErrCorrupt reports that a store holds data that was never written to it in this form, after a torn write, corruption
// of the disk or a partial restore. Its content must not be used.
var ErrCorrupt = errors.New("the store is corrupt")

// IsCorrupt reports whether an error means that a store is corrupt, as found by this package or by bbolt.
func IsCorrupt(err error) bool {
	for _, e := range []error{ErrCorrupt, berrors.ErrInvalid, berrors.ErrChecksum, berrors.ErrVersionMismatch} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// RecoverCorruption turns a panic of bbolt into ErrCorrupt: bbolt panics on an inconsistent page, or faults as it
// reads past the end of its mapped file. Use it as `defer RecoverCorruption(&err)()`.
func RecoverCorruption(err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrCorrupt, p)
		}
	}
}

// Open opens a store, or creates one. It waits up to a second for another process that holds the file lock.
func Open(path string) (*bolt.DB, error) {
	if err := checkMetaPages(path); err != nil {
		return nil, err
	}
	return bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
}

// checkMetaPages checks both meta pages of the file. When one is torn or corrupt, bbolt falls back to the other, that
// is to the state before the last write. Peers may already have been sent the last write and rely on it, so the store
// would be an old copy.
func checkMetaPages(path string) error {
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
	// A meta page has a header of 16 bytes and 56 bytes of content, followed by their FNV-1a checksum of 8 bytes. The
	// first 4 bytes of the content are bbolt's magic number.
	b := make([]byte, 80)
	for _, at := range []int64{0, int64(os.Getpagesize())} {
		if _, err := f.ReadAt(b, at); err != nil {
			return fmt.Errorf("%w: meta page at %d: %v", ErrCorrupt, at, err)
		}
		h := fnv.New64a()
		h.Write(b[16:72])
		if binary.NativeEndian.Uint32(b[16:]) != 0xED0CDAED || binary.NativeEndian.Uint64(b[72:]) != h.Sum64() {
			return fmt.Errorf("%w: meta page at %d is torn: the last write may be lost", ErrCorrupt, at)
		}
	}
	return nil
}

// CheckVersion writes the format version to a store that has none, and returns an error if the store has another one.
func CheckVersion(meta *bolt.Bucket, key []byte, want byte) error {
	if meta.Get(key) == nil {
		return Put(meta, key, []byte{want})
	}
	if v, err := Get(meta, key); err != nil || len(v) != 1 || v[0] != want {
		return fmt.Errorf("%w: format version %v, this program reads version %v", ErrCorrupt, v, want)
	}
	return nil
}

// Put writes a value, prefixed with the checksum of key and value.
func Put(b *bolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint64(nil, checksum(key, value)), value...))
}

// checksum returns the checksum of a key and its value.
func checksum(key, value []byte) uint64 {
	digest := xxhash.New()
	digest.Write(key)
	digest.Write([]byte{0})
	digest.Write(value)
	return digest.Sum64()
}

// Get reads a value and verifies its checksum; nil if the key does not exist.
func Get(b *bolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	if len(v) < 8 || binary.BigEndian.Uint64(v) != checksum(key, v[8:]) {
		return nil, errors.New("wrong checksum")
	}
	return bytes.Clone(v[8:]), nil
}

// Uint64 reads an integer of 8 bytes, most significant byte first; 0 if the key does not exist.
func Uint64(b *bolt.Bucket, key []byte) (uint64, error) {
	switch v, err := Get(b, key); {
	case err != nil || v == nil:
		return 0, err
	case len(v) != 8:
		return 0, fmt.Errorf("value of %d bytes, want 8", len(v))
	default:
		return binary.BigEndian.Uint64(v), nil
	}
}

// EncodeKey encodes a number as a key, so that keys sort in numeric order.
func EncodeKey(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
