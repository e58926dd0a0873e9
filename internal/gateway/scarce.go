package gateway

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// linesMost is how many lines a second others may make a gateway write; what is left out is counted.
const linesMost = 5

// scarce writes lines that others bring about: a flood must not become one of lines, which cost more than what they
// tell of.
type scarce struct {
	log   logrus.FieldLogger
	mu    sync.Mutex
	since float64
	lines int
	left  int
}

// Warn writes a line, or counts it for the next one that is written.
func (s *scarce) Warn(now float64, text string, err error) {
	s.mu.Lock()
	if now >= s.since+1000 {
		s.since, s.lines = now, 0
	}
	if s.lines++; s.lines > linesMost {
		s.left++
		s.mu.Unlock()
		return
	}
	left := s.left
	s.left = 0
	s.mu.Unlock()
	log := s.log.WithError(err)
	if left > 0 {
		log = log.WithField("left out", left)
	}
	log.Warn(text)
}
