package purges

// View is what one gateway goes by as it asks and answers: the bounds that it was handed, and how long it may go by them alone.
type View struct {
	Shelf  *Shelf
	Club   string
	Delay  float64 // ms after which what is not known of binds; 0: nothing does, as this gateway takes no part
	Skew   float64
	Blinds int // how often it had to do without knowing all
}

// inTime is the part of the delay after which a gateway that can't hear takes older copies for purged: the rest is for an answer's way.
const inTime = 0.75

// Oldest is from which birth on a copy does for a download, at a time, where all is known that was agreed before another; 0: any does. Where a
// purge only makes copies stale, all but the first pull take what there is.
func (v *View) Oldest(now, known float64, object string, group int64, first bool) float64 {
	hard, soft := v.Shelf.Bound(v.Club, object, group)
	if v.Delay > 0 && now-known > inTime*v.Delay {
		// A purge that was accepted since it last knew, and binds by now, was accepted that long ago: what was born after that is not of it.
		hard = max(hard, now-inTime*v.Delay+v.Skew)
		v.Blinds++
	}
	if first {
		return max(hard, soft)
	}
	return hard
}
