// Package checked reads and writes stores (go.etcd.io/bbolt) whose every value carries a checksum with its key, so that a page of
// another time or place is told, and whose file is told where its last write was lost.
package checked

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

// ErrSpoilt tells that a store holds what it never wrote: a disk that is torn, spoilt or put back in part. Whoever had it must not
// go by it.
var ErrSpoilt = errors.New("the store is spoilt")

// Spoilt tells whether an error says that a store holds what was never written there so.
func Spoilt(err error) bool {
	for _, e := range []error{ErrSpoilt, berrors.ErrInvalid, berrors.ErrChecksum, berrors.ErrVersionMismatch} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

// Guard makes an error of what bbolt finds impossible in a page, which it tells by a panic, or by reading past its file:
// `defer Guard(&err)()`.
func Guard(err *error) func() {
	before := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(before)
		if p := recover(); p != nil {
			*err = fmt.Errorf("%w: %v", ErrSpoilt, p)
		}
	}
}

// Open opens a store, or begins one, and waits a second for another process that holds it.
func Open(path string) (*bolt.DB, error) {
	if err := heads(path); err != nil {
		return nil, err
	}
	return bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Second})
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
			return fmt.Errorf("%w: its head at %d: %v", ErrSpoilt, at, err)
		}
		h := fnv.New64a()
		h.Write(b[16:72])
		if binary.NativeEndian.Uint32(b[16:]) != 0xED0CDAED || binary.NativeEndian.Uint64(b[72:]) != h.Sum64() {
			return fmt.Errorf("%w: its head at %d is torn: the last write may be lost", ErrSpoilt, at)
		}
	}
	return nil
}

// Version writes a store's version where it has none, and tells whether it is the one that is read.
func Version(meta *bolt.Bucket, key []byte, want byte) error {
	if meta.Get(key) == nil {
		return Put(meta, key, []byte{want})
	}
	if v, err := Get(meta, key); err != nil || len(v) != 1 || v[0] != want {
		return fmt.Errorf("%w: version %v, %v is read", ErrSpoilt, v, want)
	}
	return nil
}

// Put writes a value behind a checksum of key and value.
func Put(b *bolt.Bucket, key, value []byte) error {
	return b.Put(key, append(binary.BigEndian.AppendUint64(nil, sum(key, value)), value...))
}

func sum(key, value []byte) uint64 {
	d := xxhash.New()
	d.Write(key)
	d.Write([]byte{0})
	d.Write(value)
	return d.Sum64()
}

// Get reads one; nil where there is none.
func Get(b *bolt.Bucket, key []byte) ([]byte, error) {
	v := b.Get(key)
	if v == nil {
		return nil, nil
	}
	if len(v) < 8 || binary.BigEndian.Uint64(v) != sum(key, v[8:]) {
		return nil, errors.New("its checksum is wrong")
	}
	return bytes.Clone(v[8:]), nil
}

// Number reads a value of 8 bytes; 0 where there is none.
func Number(b *bolt.Bucket, key []byte) (uint64, error) {
	switch v, err := Get(b, key); {
	case err != nil || v == nil:
		return 0, err
	case len(v) != 8:
		return 0, fmt.Errorf("holds %d bytes", len(v))
	default:
		return binary.BigEndian.Uint64(v), nil
	}
}

// Key words a number so that keys stand in its order.
func Key(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }
