package world

import "slices"

// station shares a capacity among jobs: cores among downloads, a link among transfers. Jobs in service share alike, none
// gets more than the most for one; past the slots they wait in their order.
type station struct {
	agenda         *Agenda
	now            func() float64
	capacity, most float64 // work a ms: of all, of one
	crowded        float64 // how much of the capacity each multiple of it that is open costs
	slots          int     // 0: no bound
	done           float64 // work that each job in service since the start would have got
	since          float64
	serving        entries // by when they are done, as a value of done
	waiting        []*job
	timer          *Entry
	made           uint64
}

type job struct {
	Entry
	work float64
	over bool // it was called off
}

func newStation(a *Agenda, now func() float64, capacity, most float64, slots int) *station {
	s := &station{agenda: a, now: now, capacity: capacity, most: most, slots: slots, since: now()}
	s.timer = &Entry{place: -1, do: s.due}
	return s
}

// pace is what one job gets.
func (s *station) pace() float64 {
	n := float64(len(s.serving))
	if n == 0 {
		return 0
	}
	whole := s.capacity
	if s.crowded > 0 && whole > 0 {
		whole /= 1 + s.crowded*max(0, (n+float64(len(s.waiting)))*s.most/whole-1)
	}
	return min(s.most, whole/n)
}

func (s *station) advance() {
	now := s.now()
	s.done += (now - s.since) * s.pace()
	s.since = now
}

// open counts the jobs.
func (s *station) open() int { return len(s.serving) + len(s.waiting) }

// add begins a job; done is called when its work is done.
func (s *station) add(work float64, done func()) *job {
	s.advance()
	j := &job{work: max(work, 1e-6)}
	j.do = done
	j.place = -1
	if s.slots > 0 && len(s.serving) >= s.slots {
		s.waiting = append(s.waiting, j)
	} else {
		s.begin(j)
	}
	s.reset()
	return j
}

func (s *station) begin(j *job) {
	s.made++
	j.at, j.made = s.done+j.work, s.made
	push(&s.serving, &j.Entry)
}

// remove calls a job off.
func (s *station) remove(j *job) {
	if j == nil || j.over {
		return
	}
	s.advance()
	j.over = true
	if j.place >= 0 {
		drop(&s.serving, &j.Entry)
	} else if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.fill()
	s.reset()
}

// fill brings what waits into service.
func (s *station) fill() {
	for len(s.waiting) > 0 && len(s.serving) < s.slots {
		s.begin(s.waiting[0])
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
}

// set changes the capacity; what is under way goes on at the new pace.
func (s *station) set(capacity, most float64) {
	s.advance()
	s.capacity, s.most = capacity, most
	s.reset()
}

// clear calls all off.
func (s *station) clear() {
	s.advance()
	for _, e := range s.serving {
		e.place = -1
	}
	s.serving, s.waiting = nil, nil
	s.reset()
}

func (s *station) reset() {
	if pace := s.pace(); pace > 0 {
		s.agenda.Move(s.timer, s.now()+max(0, s.serving[0].at-s.done)/pace)
	} else {
		s.agenda.Remove(s.timer)
	}
}

func (s *station) due() {
	s.advance()
	var over []func()
	// What is left of a job may be less than the clock can tell apart from nothing, and would be due for ever.
	for len(s.serving) > 0 && s.serving[0].at <= s.done+1e-9*(1+s.done) {
		over = append(over, s.serving[0].do)
		drop(&s.serving, s.serving[0])
	}
	s.fill()
	s.reset()
	for _, do := range over {
		do()
	}
}
