package world

import "container/list"

// key identifies a part of an object.
type key struct {
	object string
	part   int
}

// objectCopy is a copy of a part as the core produced it.
type objectCopy struct {
	key
	group     int
	typ       *contentType
	createdAt float64
	tag       string
	size      float64 // bytes
}

const rankCount = 4

// store keeps copies within a capacity. It evicts the lowest rank first and, within a rank, the least recently used; it never
// evicts a copy of higher rank for one of lower rank.
type store struct {
	capacity, used float64
	copies         map[key]*list.Element
	byRank         [rankCount]list.List // most recently used first
}

type storedCopy struct {
	objectCopy
	rank int
}

func newStore(room float64) *store { return &store{capacity: room, copies: map[key]*list.Element{}} }

// get returns a copy created no earlier than least, and marks it as used.
func (s *store) get(k key, least float64) *storedCopy {
	e := s.copies[k]
	if e == nil {
		return nil
	}
	c := e.Value.(*storedCopy)
	if c.createdAt < least {
		return nil
	}
	s.byRank[c.rank].MoveToFront(e)
	return c
}

// put stores a copy, unless there is no space at its rank.
func (s *store) put(m objectCopy, rank int) {
	rank = min(max(rank, 0), rankCount-1)
	if old := s.copies[m.key]; old != nil {
		if old.Value.(*storedCopy).createdAt > m.createdAt {
			return
		}
		s.drop(old)
	}
	free, low := s.capacity-s.used, 0
	for ; free < m.size && low <= rank; low++ {
		for e := s.byRank[low].Back(); e != nil && free < m.size; e = e.Prev() {
			free += e.Value.(*storedCopy).size
		}
	}
	if free < m.size {
		return
	}
	for low := 0; s.used+m.size > s.capacity; {
		if last := s.byRank[low].Back(); last != nil {
			s.drop(last)
		} else {
			low++
		}
	}
	s.used += m.size
	s.copies[m.key] = s.byRank[rank].PushFront(&storedCopy{objectCopy: m, rank: rank})
}

func (s *store) drop(e *list.Element) {
	c := e.Value.(*storedCopy)
	s.byRank[c.rank].Remove(e)
	delete(s.copies, c.key)
	s.used -= c.size
}
