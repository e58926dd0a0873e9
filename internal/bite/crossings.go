package main

// The packages whose tests are run.
const (
	clientsPackage = "./internal/clients"
	cachesPackage  = "./internal/caches"
	routerPackage  = "./router"
)

// raceFaults undo, one at a time, the fixes for races between concurrent events (docs/notes/crossings.md).
var raceFaults = []fault{
	{"a request read while its connection ends is accepted", "internal/clients/serve.go", "\t\tif c.shut {\n", "\t\tif false {\n", clientsPackage, "TestReadAsItEnds"},
	{"after the last response the connection still accepts requests", "internal/clients/serve.go", "c.shut = c.shut || finish", "_ = finish", clientsPackage, "TestReadAsItEnds"},
	{"a connection closes with unread bytes", "internal/clients/serve.go", "\t\t\tc.part()\n", "\t\t\tc.nc.Close()\n", clientsPackage, "TestUnreadAsItEnds"},
	{"a client that never closes is read from forever", "internal/clients/serve.go", "c.nc.SetReadDeadline(time.Now().Add(lingerFor)) != nil || ", "", clientsPackage, "TestLingers"},
	{"a connection accepted during shutdown is not told of it", "internal/clients/serve.go", "c.last, c.shut = s.ending, s.over", "c.last, c.shut = false, false", clientsPackage, "TestAcceptedAsItEnds"},
	{"one slow request cuts off other responses", "internal/clients/serve.go", "case late && !useful:", "case late && (useful || !useful):", clientsPackage, "TestSlowBesideOpen"},
	{"a waiting pull is sent after the end of its download", "internal/gateway/core.go", "\tg.owed(d)\n\tg.recall(d)\n", "\tg.owed(d)\n", gatewayPackage, "TestNothingAfterTheEnd"},
	{"a retry is sent after its window", "internal/gateway/core.go", "if a.Within > 0 {", "if false {", gatewayPackage, "TestWithinItsWindow"},
	{"the retry window counts from the last pull", "router/router.go", "(a.Within == 0 || left < a.Within)", "true", routerPackage, "TestWithinTheWindow"},
	{"a half-written command outlives its download", "internal/caches/pool.go", "case q.item.state.Load() == taken && q.link.wire.Stuck():", "case false:", cachesPackage, "TestStuckAndOver"},
	{"each gateway uses the whole budget of a cold cache", "router/router.go", "n.weight * window / max(1, gateways)", "n.weight * window / max(1, 0*gateways)", routerPackage, "TestCrowd"},
	{"a pull waits for a new connection although one is up", "internal/caches/pool.go", "if ready := l.answers(p, now); best == nil", "if ready := l.answers(p, now) && false; best == nil", cachesPackage, "TestUpGoesFirst"},
	{"pulls waiting for a slow connection stay there", "internal/caches/pool.go", "\t\t\tp.gather(l.node, e.At)\n", "", cachesPackage, "TestUpGoesFirst"},
	{"pulls are still sent on a silent connection", "internal/caches/pool.go", "return now-max(first, l.heard) <= cmp.Or(p.usual, p.limits.Answer)", "return now-max(first, l.heard) <= 1e9*cmp.Or(p.usual, p.limits.Answer)", cachesPackage, "TestUpGoesFirst"},
	{"the token of a request is not passed on", "internal/gateway/core.go", "if d.key != \"\" {", "if false {", gatewayPackage, "TestFields"},
	{"a download that was never sent gets a failure", "internal/gateway/core.go", "!d.answered && len(d.pulls) == 0 {", "!d.answered && len(d.pulls) < 0 {", gatewayPackage, "TestEndsThatMeet"},
	{"the flush margin takes up a short expiry", "internal/gateway/serve.go", "min(flushBy, wait/4)", "min(flushBy, wait)", gatewayPackage, "TestAnswerBy"},
	{"an unknown number of gateways counts as one", "router/router.go", "cmp.Or(r.foot.numAt(\"gateways by zone\", here), r.foot.num(\"gateways\"))", "r.foot.numAt(\"gateways by zone\", here)", routerPackage, "TestPeers"},
	{"lists of a different length are accepted", "internal/footprint/config.go", "if l.long != 0 && l.long != len(c.Types) {", "if l.long < 0 {", "./internal/footprint", "TestParse"},
	{"connections to the previous process are reused", "internal/caches/pool.go", "if n.address != address || n.booted != booted {", "if false {", gatewayPackage, "TestListsThatCross"},
	{"waiting pulls are sent to a draining cache", "internal/gateway/news.go", "\tg.withdraw(func(p *pull) bool { return p.node == id || p.source == id })\n", "", gatewayPackage, "TestListsThatCross"},
}
