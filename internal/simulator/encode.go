package simulator

import (
	"bufio"
	"fmt"
	"strconv"
	"strings"

	"poppymill/router"
)

// message is one message of a reply, a line that is built field by field.
type message []byte

func (m message) word(s string) message {
	if s == "" {
		s = "-"
	}
	return append(append(m, ' '), s...)
}

func (m message) number(n float64) message {
	return strconv.AppendFloat(append(m, ' '), n, 'f', 3, 64)
}

func (m message) integer(n int64) message {
	return strconv.AppendInt(append(m, ' '), n, 10)
}

// encode writes an action as one message.
func encode(out *bufio.Writer, action router.Action) error {
	m := message(out.AvailableBuffer())
	switch a := action.(type) {
	case router.Pull:
		if a.Source == "" {
			m = append(m, "ATTEMPT"...).word(a.ID).word(a.Node).number(a.Timeout)
			break
		}
		m = append(m, "PULL_VIA"...).word(a.ID).number(a.Timeout).word(a.Source)
		m = m.integer(int64(a.Options)).integer(int64(a.Rank)).word(a.Node).number(a.MaxAge)
	case router.Throttle:
		m = append(m, "OVERLOAD_REPLY"...).word(a.ID).number(a.Wait)
	case router.Abandon:
		m = append(m, "FINISH_ERROR"...).word(a.ID)
	case router.CancelPull:
		m = append(m, "ABORT_ATTEMPT"...).word(a.ID).integer(int64(a.Pull))
	case router.Probe:
		m = append(m, "TEST"...).word(a.Node)
	case router.SetTimer:
		m = append(m, "SET_ALARM"...).number(a.At).integer(a.Token)
	case router.WatchNodes:
		m = append(m, "WATCH 1"...)
	case router.Log:
		m = append(m, "JOURNAL_LINE "...)
		m = append(m, strings.Join(strings.Fields(a.Text), " ")...)
	default:
		return fmt.Errorf("no protocol message for action %T", a)
	}
	_, err := out.Write(append(m, '\n'))
	return err
}
