package drive

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"poppymill/internal/quorum"
)

// Recover looks at the store in a folder, of a gateway that does not run, and makes another fleet of it where that is wanted
// (quorum.Recover). Wanted must have been told what may be lost.
func Recover(folder string, books map[string]quorum.Book, wanted bool) (r quorum.Recovery, err error) {
	path := filepath.Join(folder, "agreed")
	if _, err := os.Stat(path); err != nil {
		return r, fmt.Errorf("store: %w", err)
	}
	s, held, err := openStore(path)
	if err != nil {
		return r, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	var seed [8]byte
	rand.Read(seed[:])
	record, r, err := quorum.Recover(held, books, binary.LittleEndian.Uint64(seed[:]))
	if err != nil || !wanted {
		r.Next = 0
		return r, err
	}
	return r, s.put(record)
}
