package purges

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
)

// BoundSet is a set of bounds with limited memory. Bounds that do not fit are merged into a bound for every object, which
// purges too much rather than too little.
type BoundSet struct {
	Limit    int                    `cbor:"1,keyasint"`
	Clubs    map[string]*clubBounds `cbor:"2,keyasint"` // by club; the empty name applies to all clubs
	Patterns []pattern              `cbor:"3,keyasint"`
	Floor    float64                `cbor:"4,keyasint"` // bound for every object

	count int // bounds of objects and groups
}

// clubBounds are the object and group bounds of one club.
type clubBounds struct {
	Objects map[string]bound `cbor:"1,keyasint"`
	Groups  map[int64]bound  `cbor:"2,keyasint"`
}

// bound is a pair of minimum creation times. Copies created before Hard are invalid; copies created before Soft are
// stale and are served only where no newer one is available.
type bound struct {
	Hard float64 `cbor:"1,keyasint"`
	Soft float64 `cbor:"2,keyasint"`
}

// pattern is the bound of all objects whose names match a regular expression.
type pattern struct {
	Text  string `cbor:"1,keyasint"`
	Club  string `cbor:"2,keyasint"`
	Bound bound  `cbor:"3,keyasint"`
	re    *regexp.Regexp
}

// Limits on patterns. Each pattern held costs every download a match.
const (
	maxPatterns      = 64
	maxPatternLength = 256
)

// NewBoundSet returns an empty set that keeps up to limit bounds of objects and groups individually.
func NewBoundSet(limit int) *BoundSet {
	return &BoundSet{Limit: limit, Clubs: map[string]*clubBounds{}}
}

// compile compiles a pattern that must match whole names. Package regexp matches in time linear in the length of the
// name, and limits the size of a compiled pattern.
func compile(text string) (*regexp.Regexp, error) {
	if len(text) > maxPatternLength {
		return nil, fmt.Errorf("pattern: %d bytes; %d at most", len(text), maxPatternLength)
	}
	if _, err := regexp.Compile(text); err != nil { // without the anchors first: adding them must not make an invalid pattern valid
		return nil, fmt.Errorf("pattern: %w", err)
	}
	return regexp.Compile(`\A(?:` + text + `)\z`)
}

// raise returns the bound raised to at least the given time: the soft part for stale, the hard part otherwise.
func (b bound) raise(at float64, stale bool) bound {
	if stale {
		b.Soft = max(b.Soft, at)
	} else {
		b.Hard = max(b.Hard, at)
	}
	return b
}

// Put adds a mark. Bounds never decrease, so marks that are duplicated, late or replayed after a restart have no
// effect.
func (s *BoundSet) Put(m Mark) {
	switch {
	case m.AllObjects:
		s.Floor = max(s.Floor, m.At)
		return
	case m.Pattern != "":
		s.putPattern(m)
		return
	}
	h := s.Clubs[m.Club]
	if h == nil {
		h = &clubBounds{Objects: map[string]bound{}, Groups: map[int64]bound{}}
		s.Clubs[m.Club] = h
	}
	if m.Grouped {
		old, known := h.Groups[m.Group]
		if h.Groups[m.Group] = old.raise(m.At, m.Stale); !known {
			s.count++
		}
	} else {
		old, known := h.Objects[m.Object]
		if h.Objects[m.Object] = old.raise(m.At, m.Stale); !known {
			s.count++
		}
	}
	if s.count > s.Limit {
		s.evictOldest()
	}
}

// putPattern adds a mark with a pattern. Past maxPatterns the pattern with the oldest bound is merged into the floor.
func (s *BoundSet) putPattern(m Mark) {
	for i := range s.Patterns {
		if p := &s.Patterns[i]; p.Text == m.Pattern && p.Club == m.Club {
			p.Bound = p.Bound.raise(m.At, m.Stale)
			return
		}
	}
	re, err := compile(m.Pattern)
	if err != nil {
		s.Floor = max(s.Floor, m.At) // patterns are validated on acceptance, so another version of the program accepted this one
		return
	}
	s.Patterns = append(s.Patterns, pattern{Text: m.Pattern, Club: m.Club, Bound: bound{}.raise(m.At, m.Stale), re: re})
	if len(s.Patterns) > maxPatterns {
		old := 0
		for i, p := range s.Patterns {
			if latest(p.Bound) < latest(s.Patterns[old].Bound) {
				old = i
			}
		}
		s.Floor = max(s.Floor, latest(s.Patterns[old].Bound))
		s.Patterns = slices.Delete(s.Patterns, old, old+1)
	}
}

// latest returns the later of the two times of a bound.
func latest(b bound) float64 { return max(b.Hard, b.Soft) }

// evictOldest merges the oldest quarter of the object and group bounds into the floor.
func (s *BoundSet) evictOldest() {
	type entry struct {
		at      float64
		club    string
		object  string
		group   int64
		grouped bool
	}
	var all []entry
	for club, h := range s.Clubs {
		for name, b := range h.Objects {
			all = append(all, entry{at: latest(b), club: club, object: name})
		}
		for g, b := range h.Groups {
			all = append(all, entry{at: latest(b), club: club, group: g, grouped: true})
		}
	}
	slices.SortFunc(all, func(x, y entry) int {
		return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.club, y.club), cmp.Compare(x.object, y.object), cmp.Compare(x.group, y.group))
	})
	for _, x := range all[:max(1, len(all)/4)] {
		if s.Floor = max(s.Floor, x.at); x.grouped {
			delete(s.Clubs[x.club].Groups, x.group)
		} else {
			delete(s.Clubs[x.club].Objects, x.object)
		}
		s.count--
	}
}

// Bound returns the minimum creation times of copies for a download of a club: hard for any copy, soft where a newer
// copy is available; 0 accepts any copy.
func (s *BoundSet) Bound(club, object string, group int64) (hard, soft float64) {
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

// Len returns the number of bounds held individually, patterns included.
func (s *BoundSet) Len() int { return s.count + len(s.Patterns) }

// Marks returns the whole set as marks, for a core that starts with an empty set.
func (s *BoundSet) Marks() (all []Mark) {
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
		all = append(all, Mark{AllObjects: true, At: s.Floor})
	}
	return all
}

// rebuild restores the fields that are not stored, after decoding.
func (s *BoundSet) rebuild() error {
	if s.Clubs == nil {
		return ErrMalformed
	}
	s.count = 0
	for _, h := range s.Clubs {
		if h == nil || h.Objects == nil || h.Groups == nil {
			return ErrMalformed
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
