// Package buffer provides a bounded pool of buffers of one size, and reference-counted bodies made of them.
package buffer

import (
	"sync"
	"sync/atomic"

	"poppymill/internal/assert"
)

// Size is the size of each buffer in bytes. A buffer holds a socket read or a piece of a body.
const Size = 16 << 10

// Pool lends out a limited number of buffers and reuses returned ones. The limit keeps bodies within the memory limit:
// if the pool is exhausted, a peer loses its connection instead of the process running out of memory.
type Pool struct {
	parent *Pool // where the buffers come from and go back to; nil: the pool keeps them itself
	mu     sync.Mutex
	free   [][]byte
	lent   int
	peak   int // maximum of lent since the last Trim
	limit  int // of lent
}

// NewPool returns a pool of buffers with at most the given total of bytes, but of at least one buffer.
func NewPool(bytes int) *Pool { return &Pool{limit: max(1, bytes/Size)} }

// Share returns a pool that lends out buffers of this pool, at most the given total of bytes at a time.
func (p *Pool) Share(bytes int) *Pool { return &Pool{parent: p, limit: max(1, bytes/Size)} }

// Limit returns how many buffers may be in use.
func (p *Pool) Limit() int { return p.limit }

// Get returns an empty buffer, or nil if the pool is exhausted.
func (p *Pool) Get() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lent == p.limit {
		return nil
	}
	if p.parent != nil {
		b := p.parent.Get()
		if b != nil {
			p.lent++
		}
		return b
	}
	p.lent++
	p.peak = max(p.peak, p.lent)
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, Size)
}

// Put returns a buffer to the pool.
func (p *Pool) Put(b []byte) {
	assert.That(cap(b) == Size, "a returned buffer has the size of the pool")
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lent--
	assert.That(p.lent >= 0, "no buffer is returned twice")
	if p.parent != nil {
		p.parent.Put(b)
		return
	}
	p.free = append(p.free, b[:0])
}

// Trim frees the unused buffers that were not needed since the last call, so that the buffers of a burst don't count
// against the memory limit for the rest of the day.
func (p *Pool) Trim() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if keep := max(0, p.peak-p.lent); keep < len(p.free) {
		clear(p.free[keep:])
		p.free = p.free[:keep]
	}
	p.peak = p.lent
}

// InUse returns the number of buffers in use.
func (p *Pool) InUse() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lent
}

// Body is a reference-counted body in pooled buffers. Passing it on passes the reference too, unless the caller takes
// another one by Retain. The last Release returns the buffers. A nil Body is an empty body.
type Body struct {
	pool  *Pool
	parts [][]byte
	size  int
	refs  atomic.Int32
}

// NewChain returns an empty body with one reference.
func NewChain(p *Pool) *Body {
	c := &Body{pool: p}
	c.refs.Store(1)
	return c
}

// Append copies bytes to the end of the body; false if the pool is exhausted.
func (c *Body) Append(b []byte) bool {
	for len(b) > 0 {
		last := len(c.parts) - 1
		if last < 0 || len(c.parts[last]) == Size {
			next := c.pool.Get()
			if next == nil {
				return false
			}
			c.parts = append(c.parts, next)
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

// Len returns the length of the body in bytes.
func (c *Body) Len() int {
	if c == nil {
		return 0
	}
	return c.size
}

// Parts returns the buffers of the body, which must not be changed.
func (c *Body) Parts() [][]byte {
	if c == nil {
		return nil
	}
	return c.parts
}

// Retain adds a reference.
func (c *Body) Retain() *Body {
	if c != nil {
		assert.That(c.refs.Add(1) > 1, "no reference is added to a released body")
	}
	return c
}

// Release drops a reference.
func (c *Body) Release() {
	if c == nil {
		return
	}
	left := c.refs.Add(-1)
	assert.That(left >= 0, "a body is released only once for each reference")
	if left != 0 {
		return
	}
	for _, b := range c.parts {
		c.pool.Put(b)
	}
	c.parts = nil
}
