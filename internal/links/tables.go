package links

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
)

// digest returns a keyed hash of the parts. With a secret key nobody outside can choose parts whose hashes collide.
func digest(key []byte, parts ...string) (d [16]byte) {
	h := hmac.New(sha256.New, key)
	for _, p := range parts {
		h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(p))))
		h.Write([]byte(p))
	}
	copy(d[:], h.Sum(nil))
	return d
}

// groupIndex maps a digest to one of several groups.
func groupIndex(d [16]byte, groups int) int {
	return int(binary.BigEndian.Uint64(d[:8]) % uint64(groups))
}

// replayTable remembers spent tokens until they expire. Its memory is allocated at the start and never grows, whatever
// arrives. The slots are divided into groups, and the slots of expired entries are free. A lookup never probes beyond its
// group, so no token costs more than one group. A full group is reported: an entry that has not expired is never evicted.
type replayTable struct {
	slots      []replaySlot
	incomplete map[int]float64 // by group: Unix ms until which an entry that found no slot would last; bounded by the groups
}

type replaySlot struct {
	key     [16]byte
	expires uint32 // Unix time in s, rounded up
	uses    uint16
}

const (
	replaySlotBytes = 24
	groupSlots      = 32
)

func newReplayTable(bytes int) *replayTable {
	return &replayTable{slots: make([]replaySlot, max(1, bytes/replaySlotBytes/groupSlots)*groupSlots), incomplete: map[int]float64{}}
}

// restore enters a key that was used up before the start. If its group has no free slot, the group takes no new key until
// the entry would have expired: a key that is missing there may be this one.
func (t *replayTable) restore(key [16]byte, now, expires float64) {
	if reason, ok := t.use(key, now, expires, 1); ok || reason == Replayed {
		return
	}
	group := groupIndex(key, len(t.slots)/groupSlots)
	t.incomplete[group] = max(t.incomplete[group], expires)
}

// use counts one more use of a key, up to maxUses. It returns false with Replayed if the key has no uses left, and with
// ReplayTableFull if its group has no free slot.
func (t *replayTable) use(key [16]byte, now, expires float64, maxUses uint16) (Reason, bool) {
	group := groupIndex(key, len(t.slots)/groupSlots)
	first := group * groupSlots
	free := -1
	for i := first; i < first+groupSlots; i++ {
		slot := &t.slots[i]
		if float64(slot.expires)*1000 <= now {
			free = i
		} else if slot.key == key {
			if slot.uses >= maxUses {
				return Replayed, false
			}
			slot.uses++
			return Admitted, true
		}
	}
	if free < 0 || now < t.incomplete[group] {
		return ReplayTableFull, false
	}
	t.slots[free] = replaySlot{key: key, expires: uint32(min(float64(^uint32(0)), expires/1000+1)), uses: 1}
	return Admitted, true
}

// release takes one use back, after a download that is known not to have run.
func (t *replayTable) release(key [16]byte) {
	first := groupIndex(key, len(t.slots)/groupSlots) * groupSlots
	for i := first; i < first+groupSlots; i++ {
		if slot := &t.slots[i]; slot.key == key && slot.uses > 0 {
			if slot.uses--; slot.uses == 0 {
				*slot = replaySlot{}
			}
			return
		}
	}
}

// cachedToken is a verified token. It is cached so that the parts of one video need a single signature check.
type cachedToken struct {
	key          [16]byte
	kid          string
	claims       Claims
	matchURI     func(uri string) bool
	matchClient  func(source string) bool
	lastUsed     float64
	successor    string // the successor token, once hasSuccessor is set
	successorKey string // id of the key that signed the successor
	hasSuccessor bool
}

// tokenCache holds verified tokens in groups. A full group evicts its least recently used token. The number of tokens and
// the size of each are bounded.
type tokenCache struct{ groups [][]cachedToken }

const (
	cachedTokenBytes = maxTokenBytes + 1024
	cacheGroupSize   = 8
)

func newTokenCache(bytes int) *tokenCache {
	return &tokenCache{groups: make([][]cachedToken, max(1, bytes/cachedTokenBytes/cacheGroupSize))}
}

func (c *tokenCache) get(key [16]byte, now float64) *cachedToken {
	group := c.groups[groupIndex(key, len(c.groups))]
	for i := range group {
		if group[i].key == key {
			group[i].lastUsed = now
			return &group[i]
		}
	}
	return nil
}

func (c *tokenCache) put(k cachedToken) *cachedToken {
	group := &c.groups[groupIndex(k.key, len(c.groups))]
	if len(*group) < cacheGroupSize {
		*group = append(*group, k)
		return &(*group)[len(*group)-1]
	}
	oldest := &(*group)[0]
	for i := range *group {
		if (*group)[i].lastUsed < oldest.lastUsed {
			oldest = &(*group)[i]
		}
	}
	*oldest = k
	return oldest
}

// checkLimiter limits the rate of signature checks, per source and in total. Sources that recently showed a good signature
// have a total of their own, so that a flood of forgeries from other sources leaves room for them.
type checkLimiter struct {
	perSource, total float64 // checks per second
	sources          [1024]bucket
	unproven, proven bucket
}

// bucket is a leaky bucket: level is its fill at the time updated.
type bucket struct {
	level, updated float64
	lastGood       float64 // when the source last showed a good signature
}

// provenMillis is how long a source counts as proven after a good signature.
const provenMillis = 600_000.0

// take counts one check if the bucket has room. The bucket drains at rate per second and holds one second's worth.
func (b *bucket) take(now, rate float64) bool {
	b.level = max(0, b.level-max(0, now-b.updated)*rate/1000)
	b.updated = max(b.updated, now)
	if b.level+1 > max(1, rate) {
		return false
	}
	b.level++
	return true
}

func (l *checkLimiter) source(d [16]byte) *bucket { return &l.sources[groupIndex(d, len(l.sources))] }

// allow reports whether one more signature from the source may be checked now, and counts it.
func (l *checkLimiter) allow(source *bucket, now float64) bool {
	shared := &l.unproven
	if source.lastGood > 0 && now < source.lastGood+provenMillis {
		shared = &l.proven
	}
	return source.take(now, l.perSource) && shared.take(now, l.total)
}
