package quorum

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"poppymill/internal/canon"
)

// Kind says what a frame is.
type Kind int

// The kinds of frames.
const (
	Hello              Kind = iota + 1 // who I am, and whether I belong to a fleet; answered by a Hello that repeats its nonce
	KindFounding                       // a founding to take up
	KindRaft                           // a message of raft's
	KindPropose                        // commands to be agreed, on their way to the leader
	KindRenew                          // renewals of leases, gathered; and how far the sender has followed
	KindLog                            // entries, or a snapshot, for one that follows; also who leads
	KindYield                          // a newer process of your name is there
	KindRemoved                        // you vote no more, as your identity was replaced: Voters, Applied
	Status                             // a person's question, and its answer
	Effect                             // a step of owned work for its place; this package does not look into it
	Effected                           // what became of it
	KindStoreQuery                     // what do you know of my identity? Answered by a Proof
	KindStoreReply                     // Data: a Known
	KindFragment                       // Data: of a larger frame, in its order on one connection; Applied: the length of the whole
	KindReadIndex                      // how far has the log gone? To the leader
	KindReadIndexReply                 // Applied: as far as this, by the word of a majority given since it was asked
)

// Frame is all that goes between two peers. What is not used by its kind is empty.
type Frame struct {
	Kind          Kind      `cbor:"1,keyasint"`
	Cluster       uint64    `cbor:"2,keyasint,omitempty"`
	ID            uint64    `cbor:"3,keyasint,omitempty"`
	Nonce         uint64    `cbor:"4,keyasint,omitempty"`
	EchoNonce     uint64    `cbor:"5,keyasint,omitempty"`
	Founding      *Founding `cbor:"6,keyasint,omitempty"`
	Data          []byte    `cbor:"7,keyasint,omitempty"` // raft's message; of a connection's first frame, who opens it; of a Status, the answer
	Commands      []Command `cbor:"8,keyasint,omitempty"`
	Renewals      []Renewal `cbor:"9,keyasint,omitempty"`
	Applied       uint64    `cbor:"10,keyasint,omitempty"`
	Leader        string    `cbor:"11,keyasint,omitempty"`
	Entries       [][]byte  `cbor:"12,keyasint,omitempty"`
	Snapshot      []byte    `cbor:"13,keyasint,omitempty"`
	PreviousIndex uint64    `cbor:"14,keyasint,omitempty"` // the place behind which Entries stand
	Voters        []uint64  `cbor:"15,keyasint,omitempty"`
	FromFollower  bool      `cbor:"16,keyasint,omitempty"` // the sender takes no part in raft: it has to be told
}

// Renewal is one member's word that it is still there. It names itself, as others may bring it.
type Renewal struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
}

// Bounds of a frame on the wire: its length and a checksum go ahead of it.
const (
	MostFrame       = 1 << 20  // on the wire
	MostWhole       = 32 << 20 // put together of pieces
	MaxFragmentSize = 256 << 10
	FrameHead       = 12
	maxListed       = 2048
)

// Pieces are a frame's bytes as they go out: in one, or, where it is large, in several frames, so that others can go in between.
func (f Frame) Pieces() (fragments [][]byte) {
	encoded := f.Append(nil)
	if len(encoded) <= MaxFragmentSize {
		return [][]byte{encoded}
	}
	for offset := 0; offset < len(encoded); offset += MaxFragmentSize {
		fragments = append(fragments, Frame{Kind: KindFragment, Applied: uint64(len(encoded)), Data: encoded[offset:min(len(encoded), offset+MaxFragmentSize)]}.Append(nil))
	}
	return fragments
}

// Joiner puts the pieces of one connection together.
type Joiner struct{ buffer []byte }

// Join takes a frame, and gives one back where it is whole.
func (j *Joiner) Join(f Frame) (whole Frame, ok bool, err error) {
	if f.Kind != KindFragment {
		return f, true, nil
	}
	if f.Applied <= MaxFragmentSize || f.Applied > MostWhole || uint64(len(j.buffer)+len(f.Data)) > f.Applied || len(f.Data) == 0 {
		return f, false, fmt.Errorf("frame: %w: a piece of %d bytes behind %d, of %d", canon.ErrUnreadable, len(f.Data), len(j.buffer), f.Applied)
	}
	if j.buffer = append(j.buffer, f.Data...); uint64(len(j.buffer)) < f.Applied {
		return f, false, nil
	}
	var head [FrameHead]byte
	copy(head[:], j.buffer)
	contentLength := binary.BigEndian.Uint32(head[:])
	if uint64(contentLength)+FrameHead != f.Applied {
		return f, false, fmt.Errorf("frame: %w: pieces of %d bytes, and a frame of %d", canon.ErrUnreadable, f.Applied, contentLength)
	}
	whole, err = Read(head, j.buffer[FrameHead:])
	j.buffer = nil
	if err == nil && whole.Kind == KindFragment {
		err = fmt.Errorf("frame: %w: a piece of pieces", canon.ErrUnreadable)
	}
	return whole, err == nil, err
}

// Append puts a frame's bytes behind others: length, checksum, content.
func (f Frame) Append(to []byte) []byte {
	content := canon.Encode(f)
	to = binary.BigEndian.AppendUint32(to, uint32(len(content)))
	to = binary.BigEndian.AppendUint64(to, xxhash.Sum64(content))
	return append(to, content...)
}

// Length reads the head of a frame: how long its content is.
func Length(head [FrameHead]byte) (int, error) {
	contentLength := binary.BigEndian.Uint32(head[:])
	if contentLength == 0 || contentLength > MostFrame {
		return 0, fmt.Errorf("frame: %w: %d bytes long", canon.ErrUnreadable, contentLength)
	}
	return int(contentLength), nil
}

// Read makes a frame of its head and its content.
func Read(head [FrameHead]byte, content []byte) (f Frame, err error) {
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(head[4:]) {
		return f, fmt.Errorf("frame: %w: its checksum is wrong", canon.ErrUnreadable)
	}
	switch err = canon.Decode(content, &f); {
	case err != nil:
		err = fmt.Errorf("frame: %w", err)
	case f.Kind < Hello || f.Kind > KindReadIndexReply || len(f.Commands)+len(f.Renewals) > maxListed:
		err = fmt.Errorf("frame: %w: of kind %d, with %d commands and %d renewals", canon.ErrUnreadable, f.Kind, len(f.Commands), len(f.Renewals))
	}
	return f, err
}
