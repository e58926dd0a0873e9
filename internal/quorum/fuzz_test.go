package quorum

import (
	"encoding/binary"
	"testing"

	"github.com/cespare/xxhash/v2"
)

// Whatever bytes come as a frame are refused or read as what they say; what is read harms neither a gateway that belongs to no
// fleet nor one that follows.
func FuzzFrame(f *testing.F) {
	for _, x := range []Frame{{Kind: Hello, ID: 7, Nonce: 3, EchoNonce: 1}, {Kind: KindFounding, Founding: &Founding{Cluster: 5, Voters: map[string]uint64{"v0": 1}}},
		{Kind: KindRenew, Nonce: 9, Renewals: []Renewal{{Incarnation: 1, Name: "f0"}}}, {Kind: KindLog, Leader: "v0", Applied: 3, Entries: [][]byte{{1}}, Voters: []uint64{1}},
		{Kind: KindLog, Snapshot: []byte("no state"), Applied: 9}, {Kind: KindPropose, Commands: []Command{{Book: "members", Kind: cmdJoin}}}, {Kind: KindYield}, {Kind: KindRemoved, Voters: []uint64{4}}} {
		f.Add(x.Append(nil)[FrameHead:], uint32(0))
	}
	f.Add([]byte{0xa1, 0x01}, uint32(1))
	f.Fuzz(func(t *testing.T, content []byte, spoil uint32) {
		var head [FrameHead]byte
		binary.BigEndian.PutUint32(head[:], uint32(len(content)))
		binary.BigEndian.PutUint64(head[4:], xxhash.Sum64(content)^uint64(spoil))
		if n, err := Length(head); err != nil || n != len(content) {
			return
		}
		x, err := Read(head, content)
		if spoil != 0 && err == nil {
			t.Fatal("a wrong checksum was taken")
		}
		if err != nil {
			return
		}
		text := x.Append(nil)
		var again [FrameHead]byte
		copy(again[:], text)
		if y, err := Read(again, text[FrameHead:]); err != nil || string(y.Append(nil)) != string(text) {
			t.Fatalf("read as %+v, then %+v, %v", x, y, err)
		}
		set := Defaults()
		set.Name, set.Peers, set.Founders = "f0", map[string]string{"v0": "a", "v1": "b"}, []string{"f0", "v0", "v1"}
		for _, held := range []Store{{}, {Identity: Identity{ID: 3, Name: "f0"}, Founding: &Founding{Cluster: x.Cluster, Voters: map[string]uint64{"v0": 1}}}} {
			n, err := New(set, held, map[string]Book{"ledger": &ledger{}}, 11, 0)
			if err != nil {
				t.Fatal(err)
			}
			n.Handle(1, Saved{})
			n.upstream = "v0"
			for i := range 3 {
				if x.Kind != KindRaft { // raft itself takes only what its own peers say
					n.Handle(float64(2+i), Received{From: "v0", Frame: x})
				}
				n.Handle(float64(2+i), Saved{})
			}
		}
	})
}

// A large frame goes out in pieces and comes back whole, with others in between; pieces that don't fit are refused.
func TestFragments(t *testing.T) {
	large := Frame{Kind: KindLog, Applied: 9, Snapshot: make([]byte, 3*MaxFragmentSize+17)}
	large.Snapshot[MaxFragmentSize] = 7
	var j Joiner
	var got Frame
	pieces := large.Pieces()
	for i, b := range pieces {
		var head [FrameHead]byte
		copy(head[:], b)
		if n, err := Length(head); err != nil || n != len(b)-FrameHead {
			t.Fatalf("piece %d: %d, %v", i, n, err)
		}
		f, err := Read(head, b[FrameHead:])
		if err != nil {
			t.Fatal(err)
		}
		if x, whole, err := j.Join(Frame{Kind: KindYield, Nonce: 3}); err != nil || !whole || x.Nonce != 3 {
			t.Fatalf("in between: %+v, %v", x, err)
		}
		x, whole, err := j.Join(f)
		if err != nil || whole != (i == len(pieces)-1) {
			t.Fatalf("piece %d of %d: %t, %v", i, len(pieces), whole, err)
		}
		got = x
	}
	if string(got.Append(nil)) != string(large.Append(nil)) || len(pieces) < 4 {
		t.Errorf("%d pieces make something else", len(pieces))
	}
	for _, f := range []Frame{{Kind: KindFragment}, {Kind: KindFragment, Applied: MostWhole + 1, Data: []byte{1}}, {Kind: KindFragment, Applied: 5, Data: make([]byte, 9)},
		{Kind: KindFragment, Applied: MaxFragmentSize + 1, Data: make([]byte, MaxFragmentSize+1)}} {
		var j Joiner
		if _, whole, err := j.Join(f); err == nil || whole {
			t.Errorf("a piece of %d bytes of %d is taken", len(f.Data), f.Applied)
		}
	}
}
