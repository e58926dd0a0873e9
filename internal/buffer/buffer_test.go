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
			t.Fatal("the pool is exhausted too early")
		}
	}
	if got := bytes.Join(c.Parts(), nil); !bytes.Equal(got, text) || c.Len() != len(text) {
		t.Errorf("chain of %d bytes: wrong content, or length %d", len(text), c.Len())
	}
	if c.Append(make([]byte, 2*Size)) {
		t.Error("Append succeeded on an exhausted pool")
	}
	c.Retain().Release()
	if p.InUse() != 3 {
		t.Errorf("%d buffers in use while a reference is left, want 3", p.InUse())
	}
	if c.Release(); p.InUse() != 0 {
		t.Errorf("%d buffers were not returned", p.InUse())
	}
	var none *Body
	none.Retain().Release()
	if none.Len() != 0 || none.Parts() != nil {
		t.Error("a nil chain is not an empty body")
	}
}

// Trim frees the buffers of a burst once it is over, and keeps as many as were in use at a time since the last call.
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
		t.Errorf("%d buffers kept, want the 50 just needed", len(p.free))
	}
	p.Put(p.Get())
	if p.Trim(); len(p.free) != 1 {
		t.Errorf("%d buffers kept, want the 1 that is needed", len(p.free))
	}
}
