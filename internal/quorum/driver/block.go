package driver

import (
	"errors"
	"fmt"
	"net"
	"time"

	"poppymill/internal/operator"
	"poppymill/internal/quorum"
)

// Block is the block quorum of an operator's file. Without it the gateway takes no part in a replicated log.
type Block struct {
	On       bool
	Listen   string // address for peers; should be private, as frames are not encrypted
	Store    string // directory; empty: this gateway only follows
	Settings quorum.Settings
}

// Fields returns the fields of the block quorum.
func (b *Block) Fields() []operator.Field {
	b.On, b.Settings = true, quorum.Defaults()
	s := &b.Settings
	s.Peers = map[string]string{}
	return []operator.Field{
		operator.RequiredAttr("listen", operator.String(&b.Listen)),
		operator.Attr("address", operator.String(&s.Address)),
		operator.Attr("store", operator.String(&b.Store)),
		operator.Attr("founders", operator.StringList(&s.Founders)),
		operator.Attr("beat", operator.Duration(&s.Heartbeat, 5*time.Millisecond, 10*time.Second)),
		operator.Attr("election", operator.Duration(&s.Election, 50*time.Millisecond, time.Minute)),
		operator.Attr("lease", operator.Duration(&s.Lease, 100*time.Millisecond, 10*time.Minute)),
		operator.Attr("slow_disk", operator.Duration(&s.SlowDisk, time.Millisecond, time.Minute)),
		operator.Attr("replace", operator.Duration(&s.ReplaceAfter, 0, 24*time.Hour)),
		operator.Attr("votes", operator.Int(&s.TargetVoters, 1, 7)),
		operator.Attr("keep", operator.Int(&s.KeepEntries, 16, 1_000_000)),
		operator.Attr("members", operator.Int(&s.MaxMembers, 3, 5000)),
		operator.Block("peer", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			if _, duplicate := s.Peers[labels[0]]; duplicate {
				return nil, errors.New("defined twice")
			}
			address := ""
			s.Peers[labels[0]] = ""
			return []operator.Field{operator.RequiredAttr("address", operator.String(&address)), operator.Check(func() error {
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

// check validates the block as a whole.
func (b *Block) check() error {
	s := b.Settings
	switch n := len(s.Founders); {
	case n != 0 && n != 1 && n != 3 && n != 5 && n != 7:
		return fmt.Errorf("founders: %d given, must be 1, 3, 5 or 7", n)
	case s.TargetVoters != 0 && s.TargetVoters%2 == 0:
		return fmt.Errorf("votes: %d given, must be 1, 3, 5 or 7", s.TargetVoters)
	case s.Election < 5*s.Heartbeat:
		return errors.New("election: must be at least five times beat")
	case s.Lease < 2*s.Election:
		return errors.New("lease: must be at least twice election, or members would be declared silent during a change of leader")
	case len(s.Peers) == 0 && n > 1:
		return errors.New("peer: at least one is required with more than one founder")
	}
	host, _, err := net.SplitHostPort(b.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	if ip := net.ParseIP(host); s.Address == "" && (host == "" || ip != nil && ip.IsUnspecified()) {
		return fmt.Errorf("address: missing, and peers can't connect to the listen address %q", b.Listen)
	}
	return nil
}
