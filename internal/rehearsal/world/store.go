package world

import "container/list"

// key is one part of an object.
type key struct {
	object string
	part   int
}

// made is a copy as the core gave it out.
type made struct {
	key
	group int
	typ   *kind
	born  float64
	tag   string
	size  float64 // bytes
}

const ranks = 4

// store keeps copies in bounded room: what was ranked lowest goes first, then what was used longest ago, and nothing
// goes for a copy of lower rank.
type store struct {
	room, used float64
	all        map[key]*list.Element
	order      [ranks]list.List // the last used first
}

type kept struct {
	made
	rank int
}

func newStore(room float64) *store { return &store{room: room, all: map[key]*list.Element{}} }

// get finds a copy born no earlier than asked, and counts it as used.
func (s *store) get(k key, least float64) *kept {
	e := s.all[k]
	if e == nil {
		return nil
	}
	c := e.Value.(*kept)
	if c.born < least {
		return nil
	}
	s.order[c.rank].MoveToFront(e)
	return c
}

// put keeps a copy, or lets it pass where there is no room at its rank.
func (s *store) put(m made, rank int) {
	rank = min(max(rank, 0), ranks-1)
	if old := s.all[m.key]; old != nil {
		if old.Value.(*kept).born > m.born {
			return
		}
		s.drop(old)
	}
	free, low := s.room-s.used, 0
	for ; free < m.size && low <= rank; low++ {
		for e := s.order[low].Back(); e != nil && free < m.size; e = e.Prev() {
			free += e.Value.(*kept).size
		}
	}
	if free < m.size {
		return
	}
	for low := 0; s.used+m.size > s.room; {
		if last := s.order[low].Back(); last != nil {
			s.drop(last)
		} else {
			low++
		}
	}
	s.used += m.size
	s.all[m.key] = s.order[rank].PushFront(&kept{made: m, rank: rank})
}

func (s *store) drop(e *list.Element) {
	c := e.Value.(*kept)
	s.order[c.rank].Remove(e)
	delete(s.all, c.key)
	s.used -= c.size
}
