package purges

// View is one gateway's view of the purges, used to check copies: the bounds received so far, and the delay after which
// it may no longer rely on them alone.
type View struct {
	Bounds      *BoundSet
	Schedule    Schedule // objects that are not published yet
	Club        string
	Delay       float64 // ms within which purges take effect at gateways that cannot receive them; 0: this gateway does not take part
	Skew        float64
	StaleChecks int // number of checks made without up-to-date knowledge of the log
	LateChecks  int // number of checks of objects that are in force before they were published

	skewWindow float64
}

// NewView returns the view of a gateway that knows of no purge yet. A gateway that does not take part trusts older copies
// while it cannot reach the log.
func NewView(club string, limits Limits, takesPart bool) View {
	v := View{Bounds: NewBoundSet(limits.MaxBounds), Club: club, Skew: limits.Skew, skewWindow: limits.skewWindow()}
	if takesPart {
		v.Delay = limits.Delay
	}
	return v
}

// skewWindow is the time, in ms, after the acceptance of a purge during which copies created since then count as new even
// if their creation time is within the skew. A copy that is created at once could not answer otherwise. It allows for a
// clock that is behind and for the response of a slow fill, and ends in time for the delay, also if a newer purge of the
// same object begins another window before the bound of this one is passed.
func (l *Limits) skewWindow() float64 { return min(2*l.Skew+l.Delay/4, blindAfter*l.Delay-l.Skew) }

// adjustForSkew returns the bound that applies at time now.
func (v *View) adjustForSkew(bound, now float64) float64 {
	if accepted := bound - v.Skew; now < accepted+v.skewWindow {
		return accepted
	}
	return bound
}

// blindAfter is the fraction of the delay after which a gateway that cannot reach the log treats older copies as
// purged. The rest allows for the time that a response takes to reach the client.
const blindAfter = 0.75

// Apply applies an update.
func (v *View) Apply(u Update) {
	for _, m := range u.Marks {
		v.Bounds.Put(m)
	}
	if u.Restored {
		v.Schedule = Schedule{}
	}
	for _, purge := range u.Progress {
		v.Schedule.Update(purge)
	}
}

// MinCreated returns the minimum creation time of a copy that may serve a download at time now, given that all log entries
// committed before the time known are applied; 0 accepts any copy. Purges that only mark copies stale bind the first
// pull alone; later pulls accept older copies.
func (v *View) MinCreated(now, known float64, object string, group int64, first bool) float64 {
	hard, soft := v.Bounds.Bound(v.Club, object, group)
	lateHard, lateSoft := v.Schedule.Bound(now, v.Club, object)
	if lateHard > 0 || lateSoft > 0 {
		v.LateChecks++
	}
	hard, soft = v.adjustForSkew(max(hard, lateHard), now), v.adjustForSkew(max(soft, lateSoft), now)
	if v.Delay > 0 && now-known > blindAfter*v.Delay {
		// An unknown purge that must already be in effect was accepted at least this long ago, so copies created later
		// are not affected by it.
		hard = max(hard, now-blindAfter*v.Delay+v.Skew)
		v.StaleChecks++
	}
	if first {
		return max(hard, soft)
	}
	return hard
}
