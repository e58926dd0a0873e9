package router

import (
	"cmp"
	"fmt"
	"slices"
)

// The parts' state and the notes they pass; what they do with it stands in router.go.

type part interface{ take(r *Router, n note) }

type topic int

const (
	arrived topic = iota
	offered
	declined
	crowded
	granted
	released
	ended
	overdue
	hung
	erred
	due
	listed
	probed
	learned
	voided
)

// note is what parts tell each other.
type note struct {
	to    part
	topic topic
	pull  *pull
	from  *Node
	event Event
}

type object struct {
	name string
	part int64
}

// pull is one pull of a download: at is the node asked, source fills its misses.
type pull struct {
	dl     *Download
	at     *Node
	source *Node
	out    bool
	may    bool    // it may have run
	blame  float64 // the source's part in a failure
	late   bool    // out past its target time
	sent   float64
	cost   float64 // sending time, of the mean of its type
	hung   bool    // a second copy was sought as it took long
	erred  bool    // it ended with an error that counts against nobody yet
	mute   bool    // its source can't be reached
	ask    bool    // for what the source holds, no more
	last   bool    // nothing healthier is left
}

type role int

const (
	edge role = iota
	parent
	origin
)

// Ways out of the ordinary that a download goes at most once each.
const (
	looked = 1 << iota
	bypassed
	kinned
)

type standing int

const (
	trusted standing = iota
	aside
	returning
)

type Router struct {
	foot     Footprint
	now      float64
	born     float64
	chance   Chance
	peers    float64 // gateways at this location
	queue    []note
	out      []Action
	nodes    map[string]*Node
	all      []*Node // by id, so that no map's order decides
	dls      map[string]*Download
	types    map[string]*Type
	alarms   map[int64]note
	token    int64
	holders  Holders
	purges   Purges
	furthers Ring    // sending time of pulls that were not the first
	volume   Ring    // sending time asked for
	wanted   Ring    // benefit asked for
	fills    Limiter // all fills of this gateway
	asks     Limiter // those for what the source holds
}

// New makes a router that waits for its Started.
func New() *Router {
	return &Router{nodes: map[string]*Node{}, dls: map[string]*Download{}, types: map[string]*Type{},
		alarms: map[int64]note{}, furthers: NewRing(span, buckets),
		volume: NewRing(span, buckets), wanted: NewRing(span, buckets), fills: newLimiter(), asks: newLimiter(), holders: Holders{entries: map[object]*entry{}},
		purges: Purges{at: map[any]float64{}}}
}

// Type is a content type: what may be done with it, and what it was seen to take.
type Type struct {
	name, repeat, scope  string
	window, fresh, grace float64
	target, stretch      float64
	benefit              float64
	quiet                float64 // time to send one at the quietest seen of late
	seen                 int
	write                bool
	count, time          Ring
}

// Download is one request for an object, from its landing to its one final answer.
type Download struct {
	id        string
	typ       *Type
	key       object
	group     int64
	expiry    float64
	landed    float64
	size      float64
	write     bool
	edges     []*Node // in hash order
	parents   []*Node
	pulls     []*pull
	no        []*Node // who declined since the last pull
	last      bool
	asked     bool // the parent for what it holds
	ways      int  // out of the ordinary that it has gone
	done      bool
	streaming bool
	ahead     bool // it fills a cache with what will be asked for
}

// Node is a cache, a parent or the origin. It alone accepts or declines what is offered to it, as a pull's
// target or as the source of its fill, so every rule about nodes has its one gate here.
type Node struct {
	id, kind, zone string
	hash           uint64
	role           role
	state          State
	weight         float64
	cell           int64
	booted         float64
	asked          Limiter // pulls out to it
	good, bad      Ring
	spent          Ring // sending time charged while cold
	took           Ring // sending time fulfilled
	standing       standing
	since          float64
	probes         int
}

func newNode(id string) *Node {
	return &Node{id: id, hash: hash(id), state: Gone, good: NewRing(span, buckets), bad: NewRing(span, buckets),
		took:  NewRing(span, buckets),
		asked: newLimiter()}
}

type Limiter struct {
	out               int
	most, cut         float64
	late, all, failed Ring
}

// Holders is the table of Leave Copy Down: which objects the hashed parent holds, as far as this router saw.
type Holders struct {
	entries map[object]*entry
	order   []*entry // oldest first, with dead ones among them
}

type entry struct {
	key     object
	typ     *Type
	group   int64
	parent  *Node
	at      float64
	heat    Ring
	filling *pull
	took    float64 // that an edge cache last took to send what it held
	made    float64 // when it was put at the end of the order
	used    float64
}

// Purges remembers what may still be held in copies older than a purge.
type Purges struct {
	at map[any]float64 // when the newest purge was, by name of an object or number of a group
}

func (r *Router) post(n note)  { r.queue = append(r.queue, n) }
func (r *Router) do(a Action)  { r.out = append(r.out, a) }
func (r *Router) log(s string) { r.do(Log{Text: s}) }

// both tells the two nodes of a pull, or the one where it has no other source.
func (r *Router) both(n note) {
	n.to = n.pull.at
	r.post(n)
	if n.pull.source != n.pull.at {
		n.to = n.pull.source
		r.post(n)
	}
}

func (r *Router) alarm(at float64, n note) {
	r.token++
	r.alarms[r.token] = n
	r.do(Alarm{At: at, Token: r.token})
}

// asker asks for the list again where a call for it failed.
type asker struct{}

func (asker) take(r *Router, _ note) { r.do(Watch{}) }

func (r *Router) tier(role role, zone string) []*Node {
	var in []*Node
	for _, n := range r.all {
		if n.state != Gone && n.role == role && (zone == "" || n.zone == zone) {
			in = append(in, n)
		}
	}
	return in
}

func (d *Download) waiting() bool {
	return slices.ContainsFunc(d.pulls, func(p *pull) bool { return p.out })
}

// part is a node's in the blame for a failure.
func (p *pull) part(n *Node) float64 {
	if n == p.at {
		return 1 - p.blame
	}
	return p.blame
}

// Beliefs tells what is held of each node listed, by id.
func (r *Router) Beliefs() (all []Belief) {
	for _, n := range r.all {
		all = append(all, Belief{Node: n.id, Out: n.asked.out, Aside: n.standing == aside, Warm: n.warmth(r),
			Good: n.good.Sum(r.now), Bad: n.bad.Sum(r.now), Most: n.asked.most,
			Late: n.asked.late.Sum(r.now), All: n.asked.all.Sum(r.now)})
	}
	return all
}

// Limiters tells how the limiters that belong to no node stand: that of all fills, and that of questions.
func (r *Router) Limiters() (fills, asks Belief) {
	of := func(name string, l *Limiter) Belief {
		return Belief{Node: name, Out: l.out, Most: l.most, Late: l.late.Sum(r.now), All: l.all.Sum(r.now)}
	}
	return of("fills", &r.fills), of("questions", &r.asks)
}

// Hot lists what is asked for most of what an edge cache is the first for, the most first.
func (r *Router) Hot(node string, most int) (all []Wanted) {
	n := r.nodes[node]
	if n == nil || n.state != Running {
		return nil
	}
	type warm struct {
		e    *entry
		heat float64
	}
	var hot []warm
	for _, e := range r.holders.entries {
		if heat := e.heat.Sum(r.now); heat > 0 {
			hot = append(hot, warm{e, heat})
		}
	}
	slices.SortFunc(hot, func(a, b warm) int {
		return cmp.Or(cmp.Compare(b.heat, a.heat), cmp.Compare(a.e.key.name, b.e.key.name), cmp.Compare(a.e.key.part, b.e.key.part))
	})
	tier := r.tier(edge, r.foot.text("zone"))
	for _, x := range hot[:min(len(hot), 4096)] { // ranking is what it costs
		if len(all) == most {
			break
		}
		if r.rank(slices.Clone(tier), hash(x.e.key.name, fmt.Sprint(x.e.key.part)))[0] == n {
			all = append(all, Wanted{Type: x.e.typ.name, Object: x.e.key.name, Part: x.e.key.part, Group: x.e.group})
		}
	}
	return all
}
