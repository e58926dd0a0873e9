package main

const (
	door   = "./internal/clients"
	wires  = "./internal/caches"
	policy = "./router"
)

// crossings are the mends of events that cross (docs/notes/crossings.md), each taken out.
var crossings = []fault{
	{"a request read as its connection ends is taken", "internal/clients/serve.go", "\t\tif c.discarding {\n", "\t\tif false {\n", door, "TestRequestReadDuringCloseIsDiscarded"},
	{"the last answer leaves the connection open to requests", "internal/clients/serve.go", "c.discarding = c.discarding || finish", "_ = finish", door, "TestRequestReadDuringCloseIsDiscarded"},
	{"a connection closes over unread bytes", "internal/clients/serve.go", "\t\t\tc.closeGracefully()\n", "\t\t\tc.nc.Close()\n", door, "TestUnreadInputDoesNotResetResponse"},
	{"a client that never closes is read on for good", "internal/clients/serve.go", "c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil || ", "", door, "TestLingerIsBounded"},
	{"what is accepted as the server ends is not told so", "internal/clients/serve.go", "c.draining, c.discarding = s.draining, s.discarding", "c.draining, c.discarding = false, false", door, "TestAcceptDuringShutdown"},
	{"one slow request takes the others' answers along", "internal/clients/serve.go", "case late && !useful:", "case late && (useful || !useful):", door, "TestSlowRequestKeepsOtherResponses"},
	{"what waits is sent after its download's end", "internal/gateway/core.go", "\tg.release(d)\n\tg.recallPulls(d)\n", "\tg.release(d)\n", front, "TestNothingSentAfterEnd"},
	{"a repeat goes out after its window", "internal/gateway/core.go", "if a.Within > 0 {", "if false {", front, "TestSendWindow"},
	{"the window counts from the last pull", "router/router.go", "(a.Within == 0 || remaining < a.Within)", "true", policy, "TestRepeatStaysWithinDedupeWindow"},
	{"half a command goes out after its download's end", "internal/caches/pool.go", "case pull.command.state.Load() == stateWriting && pull.conn.wire.Stuck():", "case false:", wires, "TestRecallWhileStuck"},
	{"each gateway takes a cold cache's budget for its own", "router/router.go", "n.weight * window / max(1, gateways)", "n.weight * window / max(1, 0*gateways)", policy, "TestGatewayGroupKeepsColdBudget"},
	{"a pull waits for a connection beside one that is up", "internal/caches/pool.go", "if ready := c.responsive(p, now); best == nil", "if ready := c.responsive(p, now) && false; best == nil", wires, "TestPrefersConnected"},
	{"what waits for a late connection stays there", "internal/caches/pool.go", "\t\t\tp.moveQueued(c.node, e.At)\n", "", wires, "TestPrefersConnected"},
	{"pulls go on to one that is silent", "internal/caches/pool.go", "return now-max(oldestSent, c.lastReply) <= cmp.Or(p.meanAnswer, p.limits.Answer)", "return now-max(oldestSent, c.lastReply) <= 1e9*cmp.Or(p.meanAnswer, p.limits.Answer)", wires, "TestPrefersConnected"},
	{"a key does not go on", "internal/gateway/core.go", "if d.idempotencyKey != \"\" {", "if false {", front, "TestPullFields"},
	{"what never went out is told that it failed", "internal/gateway/core.go", "!d.answered && len(d.pulls) == 0 {", "!d.answered && len(d.pulls) < 0 {", front, "TestCompetingEnds"},
	{"short expiries are all flush", "internal/gateway/serve.go", "min(flushPeriod, wait/4)", "min(flushPeriod, wait)", front, "TestAnswerBy"},
	{"gateways that are not told count as one", "router/router.go", "cmp.Or(r.settings.numAt(\"gateways by zone\", zoneIndex), r.settings.num(\"gateways\"))", "r.settings.numAt(\"gateways by zone\", zoneIndex)", policy, "TestZoneGatewayCount"},
	{"lists of another length are taken", "internal/footprint/config.go", "if l.count != 0 && l.count != len(c.Types) {", "if l.count < 0 {", "./internal/footprint", "TestParse"},
	{"connections to the process before are used", "internal/caches/pool.go", "if n.address != address || n.startedAt != startedAt {", "if false {", front, "TestNodeListOrder"},
	{"what waits goes to a cache that drains", "internal/gateway/channel_events.go", "\tg.withdrawPulls(func(p *pull) bool { return p.node == id || p.source == id })\n", "", front, "TestNodeListOrder"},
}
