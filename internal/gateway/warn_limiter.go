package gateway

import (
	"sync"

	"github.com/sirupsen/logrus"
)

// maxLinesPerSecond limits the log lines that remote peers can cause; suppressed lines are counted.
const maxLinesPerSecond = 5

// warnLimiter rate-limits log lines that remote peers cause. A flood of bad requests must not become a flood of log
// lines, which cost more than the requests themselves.
type warnLimiter struct {
	log         logrus.FieldLogger
	mu          sync.Mutex
	windowStart float64
	lines       int
	suppressed  int
}

// Warn logs a line, or counts it as suppressed; the next line that is written carries the count.
func (l *warnLimiter) Warn(now float64, text string, err error) {
	l.mu.Lock()
	if now >= l.windowStart+1000 {
		l.windowStart, l.lines = now, 0
	}
	if l.lines++; l.lines > maxLinesPerSecond {
		l.suppressed++
		l.mu.Unlock()
		return
	}
	suppressed := l.suppressed
	l.suppressed = 0
	l.mu.Unlock()
	log := l.log.WithError(err)
	if suppressed > 0 {
		log = log.WithField("left out", suppressed)
	}
	log.Warn(text)
}
