package script

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	op "poppymill/internal/operator"
)

func (s *Script) deployment() []op.Field {
	return []op.Field{
		op.Attr("clubs", op.StringList(&s.Clubs)), op.Attr("gateways", op.Int(&s.Gateways, 1, 1000)),
		op.Attr("flow", op.Size(&s.Flow, 1e3, 1e10)), op.Attr("near", op.Duration(&s.Near, 0, time.Second)),
		op.Attr("far", op.Duration(&s.Far, 0, time.Second)), op.Attr("link", op.Size(&s.Link, 1e4, 1e12)),
		op.SingleBlock("box", s.Box.fields), op.SingleBlock("hub", s.Hub.fields),
		op.SingleBlock("core", func() []op.Field {
			c := &s.Core
			return []op.Field{op.Attr("capacity", op.Number(&c.Capacity, 0.1, 1e6)), op.Attr("answers", op.Duration(&c.Latency, 0, time.Minute)),
				op.Attr("crowded", op.Number(&c.Congestion, 0, 100)), op.Attr("stops_at", op.Number(&c.OverloadMultiple, 0, 1000)),
				op.Attr("stops_for", op.Duration(&c.RestartDelay, 0, maxSpan)), op.Attr("stops_push", op.Duration(&c.OverloadWindow, time.Millisecond, maxSpan))}
		}),
		op.SingleBlock("list", func() []op.Field {
			l := &s.List
			return []op.Field{op.Attr("told", op.Duration(&l.AnnounceDelay, 0, maxSpan)), op.Attr("notices", op.Duration(&l.DetectionDelay, 0, maxSpan)),
				op.Attr("purges", op.Duration(&l.PurgeDelay, 0, maxSpan))}
		}),
		op.SingleBlock("rules", func() []op.Field {
			r := &s.Rules
			return []op.Field{op.Attr("drain_grace", op.Duration(&r.DrainGrace, 0, time.Minute)),
				op.Attr("purge_grace", op.Duration(&r.PurgeGrace, 0, time.Minute)), op.Attr("purge_settles", op.Duration(&r.PurgeSettles, 0, maxSpan))}
		}),
		op.SingleBlock("limits", func() []op.Field {
			return []op.Field{op.Attr("memory_mb", op.Int(&s.Limits.MemoryMB, 24, 1<<20)), op.Attr("sockets", op.Int(&s.Limits.Sockets, 64, 1<<20))}
		}),
	}
}

func (b *Box) fields() []op.Field {
	return []op.Field{
		op.Attr("count", op.Int(&b.Count, 1, 10_000)), op.Attr("cores_from", op.Number(&b.Cores[0], 0.1, 1e5)),
		op.Attr("cores_to", op.Number(&b.Cores[1], 0.1, 1e5)), op.Attr("slots", op.Int(&b.Slots, 1, 1e5)),
		op.Attr("queue", op.Int(&b.Queue, 0, 1e5)), op.Attr("store", op.Size(&b.Store, 1, 1e15)),
		op.Attr("cold_share", op.Share(&b.ColdShare)), op.Attr("cold_for", op.Duration(&b.ColdFor, 0, maxSpan)),
		op.Attr("fall_multiple", op.Number(&b.OverloadMultiple, 1, 1e3)), op.Attr("fall_for", op.Duration(&b.OverloadWindow, 100*time.Millisecond, time.Minute)),
		op.Attr("fallen_for", op.Duration(&b.RestartDelay, 0, maxSpan)), op.Attr("fills", op.Int(&b.Fills, 1, 1e5)),
		op.Attr("fill_timeout", op.Duration(&b.FillTimeout, time.Millisecond, time.Minute)),
		op.Attr("report", op.Duration(&b.Report, 10*time.Millisecond, time.Minute)), op.Attr("probe", op.Duration(&b.Probe, 0, time.Second)),
		op.Attr("errors", op.Share(&b.Errs)), op.Attr("held", op.Share(&b.Held)),
		op.Check(func() error {
			if b.Cores[0] > b.Cores[1] {
				return fmt.Errorf("cores_from %v is over cores_to %v", b.Cores[0], b.Cores[1])
			}
			return nil
		}),
	}
}

func (t *Type) fields() []op.Field {
	return []op.Field{
		op.RequiredAttr("share", op.Share(&t.Share)), op.RequiredAttr("work", op.Duration(&t.Work, time.Millisecond, time.Minute)),
		op.Attr("spread", op.Number(&t.Spread, 0, 3)), op.Attr("parts", op.Int(&t.Parts, 1, 1000)), op.Attr("gap", op.Duration(&t.Gap, 0, time.Minute)),
		op.RequiredAttr("target", op.Duration(&t.Target, time.Millisecond, time.Minute)), op.Attr("stretch", op.Number(&t.Stretch, 0, 100)),
		op.RequiredAttr("expiry", op.Duration(&t.Expiry, time.Millisecond, time.Minute)), op.Attr("fresh", op.Duration(&t.Fresh, 0, maxSpan)),
		op.Attr("grace", op.Duration(&t.Grace, 0, maxSpan)), op.Attr("benefit", op.Number(&t.Benefit, 0.001, 1000)),
		op.Attr("late", op.Share(&t.LateBenefit)), op.Attr("repeat", op.OneOf(&t.Repeat, "retriable", "deduped", "non-retriable")),
		op.Attr("scope", op.OneOf(&t.Scope, "all", "zone", "cell")), op.Attr("window", op.Duration(&t.Window, 0, maxSpan)),
		op.Attr("write", op.Bool(&t.Write)), op.Attr("objects", op.Int(&t.Objects, 1, 1e6)), op.Attr("skew", op.Number(&t.Skew, 0, 3)),
		op.Attr("once", op.Share(&t.Once)), op.Attr("local", op.Share(&t.Local)), op.Attr("old_worth", op.Share(&t.StaleBenefit)),
		op.Check(func() error {
			if t.Target > t.Expiry {
				return fmt.Errorf("target of %v ms is past the expiry of %v ms", t.Target, t.Expiry)
			}
			if t.Write && t.Parts > 1 {
				return errors.New("a write has exactly one part")
			}
			return nil
		}),
	}
}

func (c *Clients) fields() []op.Field {
	return []op.Field{op.Attr("retries", op.Int(&c.Retries, 0, 100)), op.Attr("wait", op.Duration(&c.Wait, 0, time.Minute)),
		op.Attr("heeds", op.Share(&c.HonorRetryAfter)), op.Attr("patience_from", op.Number(&c.Patience[0], 0.01, 1)),
		op.Attr("patience_to", op.Number(&c.Patience[1], 0.01, 1)), op.Attr("impatient", op.Share(&c.Impatient)), op.Attr("members", op.StringList(&c.Members)),
		op.Attr("holds", op.Share(&c.Holds)), op.Attr("notices", op.Duration(&c.DetectionDelay, 0, time.Minute)),
		op.Check(func() error {
			if c.Patience[0] > c.Patience[1] {
				return fmt.Errorf("patience_from %v is over patience_to %v", c.Patience[0], c.Patience[1])
			}
			return nil
		})}
}

func (l *Links) fields() []op.Field {
	l.Checks = 1e4
	return []op.Field{op.RequiredAttr("life", op.Duration(&l.Life, time.Second, 24*time.Hour)), op.Attr("renew", op.Duration(&l.Renew, time.Second, 24*time.Hour)),
		op.Attr("doubled", op.Share(&l.Doubled)), op.Attr("boxes", op.Duration(&l.Boxes, time.Second, time.Hour)), op.Attr("checks", op.Number(&l.Checks, 1, 5e4))}
}

func (f *Fair) fields() []op.Field {
	*f = Fair{On: true, Longest: 2000}
	return []op.Field{op.Attr("longest_wait", op.Duration(&f.Longest, 0, 20*time.Second))}
}

func (q *Quorum) fields() []op.Field {
	*q = Quorum{On: true, Voters: 3, Beat: 50, Election: 400, Lease: 1200, Replace: 60_000}
	return []op.Field{op.Attr("voters", op.Int(&q.Voters, 1, 7)), op.Attr("beat", op.Duration(&q.Beat, 10*time.Millisecond, time.Second)),
		op.Attr("election", op.Duration(&q.Election, 50*time.Millisecond, time.Minute)), op.Attr("lease", op.Duration(&q.Lease, 100*time.Millisecond, time.Minute)),
		op.Attr("replace", op.Duration(&q.Replace, time.Second, time.Hour)), op.Attr("warm", op.Int(&q.Warm, 0, 1000))}
}

func (p *Purges) fields() []op.Field {
	*p = Purges{On: true, Delay: 5000, Skew: 100, Batch: 200}
	return []op.Field{op.Attr("delay", op.Duration(&p.Delay, 500*time.Millisecond, time.Hour)), op.Attr("skew", op.Duration(&p.Skew, 0, time.Minute)),
		op.Attr("rate", op.Number(&p.Rate, 0, 1e6)), op.Attr("batch", op.Int(&p.Batch, 1, 8192)), op.Attr("fills", op.Number(&p.Fills, 0, 1e9))}
}

func (j *Job) fields() []op.Field {
	return []op.Field{op.RequiredAttr("at", op.Duration(&j.At, 0, 24*time.Hour)), op.Attr("type", op.OneOf(&j.Type, "safe", "keyed", "unsafe")),
		op.Attr("steps", op.Int(&j.Steps, 1, 100_000)), op.Attr("window", op.Int(&j.Window, 1, 256)), op.Attr("places", op.Int(&j.Places, 0, 1024))}
}

func (p *Phase) fields() []op.Field {
	e := &p.Expect
	return []op.Field{op.RequiredAttr("for", op.Duration(&p.For, 100*time.Millisecond, 24*time.Hour)), op.RequiredAttr("rate", op.Number(&p.Rate, 0, 1e6)),
		op.SingleBlock("expect", func() []op.Field {
			return []op.Field{op.Attr("in_time", op.Share(&e.InTime)), op.Attr("throttled", op.Share(&e.Throttled)),
				op.Attr("core_rate", op.Number(&e.CoreRate, 0, 1e9)), op.Attr("hits", op.Share(&e.Hits)),
				op.Attr("hits_within", op.Duration(&e.HitsWithin, 0, maxSpan)), op.Attr("renewals", op.Share(&e.Renewals)),
				op.Attr("abandoned", op.Share(&e.Abandons))}
		})}
}

func (e *Event) fields() []op.Field {
	return []op.Field{op.RequiredAttr("at", op.Duration(&e.At, 0, 24*time.Hour)), op.Attr("for", op.Duration(&e.Duration, time.Millisecond, 24*time.Hour)),
		op.Attr("every", op.Duration(&e.Every, time.Millisecond, 24*time.Hour)), op.Attr("times", op.Int(&e.Times, 1, 10_000)),
		op.Attr("on", op.OneOf(&e.On, eventTargets[e.Kind]...)), op.Attr("name", op.String(&e.Name)), op.Attr("share", op.Share(&e.Share)),
		op.Attr("count", op.Int(&e.Count, 1, 10_000)), op.Attr("factor", op.Number(&e.Factor, 0.001, 1e4)),
		op.Attr("over", op.Duration(&e.Spread, 0, 24*time.Hour)), op.Attr("same_address", op.Bool(&e.SameAddress)),
		op.Attr("delay", op.Duration(&e.Delay, 0, maxSpan)), op.Attr("groups", op.Int(&e.Groups, 1, 256)), op.Attr("by", op.OneOf(&e.Announcer, "channel", "gateways")), op.Attr("club", op.String(&e.Club)),
		op.Attr("kiosks", op.Int(&e.Kiosks, 1, 10_000)), op.Attr("member", op.String(&e.Member)),
		op.Attr("one_way", op.Bool(&e.OneWay)), op.Attr("disk", op.OneOf(&e.Disk, "kept", "lost", "old")),
		op.Check(e.validate)}
}

// validate checks that an event has all attributes that it needs, and none that would be silently ignored.
func (e *Event) validate() error {
	uses := map[string]string{"slow": "factor", "traffic": "factor", "large": "factor share", "fail": "share", "lose": "share", "cut": "share",
		"once": "share", "lag": "delay", "storm": "kiosks club member", "purge": "share groups by", "replace": "over same_address", "drain": "over",
		"kill": "over disk", "part": "one_way", "restart": "over", "forge": "factor"}
	given := map[string]bool{"factor": e.Factor != 0, "delay": e.Delay != 0, "kiosks": e.Kiosks != 0, "club": e.Club != "",
		"groups": e.Groups != 0, "over": e.Spread != 0, "same_address": e.SameAddress, "member": e.Member != "",
		"one_way": e.OneWay, "disk": e.Disk != "", "by": e.Announcer != ""}
	for _, name := range []string{"factor", "delay", "kiosks", "club", "groups", "over", "same_address", "member", "one_way", "disk", "by"} {
		if given[name] && !slices.Contains(strings.Fields(uses[e.Kind]), name) {
			return fmt.Errorf("%s takes no %s", e.Kind, name)
		}
	}
	switch {
	case slices.Contains(needsDuration, e.Kind) && e.Duration == 0:
		return fmt.Errorf("%s needs for", e.Kind)
	case strings.HasPrefix(uses[e.Kind], "factor") && e.Factor == 0:
		return fmt.Errorf("%s needs factor", e.Kind)
	case slices.Contains([]string{"fail", "lose", "cut", "once", "large"}, e.Kind) && e.Share == 0:
		return fmt.Errorf("%s needs share", e.Kind)
	case e.Kind == "lag" && e.Delay == 0, e.Kind == "storm" && e.Kiosks == 0:
		return fmt.Errorf("%s needs %s", e.Kind, uses[e.Kind])
	case e.Times > 1 && e.Every == 0:
		return errors.New("times needs every")
	case e.Disk != "" && e.On != "gateway":
		return fmt.Errorf("kill takes disk on a gateway, not on %s", e.On)
	case e.Kind == "purge" && (e.Groups == 0) == (e.Share == 0):
		return errors.New("purge needs groups or share")
	}
	return nil
}
