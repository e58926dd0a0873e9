package world

import "slices"

// sharedResource divides a capacity among jobs (processor sharing): cores among downloads, a link among transfers. Jobs in
// service get equal shares, limited to maxPerJob each; jobs beyond the slots wait in FIFO order.
type sharedResource struct {
	queue               *EventQueue
	now                 func() float64
	capacity, maxPerJob float64 // work per ms: of all jobs, of one job
	crowding            float64 // relative loss of capacity for each multiple of it that is requested
	slots               int     // 0: unlimited
	workPerJob          float64 // cumulative work that a job in service since the start would have received
	updatedAt           float64
	serving             entries // ordered by the value of workPerJob at which they complete
	waiting             []*job
	timer               *Entry
	sequence            uint64
}

type job struct {
	Entry
	work    float64
	removed bool // it was cancelled
}

func newSharedResource(a *EventQueue, now func() float64, capacity, maxPerJob float64, slots int) *sharedResource {
	s := &sharedResource{queue: a, now: now, capacity: capacity, maxPerJob: maxPerJob, slots: slots, updatedAt: now()}
	s.timer = &Entry{index: -1, run: s.completeDue}
	return s
}

// ratePerJob is the work per ms that each job gets.
func (s *sharedResource) ratePerJob() float64 {
	n := float64(len(s.serving))
	if n == 0 {
		return 0
	}
	capacity := s.capacity
	if s.crowding > 0 && capacity > 0 {
		capacity /= 1 + s.crowding*max(0, (n+float64(len(s.waiting)))*s.maxPerJob/capacity-1)
	}
	return min(s.maxPerJob, capacity/n)
}

func (s *sharedResource) advance() {
	now := s.now()
	s.workPerJob += (now - s.updatedAt) * s.ratePerJob()
	s.updatedAt = now
}

// jobCount counts the jobs in service and waiting.
func (s *sharedResource) jobCount() int { return len(s.serving) + len(s.waiting) }

// add starts a job; done is called when its work is complete.
func (s *sharedResource) add(work float64, done func()) *job {
	s.advance()
	j := &job{work: max(work, 1e-6)}
	j.run = done
	j.index = -1
	if s.slots > 0 && len(s.serving) >= s.slots {
		s.waiting = append(s.waiting, j)
	} else {
		s.serve(j)
	}
	s.reschedule()
	return j
}

func (s *sharedResource) serve(j *job) {
	s.sequence++
	j.at, j.sequence = s.workPerJob+j.work, s.sequence
	pushEntry(&s.serving, &j.Entry)
}

// remove cancels a job.
func (s *sharedResource) remove(j *job) {
	if j == nil || j.removed {
		return
	}
	s.advance()
	j.removed = true
	if j.index >= 0 {
		removeEntry(&s.serving, &j.Entry)
	} else if i := slices.Index(s.waiting, j); i >= 0 {
		s.waiting = slices.Delete(s.waiting, i, i+1)
	}
	s.admitWaiting()
	s.reschedule()
}

// admitWaiting moves waiting jobs into free slots.
func (s *sharedResource) admitWaiting() {
	for len(s.waiting) > 0 && len(s.serving) < s.slots {
		s.serve(s.waiting[0])
		s.waiting = slices.Delete(s.waiting, 0, 1)
	}
}

// setCapacity changes the capacity; jobs in service continue at the new rate.
func (s *sharedResource) setCapacity(capacity, maxPerJob float64) {
	s.advance()
	s.capacity, s.maxPerJob = capacity, maxPerJob
	s.reschedule()
}

// clear cancels all jobs.
func (s *sharedResource) clear() {
	s.advance()
	for _, e := range s.serving {
		e.index = -1
	}
	s.serving, s.waiting = nil, nil
	s.reschedule()
}

func (s *sharedResource) reschedule() {
	if rate := s.ratePerJob(); rate > 0 {
		s.queue.Move(s.timer, s.now()+max(0, s.serving[0].at-s.workPerJob)/rate)
	} else {
		s.queue.Remove(s.timer)
	}
}

func (s *sharedResource) completeDue() {
	s.advance()
	var completed []func()
	// A remainder below the resolution of the clock would otherwise be due forever.
	for len(s.serving) > 0 && s.serving[0].at <= s.workPerJob+1e-9*(1+s.workPerJob) {
		completed = append(completed, s.serving[0].run)
		removeEntry(&s.serving, s.serving[0])
	}
	s.admitWaiting()
	s.reschedule()
	for _, do := range completed {
		do()
	}
}
