package router

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"
)

// ruleModel is a slow, direct form of the rules: it remembers every pull and checks each action against all of them.
type ruleModel struct {
	settings       Settings
	now            float64
	nodeStates     map[string]State
	nodeBooted     map[string]float64
	startLearnedAt map[string]float64 // when this gateway learned of a node's start
	nodeZones      map[string]string
	downloads      map[string]*modelDownload
	pulls          []*modelPull
	purgedAt       map[int64]float64
	violation      string // the first one found
}

// modelDownload is a download that the router must answer, and its pulls.
type modelDownload struct {
	DownloadArrived
	effectClass string
	answered    bool
	pulls       []*modelPull
}

// modelPull is a pull that the router sent.
type modelPull struct {
	Pull
	sentAt               float64
	inFlight, mayHaveRun bool
	answeredFromCopy     bool // answered without its source
	cost, expiresAt      float64
}

// fail records the first violation.
func (m *ruleModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %.1f: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// checkAction checks that the rules allow an action; alarms are collected.
func (m *ruleModel) checkAction(a Action, alarms *[]SetTimer) {
	switch a := a.(type) {
	case SetTimer:
		*alarms = append(*alarms, a)
	case Throttle:
		if d := m.downloads[a.ID]; m.checkFinalAnswer(d, a.ID) && d.effectClass != "retriable" {
			for _, p := range d.pulls {
				if p.mayHaveRun || p.inFlight {
					m.fail("throttled %s, a pull of which may have run", a.ID)
				}
			}
		}
	case Abandon:
		m.checkFinalAnswer(m.downloads[a.ID], a.ID)
	case Pull:
		m.checkPull(a)
	}
}

// checkFinalAnswer checks that a download still needs an answer and marks it as answered.
func (m *ruleModel) checkFinalAnswer(d *modelDownload, id string) bool {
	if d == nil || d.answered || m.now > d.Expiry+20 {
		m.fail("answered %s, which needs no answer or is overdue", id)
		return false
	}
	d.answered = true
	return true
}

// checkPull checks a pull against the rules on repeats, expiry, purges, draining nodes and cold budgets.
func (m *ruleModel) checkPull(a Pull) {
	d := m.downloads[a.ID]
	if d == nil || d.answered || m.now >= d.Expiry || a.Timeout > d.Expiry-m.now+0.001 {
		m.fail("pulled %s, which has ended or expires before the pull", a.ID)
		return
	}
	for _, p := range d.pulls {
		if p.inFlight || p.mayHaveRun && d.effectClass == "non-retriable" {
			m.fail("pulled %s again", a.ID)
		}
		if p.mayHaveRun && d.effectClass == "deduped" &&
			(m.nodeZones[p.Node] != m.nodeZones[a.Node] || m.now >= p.sentAt+5000) {
			m.fail("pulled %s again outside its dedupe group or window", a.ID)
		}
	}
	p := &modelPull{Pull: a, sentAt: m.now, inFlight: true, expiresAt: m.now + a.Timeout,
		cost: 1000 * d.Size / m.settings.num("flow")}
	d.pulls = append(d.pulls, p)
	m.pulls = append(m.pulls, p)
	if at, ok := m.purgedAt[d.Group]; ok && !d.Write && m.now < at+6000 && (a.MaxAge <= 0 || a.MaxAge > m.now-at) {
		m.fail("pull of %s accepts copies of age %v, purged %v ago", a.ID, a.MaxAge, m.now-at)
	}
	for _, id := range []string{a.Node, a.Source} {
		if m.nodeStates[id] != Running {
			m.fail("pull of %s names %s, which is draining or gone", a.ID, id)
		}
		m.checkColdBudget(id)
	}
}

// checkColdBudget sums what a recently started node was asked for in the last window and compares it with its budget.
func (m *ruleModel) checkColdBudget(id string) {
	initialShare, warmTime, multiple, weight := 0.2, 10_000.0, 2.0, 10.0
	if id[0] == 'p' {
		initialShare, weight = 0.1, 20
	}
	age := m.now - m.nodeBooted[id]
	if m.nodeBooted[id] == 0 || age >= warmTime || id == "o" { // the origin is no cache
		return
	}
	requested := 0.0
	for _, p := range m.pulls {
		if p.sentAt > m.now-1000 && p.sentAt >= m.startLearnedAt[id] &&
			(p.Node == id || p.Source == id && !p.answeredFromCopy) {
			requested += p.cost
		}
	}
	if budget := multiple * (initialShare + (1-initialShare)*age/warmTime) * weight * 1000; requested > budget {
		m.fail("cold %s was asked for %.0f ms in a window, its budget is %.0f ms", id, requested, budget)
	}
}

// TestRulesAgainstModel runs random scenarios and checks every action of the router against the model.
func TestRulesAgainstModel(t *testing.T) {
	check := func(seed int64) bool {
		if violation := playRandomDay(seed); violation != "" {
			t.Logf("seed %d: %s", seed, violation)
			return false
		}
		return true
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Error(err)
	}
}

// playRandomDay runs a random scenario of downloads, failures, purges, list changes and restarts, and returns the first
// violation, empty if there is none.
func playRandomDay(seed int64) string {
	random := rand.New(rand.NewSource(seed))
	f := testSettings()
	f["direct"], f["notes"] = random.Intn(2) == 0, []string{"hit", "none"}[random.Intn(2)]
	f["gateways by zone"] = []any{0.0, []any{1.0, 12.0}[random.Intn(2)]} // with several gateways, each asks for what the parent holds
	f["types"], f["target"] = []any{"video", "sale", "order"}, []any{600.0, 800.0, 700.0}
	f["repeat"] = []any{"retriable", "non-retriable", "deduped"}
	f["dedupe group"], f["dedupe window"] = []any{"all", "all", "zone"}, []any{0.0, 0.0, 5000.0}
	m := &ruleModel{settings: f, now: 50_000, nodeStates: map[string]State{}, nodeBooted: map[string]float64{},
		startLearnedAt: map[string]float64{}, nodeZones: map[string]string{}}
	var r *Router
	var alarms []SetTimer
	handle := func(e Event) {
		for _, a := range r.Handle(m.now, e) {
			m.checkAction(a, &alarms)
		}
	}
	list := testFleet()
	list.Entries = append(list.Entries, Entry{Node: "x1", Kind: "box", Zone: "other", Weight: 10})
	f["siblings"] = []string{"none", "any"}[random.Intn(2)]
	start := func() {
		r, alarms, m.downloads, m.purgedAt = New(), nil, map[string]*modelDownload{}, map[int64]float64{}
		for _, p := range m.pulls {
			p.inFlight = false
		}
		handle(Started{Seed: uint64(seed), Settings: f})
		list.Scope = RestoredList
		for _, e := range list.Entries {
			m.nodeStates[e.Node], m.nodeZones[e.Node] = e.State, e.Zone
		}
		handle(list)
	}
	start()
	for step := 0; step < 1500 && m.violation == ""; step++ {
		m.now += float64(random.Intn(200)) / 10
		for due := true; due; { // timers that are due fire before any other event
			due = false
			for i, a := range alarms {
				if a.At <= m.now {
					alarms, due = append(alarms[:i:i], alarms[i+1:]...), true
					handle(TimerFired{Token: a.Token})
					break
				}
			}
		}
		for _, p := range m.pulls {
			if p.inFlight && m.downloads[p.ID] != nil && (m.now >= p.expiresAt || random.Intn(25) == 0) {
				endPull(m, p, handle, random)
			}
		}
		switch random.Intn(40) {
		case 0:
			i := random.Intn(len(list.Entries))
			e := list.Entries[i]
			if e.State = State(random.Intn(3)); e.State == Running && random.Intn(2) == 0 {
				e.StartedAt = m.now - float64(random.Intn(2000))
				m.nodeBooted[e.Node], m.startLearnedAt[e.Node] = e.StartedAt, m.now
			}
			list.Entries[i], m.nodeStates[e.Node] = e, e.State
			handle(NodesListed{Scope: ListChanges, Entries: []Entry{e}})
		case 1:
			group, age := int64(random.Intn(3)), float64(random.Intn(300))
			m.purgedAt[group] = max(m.purgedAt[group], m.now-age)
			handle(Purged{Group: group, Age: age})
		case 2:
			if random.Intn(6) == 0 {
				start()
			}
		default:
			k := random.Intn(3)
			a := DownloadArrived{ID: fmt.Sprint(step, "-", seed), Type: f.textAt("types", k), Object: fmt.Sprint(random.Intn(60)),
				Expiry: m.now + float64(random.Intn(2500)), Size: 500 * float64(k+1), Write: k == 1}
			a.Group = int64(len(a.Object)) // any number that depends only on the object
			m.downloads[a.ID] = &modelDownload{DownloadArrived: a, effectClass: f.textAt("repeat", k)}
			handle(a)
		}
		for _, d := range m.downloads {
			if !d.answered && m.now > d.Expiry+25 {
				m.fail("%s got no answer", d.ID)
			}
		}
	}
	return m.violation
}

// endPull hands over a random end of a pull.
func endPull(m *ruleModel, sent *modelPull, handle func(Event), random *rand.Rand) {
	d := m.downloads[sent.ID]
	e := PullEnded{ID: sent.ID, Status: Status(random.Intn(9)), Duration: m.now - sent.sentAt}
	for i, p := range d.pulls {
		if p == sent {
			e.Pull = i
		}
	}
	if random.Intn(3) > 0 {
		e.Status = Fulfilled
	}
	if m.now >= sent.expiresAt {
		e.Status = TimedOut
	}
	if e.Status == Fulfilled {
		d.answered = true
		if m.settings.text("notes") == "hit" {
			e.AnswerSource = AnswerSource(1 + random.Intn(2))
			sent.answeredFromCopy = e.AnswerSource == Hit
		}
	}
	sent.inFlight, e.DownloadDone = false, d.answered
	sent.mayHaveRun = e.Status != Rejected && e.Status != NotConnected && e.Status != NeverSent && e.Status != Missed
	handle(e)
}

// TestManyGatewaysShareAColdParent sums what all gateways together request of a parent that has just started, where the
// share of each is less than one pull: never more than its budget, and more than nothing.
func TestManyGatewaysShareAColdParent(t *testing.T) {
	check := func(seed int64) bool {
		random := rand.New(rand.NewSource(seed))
		m := &ruleModel{settings: testSettings(), now: 100_000, nodeStates: map[string]State{},
			nodeBooted: map[string]float64{"p1": 100_000}, startLearnedAt: map[string]float64{}}
		list := testFleet()
		list.Entries[2].StartedAt = 100_000
		routers := make([]*Router, 50+random.Intn(150))
		for i := range routers {
			f := testSettings()
			f["gateways"], f["number"] = float64(len(routers)), float64(i)
			f["gateways by zone"] = []any{0.0, float64(len(routers) / 5)}
			routers[i] = New()
			routers[i].Handle(0, Started{Seed: uint64(i), Settings: f})
			routers[i].Handle(100_000, list)
		}
		fills := 0
		for step := 0; step < 6000 && m.violation == ""; step++ {
			m.now += 1
			r, a := routers[random.Intn(len(routers))], videoRequest(fmt.Sprint(step))
			a.Object, a.Expiry, a.Size = fmt.Sprint(random.Intn(5000)), m.now+3000, 3000
			for n, e := 0, Event(a); e != nil; n++ {
				pulls := actionsOf[Pull](r.Handle(m.now, e))
				if e = nil; len(pulls) == 0 {
					break
				}
				if p := pulls[0]; p.Source == "p1" {
					fills++
					m.pulls = append(m.pulls, &modelPull{Pull: p, sentAt: m.now, cost: 300})
					m.checkColdBudget("p1")
				}
				e = PullEnded{ID: a.ID, Pull: n, Status: Fulfilled, DownloadDone: true, AnswerSource: FilledBySource}
				if pulls[0].Options&HeldOnly != 0 {
					e = PullEnded{ID: a.ID, Pull: n, Status: Missed}
				}
			}
		}
		if m.violation != "" || fills < 10 {
			t.Logf("%d gateways: %d fills of the cold parent, want at least 10; %s", len(routers), fills, m.violation)
		}
		return m.violation == "" && fills >= 10
	}
	if err := quick.Check(check, &quick.Config{MaxCount: 5, Rand: rand.New(rand.NewSource(5))}); err != nil {
		t.Error(err)
	}
}
