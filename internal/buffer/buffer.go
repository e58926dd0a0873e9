// Package buffer lends buffers of one size from a bounded pool, and chains them to bodies.
package buffer

import (
	"sync"
	"sync/atomic"

	"poppymill/internal/assert"
)

// Size of every buffer: a read of a socket, or a piece of a body.
const Size = 16 << 10

// Pool lends at most so many buffers at a time and keeps those that come back. The bound is what keeps bodies
// within the memory limit: a peer that can't get one loses its connection, not the gateway its life.
type Pool struct {
	mu   sync.Mutex
	free [][]byte
	out  int
	peak int // of out, since the last Trim
	most int
}

// NewPool makes a pool of at most so many bytes.
func NewPool(bytes int) *Pool { return &Pool{most: max(1, bytes/Size)} }

// Get lends an empty buffer; nil where the pool is exhausted.
func (p *Pool) Get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out == p.most {
		return nil
	}
	p.out++
	p.peak = max(p.peak, p.out)
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, Size)
}

// Put gives a buffer back.
func (p *Pool) Put(b []byte) {
	assert.That(cap(b) == Size, "a buffer comes back as it was lent")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out--
	assert.That(p.out >= 0, "no buffer comes back twice")
	p.free = append(p.free, b[:0])
}

// Trim gives back what was not needed since the last one: a burst's buffers must not count against the memory limit
// for the rest of the day.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep := max(0, p.peak-p.out); keep < len(p.free) {
		clear(p.free[keep:])
		p.free = p.free[:keep]
	}
	p.peak = p.out
}

// Out counts the buffers that are lent now.
func (p *Pool) Out() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out
}

// Chain is a body. Whoever passes it on passes its one hold on it too, or takes another; the last to let go
// gives the buffers back. A nil chain is an empty body.
type Chain struct {
	pool  *Pool
	parts [][]byte
	size  int
	holds atomic.Int32
}

// NewChain makes an empty body with one hold on it.
func NewChain(p *Pool) *Chain {
	c := &Chain{pool: p}
	c.holds.Store(1)
	return c
}

// Append copies bytes to the end; false where the pool is exhausted.
func (c *Chain) Append(b []byte) bool {
	for len(b) > 0 {
		last := len(c.parts) - 1
		if last < 0 || len(c.parts[last]) == Size {
			fresh := c.pool.Get()
			if fresh == nil {
				return false
			}
			c.parts = append(c.parts, fresh)
			last++
		}
		part := c.parts[last]
		n := min(Size-len(part), len(b))
		c.parts[last] = append(part, b[:n]...)
		b = b[n:]
		c.size += n
	}
	return true
}

// Len is the body's length.
func (c *Chain) Len() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Parts are the body's pieces, to be read only.
func (c *Chain) Parts() [][]byte {
	if c == nil {
		return nil
	}
	return c.parts
}

// Hold takes another hold.
func (c *Chain) Hold() *Chain {
	if c != nil {
		assert.That(c.holds.Add(1) > 1, "no hold on a body that was let go")
	}
	return c
}

// Release lets go of one hold.
func (c *Chain) Release() {
	if c == nil {
		return
	}
	left := c.holds.Add(-1)
	assert.That(left >= 0, "a body is let go once for each hold")
	if left != 0 {
		return
	}
	for _, b := range c.parts {
		c.pool.Put(b)
	}
	c.parts = nil
}
