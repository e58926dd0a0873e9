package driver

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"poppymill/internal/quorum"
)

// Recover reads the store in a directory, of a gateway that is not running. With commit set it writes a new fleet to
// the store (see quorum.Recover); the operator must have confirmed what that can lose. Without it only the
// report is returned.
func Recover(dir string, stateMachines map[string]quorum.StateMachine, commit bool) (report quorum.Recovery, err error) {
	path := filepath.Join(dir, "agreed")
	if _, err := os.Stat(path); err != nil {
		return report, fmt.Errorf("store: %w", err)
	}
	s, stored, err := openStore(path)
	if err != nil {
		return report, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	var seed [8]byte
	rand.Read(seed[:])
	record, report, err := quorum.Recover(stored, stateMachines, binary.LittleEndian.Uint64(seed[:]))
	if err != nil || !commit {
		report.NextFleet = 0
		return report, err
	}
	return report, s.put(record)
}
