package links

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// digest names texts by a keyed hash, so that nobody outside can choose two that meet.
func digest(key []byte, words ...string) (d [16]byte) {
	h := hmac.New(sha256.New, key)
	for _, w := range words {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(w))))
		h.Write([]byte(w))
	}
	copy(d[:], h.Sum(nil))
	return d
}

func place(d [16]byte, groups int) int { return int(binary.BigEndian.Uint64(d[:8]) % uint64(groups)) }

// spent remembers what was used up until it expires, in memory that is given at the start whatever arrives. Its slots stand
// in groups; what has expired is free. No chain of slots is followed past a group, so no one token costs more than its
// group, and a full group is told as such: nothing that is still in force is ever pushed out.
type spent struct {
	slots []slot
	used  int // for people: those that were in force when last counted
}

type slot struct {
	key     [16]byte
	expires uint32 // s of Unix time, rounded up
	uses    uint16
}

const (
	slotBytes = 24
	group     = 32
)

func newSpent(bytes int) *spent {
	return &spent{slots: make([]slot, max(1, bytes/slotBytes/group)*group)}
}

// use counts one more use of a key; false: there is no room to remember it.
func (s *spent) use(key [16]byte, now, expires float64, most uint16) (Reason, bool) {
	g := place(key, len(s.slots)/group) * group
	free := -1
	for i := g; i < g+group; i++ {
		x := &s.slots[i]
		if float64(x.expires)*1000 <= now {
			free = i
		} else if x.key == key {
			if x.uses >= most {
				return Replayed, false
			}
			x.uses++
			return Admitted, true
		}
	}
	if free < 0 {
		return NoMemory, false
	}
	s.slots[free] = slot{key: key, expires: uint32(min(float64(^uint32(0)), expires/1000+1)), uses: 1}
	return Admitted, true
}

// release takes one use back: what it was for is known not to have run.
func (s *spent) release(key [16]byte) {
	g := place(key, len(s.slots)/group) * group
	for i := g; i < g+group; i++ {
		if x := &s.slots[i]; x.key == key && x.uses > 0 {
			if x.uses--; x.uses == 0 {
				*x = slot{}
			}
			return
		}
	}
}

// known is a token that was found good, so that a video's parts don't pay for its signature again.
type known struct {
	key    [16]byte
	kid    string
	claims Claims
	match  func(uri string) bool
	client func(source string) bool
	used   float64
	token  string // its successor, once there is one
	from   string // the key that signed the successor
	issued bool
}

// goods are known tokens, in groups of which the longest unused goes. A bounded number, each of a bounded size.
type goods struct{ all [][]known }

const (
	goodBytes = mostToken + 1024
	goodGroup = 8
)

func newGoods(bytes int) *goods {
	return &goods{all: make([][]known, max(1, bytes/goodBytes/goodGroup))}
}

func (g *goods) get(key [16]byte, now float64) *known {
	all := g.all[place(key, len(g.all))]
	for i := range all {
		if all[i].key == key {
			all[i].used = now
			return &all[i]
		}
	}
	return nil
}

func (g *goods) put(k known) *known {
	at := &g.all[place(k.key, len(g.all))]
	if len(*at) < goodGroup {
		*at = append(*at, k)
		return &(*at)[len(*at)-1]
	}
	oldest := &(*at)[0]
	for i := range *at {
		if (*at)[i].used < oldest.used {
			oldest = &(*at)[i]
		}
	}
	*oldest = k
	return oldest
}

// allowance bounds how many signatures are checked: by source, and for all sources alike that have not shown a good one
// lately, so that a flood of forgeries leaves room for those who have.
type allowance struct {
	each, all       float64 // a second
	sources         [1024]bucket
	unknown, proven bucket
}

type bucket struct{ spent, at, good float64 }

// provenFor is for how long a source counts as one that showed a good signature, in ms.
const provenFor = 600_000.0

// take takes one check out of a bucket that fills at a rate and holds a second of it.
func (b *bucket) take(now, rate float64) bool {
	b.spent = max(0, b.spent-max(0, now-b.at)*rate/1000)
	b.at = max(b.at, now)
	if b.spent+1 > max(1, rate) {
		return false
	}
	b.spent++
	return true
}

func (a *allowance) source(d [16]byte) *bucket { return &a.sources[place(d, len(a.sources))] }

func (a *allowance) check(source *bucket, now float64) bool {
	from := &a.unknown
	if source.good > 0 && now < source.good+provenFor {
		from = &a.proven
	}
	return source.take(now, a.each) && from.take(now, a.all)
}
