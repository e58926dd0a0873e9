package quorum

import (
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Kind says what a frame is.
type Kind int

// The kinds of frames.
const (
	Hello   Kind = iota + 1 // who I am, and whether I belong to a fleet; answered by a Hello that repeats its nonce
	Found                   // a founding to take up
	Raft                    // a message of raft's
	Ask                     // commands to be agreed, on their way to the leader
	Renew                   // renewals of leases, gathered; and how far the sender has followed
	Follow                  // entries, or a snapshot, for one that follows; also who leads
	Yield                   // a newer process of your name is there
	Removed                 // you vote no more, as your identity was replaced: Voters, Applied
	Status                  // a person's question, and its answer
)

// Frame is all that goes between two peers. What is not used by its kind is empty.
type Frame struct {
	Kind     Kind      `cbor:"1,keyasint"`
	Cluster  uint64    `cbor:"2,keyasint,omitempty"`
	ID       uint64    `cbor:"3,keyasint,omitempty"`
	Nonce    uint64    `cbor:"4,keyasint,omitempty"`
	Echo     uint64    `cbor:"5,keyasint,omitempty"`
	Founding *Founding `cbor:"6,keyasint,omitempty"`
	Data     []byte    `cbor:"7,keyasint,omitempty"` // raft's message, or a question's text
	Commands []Command `cbor:"8,keyasint,omitempty"`
	Renewals []Renewal `cbor:"9,keyasint,omitempty"`
	Applied  uint64    `cbor:"10,keyasint,omitempty"`
	Leader   string    `cbor:"11,keyasint,omitempty"`
	Entries  [][]byte  `cbor:"12,keyasint,omitempty"`
	Snapshot []byte    `cbor:"13,keyasint,omitempty"`
	After    uint64    `cbor:"14,keyasint,omitempty"` // the place behind which Entries stand
	Voters   []uint64  `cbor:"15,keyasint,omitempty"`
}

// Renewal is one member's word that it is still there.
type Renewal struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Applied     uint64 `cbor:"2,keyasint,omitempty"`
}

// Bounds of a frame on the wire: its length and a checksum go ahead of it.
const (
	MostFrame  = 4 << 20
	FrameHead  = 12
	mostListed = 2048
)

// ErrFrame tells that bytes are no frame: the connection that brought them is of no more use.
var ErrFrame = errors.New("no frame")

var (
	encoding, _ = cbor.CoreDetEncOptions().EncMode()
	decoding, _ = cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: 1 << 17, MaxMapPairs: 1 << 13,
		MaxNestedLevels: 8, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode()
)

func encode(v any) []byte {
	b, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // our own types
	}
	return b
}

func decode(b []byte, v any) error {
	if err := decoding.Unmarshal(b, v); err != nil {
		return fmt.Errorf("%w: %v", ErrFrame, err)
	}
	return nil
}

// Append puts a frame's bytes behind others: length, checksum, content.
func (f Frame) Append(to []byte) []byte {
	content := encode(f)
	to = binary.BigEndian.AppendUint32(to, uint32(len(content)))
	to = binary.BigEndian.AppendUint64(to, xxhash.Sum64(content))
	return append(to, content...)
}

// Length reads the head of a frame: how long its content is.
func Length(head [FrameHead]byte) (int, error) {
	n := binary.BigEndian.Uint32(head[:])
	if n == 0 || n > MostFrame {
		return 0, fmt.Errorf("%w: %d bytes long", ErrFrame, n)
	}
	return int(n), nil
}

// Read makes a frame of its head and its content.
func Read(head [FrameHead]byte, content []byte) (f Frame, err error) {
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(head[4:]) {
		return f, fmt.Errorf("%w: its checksum is wrong", ErrFrame)
	}
	if err = decode(content, &f); err == nil && (f.Kind < Hello || f.Kind > Status || len(f.Commands)+len(f.Renewals) > mostListed) {
		err = fmt.Errorf("%w: of kind %d, with %d commands and %d renewals", ErrFrame, f.Kind, len(f.Commands), len(f.Renewals))
	}
	return f, err
}
