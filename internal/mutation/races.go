package main

// The packages whose tests are run.
const (
	clientsPackage = "./internal/clients"
	cachesPackage  = "./internal/caches"
	channelPackage = "./internal/channel"
	routerPackage  = "./router"
)

// raceFaults undo, one at a time, the fixes for races between concurrent events (docs/notes/crossings.md).
var raceFaults = []fault{
	{"a request read while its connection ends is accepted", "internal/clients/conn.go", "\t\tif c.discarding {\n", "\t\tif false {\n", clientsPackage, "TestRequestReadDuringCloseIsDiscarded"},
	{"after the last response the connection still accepts requests", "internal/clients/conn.go", "\tc.discarding = c.discarding || finished\n", "", clientsPackage, "TestRequestReadDuringCloseIsDiscarded"},
	{"a connection closes with unread bytes", "internal/clients/conn.go", "\t\t\tc.closeGracefully()\n", "\t\t\tc.nc.Close()\n", clientsPackage, "TestUnreadInputDoesNotResetResponse"},
	{"a client that never closes is read from forever", "internal/clients/conn.go", "c.nc.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil || ", "", clientsPackage, "TestLingerIsBounded"},
	{"a connection accepted during shutdown is not told of it", "internal/clients/serve.go", "\t\tc.draining = s.draining\n\t\tif s.discarding {\n", "\t\tif false {\n", clientsPackage, "TestAcceptDuringShutdown"},
	{"one slow request cuts off other responses", "internal/clients/conn.go", "case late && !c.useful && c.parser.Unanswered() == 0:", "case late:", clientsPackage, "TestSlowRequestKeepsOtherResponses"},
	{"a slow request ends the input of its connection while others are open", "internal/clients/conn.go", "replies := c.parser.RefuseUnfinished(now - limit)", "replies := c.parser.RefuseUnfinished(now - limit)\n\t\tc.endInput()", clientsPackage, "TestSlowRequestKeepsOtherResponses"},
	{"a new connection is closed with a complete request open", "internal/clients/conn.go", "late && !c.useful && c.parser.Unanswered() == 0:", "late && !c.useful:", clientsPackage, "TestSweep"},
	{"a connection stops reading before its last response is written", "internal/clients/conn.go", "c.queue, c.writing = nil, len(c.queue) > 0\n", "c.discarding = c.discarding || c.draining && len(c.parser.open) == 0\n\t\tc.queue, c.writing = nil, len(c.queue) > 0\n", clientsPackage, "TestRequestDuringLastResponseIsAnswered"},
	{"a shutdown discards what comes on a connection with open requests", "internal/clients/serve.go", "c.draining, c.completing = true, true }", "c.draining, c.completing, c.discarding = true, true, true }", clientsPackage, "TestRequestDuringLastResponseIsAnswered"},
	{"a slow upload has only the time of an unknown client", "internal/clients/conn.go", "limit = slowRequestTimeout", "limit = requestTimeout", clientsPackage, "TestRequestsDuringSlowUploadAreAnswered"},
	{"calls without an answer are soon given up", "internal/channel/calls.go", "maxCalls      = 5", "maxCalls      = 2", channelPackage, "TestSlowChannelIsHeard"},
	{"the oldest call is given up first", "internal/channel/calls.go", "s.calls[1])\n\t\ts.calls = slices.Delete(s.calls, 1, 2)", "s.calls[0])\n\t\ts.calls = slices.Delete(s.calls, 0, 1)", channelPackage, "TestSlowChannelIsHeard"},
	{"the head of an answer replaces the other calls", "internal/channel/follower.go", "\t\tif e.streaming {\n", "\t\tif true {\n", channelPackage, "TestOnlyStreamReplacesCalls"},
	{"a waiting pull is sent after the end of its download", "internal/gateway/core.go", "\tg.release(d)\n\tg.recallPulls(d)\n", "\tg.release(d)\n", gatewayPackage, "TestNothingSentAfterEnd"},
	{"a retry is sent after its window", "internal/gateway/core.go", "if a.SendWithin > 0 {", "if false {", gatewayPackage, "TestSendWindow"},
	{"the retry window counts from the last pull", "router/router.go", "(a.SendWithin == 0 || remaining < a.SendWithin)", "true", routerPackage, "TestRepeatStaysWithinDedupeWindow"},
	{"a half-written command outlives its download", "internal/caches/pool.go", "case pull.command.state.Load() == stateWriting && pull.conn.wire.Stuck():", "case false:", cachesPackage, "TestRecallWhileStuck"},
	{"each gateway uses the whole budget of a cold cache", "router/router.go", "n.weight * window / max(1, gateways)", "n.weight * window / max(1, 0*gateways)", routerPackage, "TestGatewayGroupKeepsColdBudget"},
	{"a pull waits for a new connection although one is up", "internal/caches/pool.go", "if ready := c.responsive(p, now); best == nil", "if ready := c.responsive(p, now) && false; best == nil", cachesPackage, "TestPrefersConnected"},
	{"pulls waiting for a slow connection stay there", "internal/caches/pool.go", "\t\t\tp.moveQueued(c.node, e.At)\n", "", cachesPackage, "TestPrefersConnected"},
	{"pulls are still sent on a silent connection", "internal/caches/pool.go", "return now-max(oldestSent, c.lastReply) <= cmp.Or(p.meanAnswer, p.limits.AnswerTimeout)", "return now-max(oldestSent, c.lastReply) <= 1e9*cmp.Or(p.meanAnswer, p.limits.AnswerTimeout)", cachesPackage, "TestPrefersConnected"},
	{"the token of a request is not passed on", "internal/gateway/core.go", "if d.idempotencyKey != \"\" {", "if false {", gatewayPackage, "TestPullFields"},
	{"a download that was never sent gets a failure", "internal/gateway/core.go", "!d.answered && len(d.pulls) == 0 {", "!d.answered && len(d.pulls) < 0 {", gatewayPackage, "TestCompetingEnds"},
	{"the flush margin takes up a short expiry", "internal/gateway/serve.go", "min(flushPeriod, wait/4)", "min(flushPeriod, wait)", gatewayPackage, "TestAnswerBy"},
	{"an unknown number of gateways counts as one", "router/router.go", "cmp.Or(r.settings.numAt(\"gateways by zone\", zoneIndex), r.settings.num(\"gateways\"))", "r.settings.numAt(\"gateways by zone\", zoneIndex)", routerPackage, "TestZoneGatewayCount"},
	{"lists of a different length are accepted", "internal/gatewayconfig/config.go", "if l.count != 0 && l.count != len(c.Types) {", "if l.count < 0 {", "./internal/gatewayconfig", "TestParse"},
	{"connections to the previous process are reused", "internal/caches/pool.go", "if n.address != address || n.startedAt != startedAt {", "if false {", gatewayPackage, "TestNodeListOrder"},
	{"waiting pulls are sent to a draining cache", "internal/gateway/channel_events.go", "\tg.withdrawPulls(func(p *pull) bool { return p.node == id || p.source == id })\n", "", gatewayPackage, "TestNodeListOrder"},
}
