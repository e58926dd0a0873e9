package operator

import (
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// maxFileBytes limits how much of a file is read, since the path may name any file.
const maxFileBytes = 1 << 20

// Log is the "log" block: level, format and reporting interval of a gateway's log.
type Log struct {
	Level         string  // error, warn, info or debug; empty means info
	Format        string  // text or json; empty means text
	CountersEvery float64 // ms between log lines of counters; 0 means the gateway's default
}

// Fields returns the attributes of the block, which are read into l.
func (l *Log) Fields() []Field {
	return []Field{
		Attr("level", OneOf(&l.Level, "error", "warn", "info", "debug")),
		Attr("format", OneOf(&l.Format, "text", "json")),
		Attr("counters_every", Duration(&l.CountersEvery, time.Second, time.Hour)),
	}
}

// Apply sets the level and format of a logger as the block says.
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

// ReadFile returns the contents of a file; a file larger than 1 MiB is an error.
func ReadFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err == nil && len(text) > maxFileBytes {
		err = fmt.Errorf("%s: more than %d bytes", path, maxFileBytes)
	}
	return text, err
}
