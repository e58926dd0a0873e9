package operator

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// mostFile bounds what is read of a file that may be anything.
const mostFile = 1 << 20

// Log is the block log: how a gateway's lines are written.
type Log struct {
	Level  string  // error, warn, info or debug; empty: info
	Format string  // text or json; empty: text
	Every  float64 // ms between lines of counters; 0: the gateway's own
}

// Fields reads the block.
func (l *Log) Fields() []Field {
	return []Field{
		Attr("level", OneOf(&l.Level, "error", "warn", "info", "debug")),
		Attr("format", OneOf(&l.Format, "text", "json")),
		Attr("counters_every", Span(&l.Every, time.Second, time.Hour)),
	}
}

// Apply makes a logger write as the block says.
func (l Log) Apply(log *logrus.Logger) {
	level := logrus.InfoLevel
	if l.Level != "" {
		level, _ = logrus.ParseLevel(l.Level)
	}
	log.SetLevel(level)
	if l.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		log.SetFormatter(&logrus.TextFormatter{})
	}
}

// Read takes a file whole, within a bound.
func Read(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostFile+1))
	if err == nil && len(text) > mostFile {
		err = fmt.Errorf("%s: more than %d bytes", path, mostFile)
	}
	return text, err
}
