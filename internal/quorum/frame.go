package quorum

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"poppymill/internal/codec"
)

// Kind is the type of a frame.
type Kind int

// The kinds of frames.
const (
	KindHello          Kind = iota + 1 // identity and fleet of the sender; answered by one that echoes its nonce
	KindFounding                       // a founding to adopt
	KindRaft                           // a raft message
	KindPropose                        // commands to propose, on their way to the leader
	KindRenew                          // a batch of lease renewals; from a follower also its applied index
	KindLog                            // log entries or a snapshot for a follower, and the name of the leader
	KindYield                          // a newer process has joined under the name of the receiver
	KindRemoved                        // the receiver lost its vote to another identity: Voters, Applied; without Voters: did the sender?
	KindStatus                         // an operator's question and its answer
	KindEffect                         // a step of owned work to run; opaque to this package
	KindEffectResult                   // the result of a KindEffect
	KindStoreQuery                     // what does the receiver know of the sender's identity? Answered by a KindStoreReply
	KindStoreReply                     // Data: a StoreEvidence
	KindFragment                       // Data: a fragment of a larger frame, in order on one connection; Applied: the length of the whole
	KindReadIndex                      // asks the leader for its read index
	KindReadIndexReply                 // Applied: the read index, confirmed by a majority after the request
)

// Frame is the message exchanged between two peers. Fields that its kind does not use are empty.
type Frame struct {
	Kind          Kind      `cbor:"1,keyasint"`
	Cluster       uint64    `cbor:"2,keyasint,omitempty"`
	ID            uint64    `cbor:"3,keyasint,omitempty"`
	Nonce         uint64    `cbor:"4,keyasint,omitempty"`
	EchoNonce     uint64    `cbor:"5,keyasint,omitempty"`
	Founding      *Founding `cbor:"6,keyasint,omitempty"`
	Data          []byte    `cbor:"7,keyasint,omitempty"` // the raft message; in the first frame of a connection, who opens it; in a KindStatus, the answer
	Commands      []Command `cbor:"8,keyasint,omitempty"`
	Renewals      []Renewal `cbor:"9,keyasint,omitempty"`
	Applied       uint64    `cbor:"10,keyasint,omitempty"`
	Leader        string    `cbor:"11,keyasint,omitempty"`
	Entries       [][]byte  `cbor:"12,keyasint,omitempty"`
	Snapshot      []byte    `cbor:"13,keyasint,omitempty"`
	PreviousIndex uint64    `cbor:"14,keyasint,omitempty"` // the index before the first of Entries
	Voters        []uint64  `cbor:"15,keyasint,omitempty"`
	FromFollower  bool      `cbor:"16,keyasint,omitempty"` // the sender does not run raft and needs the log sent to it
	To            string    `cbor:"17,keyasint,omitempty"` // in the first frame of a connection: the gateway that is meant; empty: whoever answers
}

// Renewal renews the lease of one member. It names the member, as another gateway may forward it.
type Renewal struct {
	Incarnation uint64 `cbor:"1,keyasint"`
	Name        string `cbor:"2,keyasint"`
}

// Limits of a frame on the wire, in bytes, and the size of its header: content length and checksum. maxListed limits
// the number of commands and renewals in a frame.
const (
	MaxFrameSize       = 1 << 20  // one frame on the wire
	MaxReassembledSize = 32 << 20 // a frame reassembled from fragments
	MaxFragmentSize    = 256 << 10
	FrameHeaderSize    = 12
	maxListed          = 2048
)

// Fragments returns the encoded frame, or, when it is large, the encoded fragments of it, so that other frames can be
// sent in between.
func (f Frame) Fragments() (fragments [][]byte) {
	encoded := f.Append(nil)
	if len(encoded) <= MaxFragmentSize {
		return [][]byte{encoded}
	}
	for offset := 0; offset < len(encoded); offset += MaxFragmentSize {
		fragments = append(fragments, Frame{Kind: KindFragment, Applied: uint64(len(encoded)), Data: encoded[offset:min(len(encoded), offset+MaxFragmentSize)]}.Append(nil))
	}
	return fragments
}

// Reassembler reassembles the fragments of one connection.
type Reassembler struct{ buffer []byte }

// Add takes a frame and returns it, or the reassembled frame once its last fragment has come.
func (j *Reassembler) Add(f Frame) (whole Frame, ok bool, err error) {
	if f.Kind != KindFragment {
		return f, true, nil
	}
	if f.Applied <= MaxFragmentSize || f.Applied > MaxReassembledSize || uint64(len(j.buffer)+len(f.Data)) > f.Applied || len(f.Data) == 0 {
		return f, false, fmt.Errorf("frame: %w: a fragment of %d bytes after %d, of %d", codec.ErrMalformed, len(f.Data), len(j.buffer), f.Applied)
	}
	if j.buffer = append(j.buffer, f.Data...); uint64(len(j.buffer)) < f.Applied {
		return f, false, nil
	}
	var head [FrameHeaderSize]byte
	copy(head[:], j.buffer)
	contentLength := binary.BigEndian.Uint32(head[:])
	if uint64(contentLength)+FrameHeaderSize != f.Applied {
		return f, false, fmt.Errorf("frame: %w: fragments of %d bytes make a frame of %d", codec.ErrMalformed, f.Applied, contentLength)
	}
	whole, err = DecodeFrame(head, j.buffer[FrameHeaderSize:])
	j.buffer = nil
	if err == nil && whole.Kind == KindFragment {
		err = fmt.Errorf("frame: %w: a fragment made of fragments", codec.ErrMalformed)
	}
	return whole, err == nil, err
}

// Append appends the encoded frame: length, checksum, content.
func (f Frame) Append(to []byte) []byte {
	content := codec.Encode(f)
	to = binary.BigEndian.AppendUint32(to, uint32(len(content)))
	to = binary.BigEndian.AppendUint64(to, xxhash.Sum64(content))
	return append(to, content...)
}

// ContentLength returns the content length from the header of a frame.
func ContentLength(head [FrameHeaderSize]byte) (int, error) {
	contentLength := binary.BigEndian.Uint32(head[:])
	if contentLength == 0 || contentLength > MaxFrameSize {
		return 0, fmt.Errorf("frame: %w: %d bytes long", codec.ErrMalformed, contentLength)
	}
	return int(contentLength), nil
}

// DecodeFrame decodes a frame from its header and its content.
func DecodeFrame(head [FrameHeaderSize]byte, content []byte) (f Frame, err error) {
	if xxhash.Sum64(content) != binary.BigEndian.Uint64(head[4:]) {
		return f, fmt.Errorf("frame: %w: checksum mismatch", codec.ErrMalformed)
	}
	switch err = codec.Decode(content, &f); {
	case err != nil:
		err = fmt.Errorf("frame: %w", err)
	case f.Kind < KindHello || f.Kind > KindReadIndexReply || len(f.Commands)+len(f.Renewals) > maxListed:
		err = fmt.Errorf("frame: %w: kind %d with %d commands and %d renewals", codec.ErrMalformed, f.Kind, len(f.Commands), len(f.Renewals))
	}
	return f, err
}
