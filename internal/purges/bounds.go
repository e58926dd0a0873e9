package purges

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
)

// Shelf holds bounds in bounded memory. What does not fit becomes a bound for all: too much is purged rather than too little.
type Shelf struct {
	Most     int              `cbor:"1,keyasint"`
	Clubs    map[string]*held `cbor:"2,keyasint"` // by club; empty: of all
	Patterns []pattern        `cbor:"3,keyasint"`
	Floor    float64          `cbor:"4,keyasint"` // of every object

	count int
}

type held struct {
	Objects map[string]bound `cbor:"1,keyasint"`
	Groups  map[int64]bound  `cbor:"2,keyasint"`
}

// bound says which copies don't count, and which don't where a newer one can be had.
type bound struct {
	Hard float64 `cbor:"1,keyasint"`
	Soft float64 `cbor:"2,keyasint"`
}

type pattern struct {
	Text  string `cbor:"1,keyasint"`
	Club  string `cbor:"2,keyasint"`
	Bound bound  `cbor:"3,keyasint"`
	re    *regexp.Regexp
}

// Bounds of patterns: how many are held, as each costs every download a match, and how long one is.
const (
	mostPatterns = 64
	longPattern  = 256
)

// NewShelf makes an empty one.
func NewShelf(most int) *Shelf { return &Shelf{Most: most, Clubs: map[string]*held{}} }

// compile reads a pattern of whole names. The package regexp matches in time linear in the name, and bounds what a pattern may grow to.
func compile(text string) (*regexp.Regexp, error) {
	if len(text) > longPattern {
		return nil, fmt.Errorf("pattern: %d bytes; %d at most", len(text), longPattern)
	}
	if _, err := regexp.Compile(text); err != nil { // as it stands: what is put round it must not mend it
		return nil, fmt.Errorf("pattern: %w", err)
	}
	return regexp.Compile(`\A(?:` + text + `)\z`)
}

func (b bound) with(at float64, stale bool) bound {
	if stale {
		b.Soft = max(b.Soft, at)
	} else {
		b.Hard = max(b.Hard, at)
	}
	return b
}

// Put takes a bound. Bounds only rise, so that what comes twice, late or again after a start changes nothing.
func (s *Shelf) Put(m Mark) {
	switch {
	case m.All:
		s.Floor = max(s.Floor, m.At)
		return
	case m.Pattern != "":
		s.putPattern(m)
		return
	}
	h := s.Clubs[m.Club]
	if h == nil {
		h = &held{Objects: map[string]bound{}, Groups: map[int64]bound{}}
		s.Clubs[m.Club] = h
	}
	if m.Grouped {
		old, known := h.Groups[m.Group]
		if h.Groups[m.Group] = old.with(m.At, m.Stale); !known {
			s.count++
		}
	} else {
		old, known := h.Objects[m.Object]
		if h.Objects[m.Object] = old.with(m.At, m.Stale); !known {
			s.count++
		}
	}
	if s.count > s.Most {
		s.forget()
	}
}

func (s *Shelf) putPattern(m Mark) {
	for i := range s.Patterns {
		if p := &s.Patterns[i]; p.Text == m.Pattern && p.Club == m.Club {
			p.Bound = p.Bound.with(m.At, m.Stale)
			return
		}
	}
	re, err := compile(m.Pattern)
	if err != nil {
		s.Floor = max(s.Floor, m.At) // it was checked before it was accepted: another program's, then
		return
	}
	s.Patterns = append(s.Patterns, pattern{Text: m.Pattern, Club: m.Club, Bound: bound{}.with(m.At, m.Stale), re: re})
	if len(s.Patterns) > mostPatterns {
		old := 0
		for i, p := range s.Patterns {
			if newest(p.Bound) < newest(s.Patterns[old].Bound) {
				old = i
			}
		}
		s.Floor = max(s.Floor, newest(s.Patterns[old].Bound))
		s.Patterns = slices.Delete(s.Patterns, old, old+1)
	}
}

func newest(b bound) float64 { return max(b.Hard, b.Soft) }

// forget makes the oldest quarter a bound for all.
func (s *Shelf) forget() {
	type one struct {
		at     float64
		club   string
		object string
		group  int64
		is     bool // a group
	}
	var all []one
	for club, h := range s.Clubs {
		for name, b := range h.Objects {
			all = append(all, one{at: newest(b), club: club, object: name})
		}
		for g, b := range h.Groups {
			all = append(all, one{at: newest(b), club: club, group: g, is: true})
		}
	}
	slices.SortFunc(all, func(x, y one) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.club, y.club), cmp.Compare(x.object, y.object), cmp.Compare(x.group, y.group))
	})
	for _, x := range all[:max(1, len(all)/4)] {
		if s.Floor = max(s.Floor, x.at); x.is {
			delete(s.Clubs[x.club].Groups, x.group)
		} else {
			delete(s.Clubs[x.club].Objects, x.object)
		}
		s.count--
	}
}

// Bound tells from which birth on copies count for a download at a club, and from which on where a newer one can be had; 0: any does.
func (s *Shelf) Bound(club, object string, group int64) (hard, soft float64) {
	hard = s.Floor
	take := func(b bound) { hard, soft = max(hard, b.Hard), max(soft, b.Soft) }
	for _, c := range [2]string{"", club} {
		if h := s.Clubs[c]; h != nil {
			take(h.Objects[object])
			take(h.Groups[group])
		}
		if club == "" {
			break
		}
	}
	for i := range s.Patterns {
		if p := &s.Patterns[i]; (p.Club == "" || p.Club == club) && (p.Bound.Hard > hard || p.Bound.Soft > max(hard, soft)) && p.re.MatchString(object) {
			take(p.Bound)
		}
	}
	return hard, soft
}

// Len counts what is held one by one.
func (s *Shelf) Len() int { return s.count + len(s.Patterns) }

// Marks are all of it, for one that begins anew.
func (s *Shelf) Marks() (all []Mark) {
	add := func(m Mark, b bound) {
		if m.At = b.Hard; b.Hard > 0 {
			all = append(all, m)
		}
		if m.At, m.Stale = b.Soft, true; b.Soft > 0 {
			all = append(all, m)
		}
	}
	for club, h := range s.Clubs {
		for name, b := range h.Objects {
			add(Mark{Object: name, Club: club}, b)
		}
		for g, b := range h.Groups {
			add(Mark{Group: g, Grouped: true, Club: club}, b)
		}
	}
	for _, p := range s.Patterns {
		add(Mark{Pattern: p.Text, Club: p.Club}, p.Bound)
	}
	if s.Floor > 0 {
		all = append(all, Mark{All: true, At: s.Floor})
	}
	return all
}

// mend makes what is not written down, after it was read.
func (s *Shelf) mend() error {
	if s.Clubs == nil {
		return ErrBad
	}
	s.count = 0
	for _, h := range s.Clubs {
		if h == nil || h.Objects == nil || h.Groups == nil {
			return ErrBad
		}
		s.count += len(h.Objects) + len(h.Groups)
	}
	for i := range s.Patterns {
		re, err := compile(s.Patterns[i].Text)
		if err != nil {
			return err
		}
		s.Patterns[i].re = re
	}
	return nil
}
