package gateway

import (
	"container/heap"

	"poppymill/internal/caches"
)

// timer is one thing that is due: an alarm of the router's, or the limit of a pull, a probe, a download. Those
// that are no longer needed stay until they come up.
type timer struct {
	at    float64
	token int64
	pull  *pull
	probe *caches.Pull
	dl    *download
}

type timers []timer

func (t timers) Len() int           { return len(t) }
func (t timers) Less(i, j int) bool { return t[i].at < t[j].at }
func (t timers) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *timers) Push(x any)        { *t = append(*t, x.(timer)) }

func (t *timers) Pop() any {
	last := len(*t) - 1
	x := (*t)[last]
	(*t)[last] = timer{}
	*t = (*t)[:last]
	return x
}

func (t *timers) push(x timer) { heap.Push(t, x) }
func (t *timers) pop() timer   { return heap.Pop(t).(timer) }
