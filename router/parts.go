package router

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
	last   bool    // nothing healthier is left
}

type role int

const (
	edge role = iota
	parent
	origin
)

type standing int

const (
	trusted standing = iota
	aside
	returning
)
