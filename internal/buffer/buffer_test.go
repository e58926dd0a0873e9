package buffer

import (
	"bytes"
	"testing"
)

func TestChain(t *testing.T) {
	p := NewPool(3 * Size)
	c := NewChain(p)
	text := bytes.Repeat([]byte("0123456789abcdef!"), 2*Size/17)
	for b := text; len(b) > 0; b = b[min(1000, len(b)):] {
		if !c.Append(b[:min(1000, len(b))]) {
			t.Fatal("the pool is exhausted too soon")
		}
	}
	if got := bytes.Join(c.Parts(), nil); !bytes.Equal(got, text) || c.Len() != len(text) {
		t.Errorf("a chain of %d bytes is %d bytes long", len(text), c.Len())
	}
	if c.Append(make([]byte, 2*Size)) {
		t.Error("a chain grew past its pool")
	}
	c.Hold().Release()
	if p.Out() != 3 {
		t.Errorf("%d buffers lent while a hold is left", p.Out())
	}
	if c.Release(); p.Out() != 0 {
		t.Errorf("%d buffers never came back", p.Out())
	}
	var none *Chain
	none.Hold().Release()
	if none.Len() != 0 || none.Parts() != nil {
		t.Error("no chain is no empty body")
	}
}

// What a burst needed is given back once it is over; what is in use goes on being lent from what is free.
func TestTrim(t *testing.T) {
	p := NewPool(100 * Size)
	var all [][]byte
	for range 50 {
		all = append(all, p.Get())
	}
	for _, b := range all {
		p.Put(b)
	}
	if p.Trim(); len(p.free) != 50 {
		t.Errorf("%d are kept of the 50 just needed", len(p.free))
	}
	p.Put(p.Get())
	if p.Trim(); len(p.free) != 1 {
		t.Errorf("%d are kept where one is needed", len(p.free))
	}
}
