package nimbus

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

	"poppymill/router"
)

// line builds one message of a reply.
type line []byte

func (l line) word(s string) line {
	if s == "" {
		s = "-"
	}
	return append(append(l, ' '), s...)
}

func (l line) number(n float64) line {
	return strconv.AppendFloat(append(l, ' '), n, 'f', 3, 64)
}

func (l line) integer(n int64) line {
	return strconv.AppendInt(append(l, ' '), n, 10)
}

func encode(out *bufio.Writer, a router.Action) error {
	l := line(out.AvailableBuffer())
	switch a := a.(type) {
	case router.Pull:
		if a.Source == "" {
			l = append(l, "ATTEMPT"...).word(a.ID).word(a.Node).number(a.Timeout)
			break
		}
		l = append(l, "PULL_VIA"...).word(a.ID).number(a.Timeout).word(a.Source)
		l = l.integer(int64(a.How)).integer(int64(a.Rank)).word(a.Node).number(a.MaxAge)
	case router.Throttle:
		l = append(l, "OVERLOAD_REPLY"...).word(a.ID).number(a.Wait)
	case router.Abandon:
		l = append(l, "FINISH_ERROR"...).word(a.ID)
	case router.CallOff:
		l = append(l, "ABORT_ATTEMPT"...).word(a.ID).integer(int64(a.Pull))
	case router.Probe:
		l = append(l, "TEST"...).word(a.Node)
	case router.Alarm:
		l = append(l, "SET_ALARM"...).number(a.At).integer(a.Token)
	case router.Watch:
		l = append(l, "WATCH 1"...)
	case router.Log:
		l = append(l, "JOURNAL_LINE "...)
		l = append(l, strings.Join(strings.Fields(a.Text), " ")...)
	default:
		return fmt.Errorf("no wire message for %T", a)
	}
	_, err := out.Write(append(l, '\n'))
	return err
}
