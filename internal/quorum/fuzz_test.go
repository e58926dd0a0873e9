package quorum

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Any bytes are rejected or decoded consistently as a frame; a decoded frame harms neither a gateway that belongs to
// no fleet nor a follower.
func FuzzFrame(f *testing.F) {
	for _, frame := range []Frame{{Kind: KindHello, ID: 7, Nonce: 3, EchoNonce: 1}, {Kind: KindFounding, Founding: &Founding{Cluster: 5, Voters: map[string]uint64{"v0": 1}}},
		{Kind: KindRenew, Nonce: 9, Renewals: []Renewal{{Incarnation: 1, Name: "f0"}}}, {Kind: KindLog, Leader: "v0", Applied: 3, Entries: [][]byte{{1}}, Voters: []uint64{1}},
		{Kind: KindLog, Snapshot: []byte("no state"), Applied: 9}, {Kind: KindPropose, Commands: []Command{{StateMachine: "members", Kind: cmdJoin}}}, {Kind: KindYield}, {Kind: KindRemoved, Voters: []uint64{4}}} {
		f.Add(frame.Append(nil)[FrameHeaderSize:], uint32(0))
	}
	f.Add([]byte{0xa1, 0x01}, uint32(1))
	f.Fuzz(func(t *testing.T, content []byte, checksumMask uint32) {
		var head [FrameHeaderSize]byte
		binary.BigEndian.PutUint32(head[:], uint32(len(content)))
		binary.BigEndian.PutUint64(head[4:], xxhash.Sum64(content)^uint64(checksumMask))
		if n, err := ContentLength(head); err != nil || n != len(content) {
			return
		}
		frame, err := DecodeFrame(head, content)
		if checksumMask != 0 && err == nil {
			t.Fatal("a wrong checksum was accepted")
		}
		if err != nil {
			return
		}
		encoded := frame.Append(nil)
		var again [FrameHeaderSize]byte
		copy(again[:], encoded)
		if y, err := DecodeFrame(again, encoded[FrameHeaderSize:]); err != nil || string(y.Append(nil)) != string(encoded) {
			t.Fatalf("decoded as %+v, then %+v, %v", frame, y, err)
		}
		set := Defaults()
		set.Name, set.Peers, set.Founders = "f0", map[string]string{"v0": "a", "v1": "b"}, []string{"f0", "v0", "v1"}
		for _, store := range []Store{{}, {Identity: Identity{ID: 3, Name: "f0"}, Founding: &Founding{Cluster: frame.Cluster, Voters: map[string]uint64{"v0": 1}}}} {
			n, err := New(set, store, map[string]StateMachine{"ledger": &ledger{}}, 11, 0)
			if err != nil {
				t.Fatal(err)
			}
			n.Handle(1, Saved{})
			n.upstream = "v0"
			for i := range 3 {
				if frame.Kind != KindRaft { // raft accepts only messages of its own peers
					n.Handle(float64(2+i), Received{From: "v0", Frame: frame})
				}
				n.Handle(float64(2+i), Saved{})
			}
		}
	})
}

// A large frame is sent in fragments and reassembled, with other frames in between; invalid fragments are rejected.
func TestFragments(t *testing.T) {
	large := Frame{Kind: KindLog, Applied: 9, Snapshot: make([]byte, 3*MaxFragmentSize+17)}
	large.Snapshot[MaxFragmentSize] = 7
	var joiner Reassembler
	var joined Frame
	fragments := large.Fragments()
	for i, b := range fragments {
		var head [FrameHeaderSize]byte
		copy(head[:], b)
		if n, err := ContentLength(head); err != nil || n != len(b)-FrameHeaderSize {
			t.Fatalf("fragment %d: %d, %v", i, n, err)
		}
		f, err := DecodeFrame(head, b[FrameHeaderSize:])
		if err != nil {
			t.Fatal(err)
		}
		if x, whole, err := joiner.Add(Frame{Kind: KindYield, Nonce: 3}); err != nil || !whole || x.Nonce != 3 {
			t.Fatalf("a frame in between: %+v, %v", x, err)
		}
		x, whole, err := joiner.Add(f)
		if err != nil || whole != (i == len(fragments)-1) {
			t.Fatalf("fragment %d of %d: %t, %v", i, len(fragments), whole, err)
		}
		joined = x
	}
	if string(joined.Append(nil)) != string(large.Append(nil)) || len(fragments) < 4 {
		t.Errorf("%d fragments make another frame", len(fragments))
	}
	for _, f := range []Frame{{Kind: KindFragment}, {Kind: KindFragment, Applied: MaxReassembledSize + 1, Data: []byte{1}}, {Kind: KindFragment, Applied: 5, Data: make([]byte, 9)},
		{Kind: KindFragment, Applied: MaxFragmentSize + 1, Data: make([]byte, MaxFragmentSize+1)}} {
		var joiner Reassembler
		if _, whole, err := joiner.Add(f); err == nil || whole {
			t.Errorf("a fragment of %d bytes of %d is accepted", len(f.Data), f.Applied)
		}
	}
}
