package router

import (
	"fmt"
	"math/rand"
	"testing"
	"testing/quick"
)

// model is the rules, plain and slow: it remembers all that was sent and looks through it again each time.
type ruleModel struct {
	settings       Footprint
	now            float64
	nodeStates     map[string]State
	nodeBooted     map[string]float64
	startLearnedAt map[string]float64 // when this gateway heard of a node's start
	nodeZones      map[string]string
	downloads      map[string]*modelDownload
	pulls          []*modelPull
	purgedAt       map[int64]float64
	violation      string
}

type modelDownload struct {
	Arrived
	effectClass string
	answered    bool
	pulls       []*modelPull
}

type modelPull struct {
	Pull
	sentAt               float64
	inFlight, mayHaveRun bool
	answeredFromCopy     bool // answered without its source
	cost, expiresAt      float64
}

func (m *ruleModel) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf("at %.1f: ", m.now) + fmt.Sprintf(format, args...)
	}
}

// act takes one action and says whether the rules allow it.
func (m *ruleModel) checkAction(a Action, alarms *[]Alarm) {
	switch a := a.(type) {
	case Alarm:
		*alarms = append(*alarms, a)
	case Throttle:
		if o := m.downloads[a.ID]; m.checkFinalAnswer(o, a.ID) && o.effectClass != "retriable" {
			for _, s := range o.pulls {
				if s.mayHaveRun || s.inFlight {
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

func (m *ruleModel) checkFinalAnswer(o *modelDownload, id string) bool {
	if o == nil || o.answered || m.now > o.Expiry+20 {
		m.fail("answered %s, which owes nothing or is overdue", id)
		return false
	}
	o.answered = true
	return true
}

func (m *ruleModel) checkPull(a Pull) {
	o := m.downloads[a.ID]
	if o == nil || o.answered || m.now >= o.Expiry || a.Timeout > o.Expiry-m.now+0.001 {
		m.fail("pulled %s, which has ended or goes on too long", a.ID)
		return
	}
	for _, s := range o.pulls {
		if s.inFlight || s.mayHaveRun && o.effectClass == "non-retriable" {
			m.fail("pulled %s again", a.ID)
		}
		if s.mayHaveRun && o.effectClass == "deduped" && (m.nodeZones[s.Node] != m.nodeZones[a.Node] || m.now >= s.sentAt+5000) {
			m.fail("pulled %s again out of its group or window", a.ID)
		}
	}
	s := &modelPull{Pull: a, sentAt: m.now, inFlight: true, expiresAt: m.now + a.Timeout, cost: 1000 * o.Size / m.settings.num("flow")}
	o.pulls = append(o.pulls, s)
	m.pulls = append(m.pulls, s)
	if at, ok := m.purgedAt[o.Group]; ok && !o.Write && m.now < at+6000 && (a.MaxAge <= 0 || a.MaxAge > m.now-at) {
		m.fail("pull of %s takes copies of age %v, purged %v ago", a.ID, a.MaxAge, m.now-at)
	}
	for _, id := range []string{a.Node, a.Source} {
		if m.nodeStates[id] != Running {
			m.fail("pull of %s names %s, which drains or is gone", a.ID, id)
		}
		m.checkColdBudget(id)
	}
}

// cold adds up what a node that started lately was asked for in the last window.
func (m *ruleModel) checkColdBudget(id string) {
	from, time, multiple, weight := 0.2, 10_000.0, 2.0, 10.0
	if id[0] == 'p' {
		from, weight = 0.1, 20
	}
	age := m.now - m.nodeBooted[id]
	if m.nodeBooted[id] == 0 || age >= time || id == "o" { // the origin is no cache
		return
	}
	asked := 0.0
	for _, s := range m.pulls {
		if s.sentAt > m.now-1000 && s.sentAt >= m.startLearnedAt[id] && (s.Node == id || s.Source == id && !s.answeredFromCopy) {
			asked += s.cost
		}
	}
	if most := multiple * (from + (1-from)*age/time) * weight * 1000; asked > most {
		m.fail("cold %s was asked for %.0f ms in a window, it bears %.0f", id, asked, most)
	}
}

// TestRulesAgainstModel plays random days and has the model look at every action.
func TestRulesAgainstModel(t *testing.T) {
	day := func(seed int64) bool {
		if broken := playRandomDay(seed); broken != "" {
			t.Logf("seed %d: %s", seed, broken)
			return false
		}
		return true
	}
	if err := quick.Check(day, &quick.Config{MaxCount: 150, Rand: rand.New(rand.NewSource(3))}); err != nil {
		t.Error(err)
	}
}

func playRandomDay(seed int64) string {
	dice := rand.New(rand.NewSource(seed))
	f := testSettings()
	f["direct"], f["notes"] = dice.Intn(2) == 0, []string{"hit", "none"}[dice.Intn(2)]
	f["gateways by zone"] = []any{0.0, []any{1.0, 12.0}[dice.Intn(2)]} // of several, each asks what the parent holds
	f["types"], f["target"] = []any{"video", "sale", "order"}, []any{600.0, 800.0, 700.0}
	f["repeat"] = []any{"retriable", "non-retriable", "deduped"}
	f["dedupe group"], f["dedupe window"] = []any{"all", "all", "zone"}, []any{0.0, 0.0, 5000.0}
	m := &ruleModel{settings: f, now: 50_000, nodeStates: map[string]State{}, nodeBooted: map[string]float64{},
		startLearnedAt: map[string]float64{}, nodeZones: map[string]string{}}
	var r *Router
	var alarms []Alarm
	tell := func(e Event) {
		for _, a := range r.Handle(m.now, e) {
			m.checkAction(a, &alarms)
		}
	}
	list := testFleet()
	list.Entries = append(list.Entries, Entry{Node: "x1", Kind: "box", Zone: "other", Weight: 10})
	f["siblings"] = []string{"none", "any"}[dice.Intn(2)]
	start := func() {
		r, alarms, m.downloads, m.purgedAt = New(), nil, map[string]*modelDownload{}, map[int64]float64{}
		for _, s := range m.pulls {
			s.inFlight = false
		}
		tell(Started{Seed: uint64(seed), Footprint: f})
		list.Scope = Restored
		for _, e := range list.Entries {
			m.nodeStates[e.Node], m.nodeZones[e.Node] = e.State, e.Zone
		}
		tell(list)
	}
	start()
	for step := 0; step < 1500 && m.violation == ""; step++ {
		m.now += float64(dice.Intn(200)) / 10
		for due := true; due; { // what is due comes before anything else
			due = false
			for i, a := range alarms {
				if a.At <= m.now {
					alarms, due = append(alarms[:i:i], alarms[i+1:]...), true
					tell(Rang{Token: a.Token})
					break
				}
			}
		}
		for _, s := range m.pulls {
			if s.inFlight && m.downloads[s.ID] != nil && (m.now >= s.expiresAt || dice.Intn(25) == 0) {
				endPull(m, s, tell, dice)
			}
		}
		switch dice.Intn(40) {
		case 0:
			i := dice.Intn(len(list.Entries))
			e := list.Entries[i]
			if e.State = State(dice.Intn(3)); e.State == Running && dice.Intn(2) == 0 {
				e.Booted = m.now - float64(dice.Intn(2000))
				m.nodeBooted[e.Node], m.startLearnedAt[e.Node] = e.Booted, m.now
			}
			list.Entries[i], m.nodeStates[e.Node] = e, e.State
			tell(Listed{Scope: Changes, Entries: []Entry{e}})
		case 1:
			group, age := int64(dice.Intn(3)), float64(dice.Intn(300))
			m.purgedAt[group] = max(m.purgedAt[group], m.now-age)
			tell(Purged{Group: group, Age: age})
		case 2:
			if dice.Intn(6) == 0 {
				start()
			}
		default:
			k := dice.Intn(3)
			a := Arrived{ID: fmt.Sprint(step, "-", seed), Type: f.textAt("types", k), Object: fmt.Sprint(dice.Intn(60)),
				Expiry: m.now + float64(dice.Intn(2500)), Size: 500 * float64(k+1), Write: k == 1}
			a.Group = int64(len(a.Object)) // any that is the object's own
			m.downloads[a.ID] = &modelDownload{Arrived: a, effectClass: f.textAt("repeat", k)}
			tell(a)
		}
		for _, o := range m.downloads {
			if !o.answered && m.now > o.Expiry+25 {
				m.fail("%s never got an answer", o.ID)
			}
		}
	}
	return m.violation
}

// end makes up how a pull ended.
func endPull(m *ruleModel, s *modelPull, tell func(Event), dice *rand.Rand) {
	o := m.downloads[s.ID]
	e := Ended{ID: s.ID, Status: Status(dice.Intn(9)), Took: m.now - s.sentAt}
	for i, p := range o.pulls {
		if p == s {
			e.Pull = i
		}
	}
	if dice.Intn(3) > 0 {
		e.Status = Fulfilled
	}
	if m.now >= s.expiresAt {
		e.Status = TimedOut
	}
	if e.Status == Fulfilled {
		o.answered = true
		if m.settings.text("notes") == "hit" {
			e.Note = Note(1 + dice.Intn(2))
			s.answeredFromCopy = e.Note == Held
		}
	}
	s.inFlight, e.Closed = false, o.answered
	s.mayHaveRun = e.Status != TurnedAway && e.Status != NotConnected && e.Status != NeverSent && e.Status != Missed
	tell(e)
}

// TestManyGatewaysShareAColdParent adds up what all gateways together ask of a parent that has just started, where
// the part of each is less than one pull: never more than it bears, and not nothing.
func TestManyGatewaysShareAColdParent(t *testing.T) {
	day := func(seed int64) bool {
		dice := rand.New(rand.NewSource(seed))
		m := &ruleModel{settings: testSettings(), now: 100_000, nodeStates: map[string]State{}, nodeBooted: map[string]float64{"p1": 100_000},
			startLearnedAt: map[string]float64{}}
		list := testFleet()
		list.Entries[2].Booted = 100_000
		many := make([]*Router, 50+dice.Intn(150))
		for i := range many {
			f := testSettings()
			f["gateways"], f["number"] = float64(len(many)), float64(i)
			f["gateways by zone"] = []any{0.0, float64(len(many) / 5)}
			many[i] = New()
			many[i].Handle(0, Started{Seed: uint64(i), Footprint: f})
			many[i].Handle(100_000, list)
		}
		asked := 0
		for step := 0; step < 6000 && m.violation == ""; step++ {
			m.now += 1
			r, a := many[dice.Intn(len(many))], videoRequest(fmt.Sprint(step))
			a.Object, a.Expiry, a.Size = fmt.Sprint(dice.Intn(5000)), m.now+3000, 3000
			for n, e := 0, Event(a); e != nil; n++ {
				pulls := actionsOf[Pull](r.Handle(m.now, e))
				if e = nil; len(pulls) == 0 {
					break
				}
				if p := pulls[0]; p.Source == "p1" {
					asked++
					m.pulls = append(m.pulls, &modelPull{Pull: p, sentAt: m.now, cost: 300})
					m.checkColdBudget("p1")
				}
				e = Ended{ID: a.ID, Pull: n, Status: Fulfilled, Closed: true, Note: FilledBySource}
				if pulls[0].How&OnlyHeld != 0 {
					e = Ended{ID: a.ID, Pull: n, Status: Missed}
				}
			}
		}
		if m.violation != "" || asked < 10 {
			t.Logf("%d gateways: %d asked; %s", len(many), asked, m.violation)
		}
		return m.violation == "" && asked >= 10
	}
	if err := quick.Check(day, &quick.Config{MaxCount: 5, Rand: rand.New(rand.NewSource(5))}); err != nil {
		t.Error(err)
	}
}
