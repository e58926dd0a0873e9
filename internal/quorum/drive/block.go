package drive

import (
	"errors"
	"fmt"
	"net"
	"time"

	"poppymill/internal/operator"
	"poppymill/internal/quorum"
)

// Block is what an operator says of the agreement among gateways; off unless it stands in the file.
type Block struct {
	On       bool
	Listen   string // for peers; a private address, as peers speak plain frames
	Store    string // folder; empty: this gateway only follows
	Settings quorum.Settings
}

// Fields are those of the block quorum.
func (b *Block) Fields() []operator.Field {
	b.On, b.Settings = true, quorum.Defaults()
	s := &b.Settings
	s.Peers = map[string]string{}
	return []operator.Field{
		operator.Must("listen", operator.Text(&b.Listen)),
		operator.Attr("address", operator.Text(&s.Address)),
		operator.Attr("store", operator.Text(&b.Store)),
		operator.Attr("founders", operator.Texts(&s.Founders)),
		operator.Attr("beat", operator.Span(&s.Beat, 5*time.Millisecond, 10*time.Second)),
		operator.Attr("election", operator.Span(&s.Election, 50*time.Millisecond, time.Minute)),
		operator.Attr("lease", operator.Span(&s.Lease, 100*time.Millisecond, 10*time.Minute)),
		operator.Attr("slow_disk", operator.Span(&s.SlowDisk, time.Millisecond, time.Minute)),
		operator.Attr("replace", operator.Span(&s.Replace, 0, 24*time.Hour)),
		operator.Attr("votes", operator.Whole(&s.Votes, 1, 7)),
		operator.Attr("keep", operator.Whole(&s.Keep, 16, 1_000_000)),
		operator.Attr("members", operator.Whole(&s.Members, 3, 5000)),
		operator.Block("peer", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			if _, twice := s.Peers[labels[0]]; twice {
				return nil, errors.New("stands twice")
			}
			address := ""
			s.Peers[labels[0]] = ""
			return []operator.Field{operator.Must("address", operator.Text(&address)), operator.Check(func() error {
				if _, _, err := net.SplitHostPort(address); err != nil {
					return fmt.Errorf("address: %w", err)
				}
				s.Peers[labels[0]] = address
				return nil
			})}, nil
		}),
		operator.Check(b.check),
	}
}

func (b *Block) check() error {
	s := b.Settings
	switch n := len(s.Founders); {
	case n != 0 && n != 1 && n != 3 && n != 5 && n != 7:
		return fmt.Errorf("founders: %d of them; 1, 3, 5 or 7 can vote", n)
	case s.Votes != 0 && s.Votes%2 == 0:
		return fmt.Errorf("votes: %d of them; 1, 3, 5 or 7 can vote", s.Votes)
	case s.Election < 5*s.Beat:
		return errors.New("election: must be at least five beats")
	case s.Lease < 2*s.Election:
		return errors.New("lease: must be at least two elections, or a change of leader would look like a loss")
	case len(s.Peers) == 0 && n > 1:
		return errors.New("peer: none is named, and founders are several")
	}
	host, _, err := net.SplitHostPort(b.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if ip := net.ParseIP(host); s.Address == "" && (host == "" || ip != nil && ip.IsUnspecified()) {
		return fmt.Errorf("address: missing, and listen %q tells peers no place to reach this gateway", b.Listen)
	}
	return nil
}
