package fair

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
)

// calendar books room ahead. It is a ring of places of equal length; each holds what was booked in cost, and by whom as a
// digest, so that an appointment is known again without memory for each client.
type calendar struct {
	slot, slack float64
	per         int
	places      []place
	from        int64 // no earlier place has room, as far as is known
	missed      int
	show        float64 // share of late of those booked that come
	swept       int64   // the first place whose time is not over
}

type place struct {
	index int64 // since the epoch
	cost  float64
	open  float64 // of it, what has not come yet
	who   []booking
}

type booking struct {
	digest uint64
	cost   float64
	used   bool
}

func newCalendar(s Settings) *calendar {
	c := &calendar{slot: s.Slot, slack: s.Slack, per: s.PerSlot, places: make([]place, s.Slots), show: 1}
	for i := range c.places {
		c.places[i] = place{index: -1, who: make([]booking, 0, s.PerSlot)}
	}
	return c
}

// at is a place by its number; what stood there before is over.
func (c *calendar) at(index int64) *place {
	p := &c.places[index%int64(len(c.places))]
	if p.index != index {
		*p = place{index: index, who: p.who[:0]}
	}
	return p
}

// book finds the first place with room for a cost, of so much a place, no later than the longest wait.
func (c *calendar) book(now, cost, room, longest float64, who uint64) (at float64, serial int, ok bool) {
	first, last := int64((now+c.slack)/c.slot)+1, int64((now+longest)/c.slot)
	last = min(last, int64(now/c.slot)+int64(len(c.places))-int64(c.slack/c.slot)-2)
	for i := max(first, c.from); i <= last; i++ {
		p := c.at(i)
		if p.cost+cost > room && p.cost > 0 || len(p.who) >= c.per {
			if i == c.from {
				c.from++
			}
			continue
		}
		if cost > room && room <= 0 {
			return 0, 0, false
		}
		p.cost, p.open = p.cost+cost, p.open+cost
		p.who = append(p.who, booking{digest: who, cost: cost})
		return float64(i) * c.slot, len(p.who) - 1, true
	}
	return 0, 0, false
}

// window is the places whose time is about now.
func (c *calendar) window(now float64) (from, to int64) {
	return max(0, int64((now-c.slack)/c.slot)), int64((now + c.slack) / c.slot)
}

// redeem lets an appointment be kept, once.
func (c *calendar) redeem(now float64, who uint64) bool {
	from, to := c.window(now)
	for i := from; i <= to; i++ {
		p := &c.places[i%int64(len(c.places))]
		for j := range p.who {
			if b := &p.who[j]; p.index == i && b.digest == who && !b.used {
				b.used = true
				p.open -= b.cost
				return true
			}
		}
	}
	return false
}

// redeemTicket is the same by what the client brought; a place of before this start, of which nothing is known, counts too,
// each of its appointments once.
func (c *calendar) redeemTicket(now float64, index int64, serial int, who uint64, born float64) bool {
	from, to := c.window(now)
	if index < from || index > to || serial < 0 || serial >= c.per {
		return false
	}
	p := c.at(index)
	if serial < len(p.who) && p.who[serial].digest == who {
		b := &p.who[serial]
		if b.used {
			return false
		}
		b.used = true
		p.open -= b.cost
		return true
	}
	if float64(index)*c.slot > born+c.slot*float64(len(c.places)) || len(p.who) >= c.per {
		return false // it can't be of a former life
	}
	for _, b := range p.who {
		if b.digest == who {
			return false
		}
	}
	p.who = append(p.who, booking{digest: who, used: true})
	return true
}

// sweep looks back on places whose time is over: who did not come gave his room back, and the more do so, the less room is
// kept for those who may come yet. Room kept for clients that never heed had a gate serve half of what it could.
func (c *calendar) sweep(now float64) {
	from, _ := c.window(now)
	for c.swept = max(c.swept, from-int64(len(c.places))); c.swept < from; c.swept++ {
		p := &c.places[c.swept%int64(len(c.places))]
		if p.index != c.swept {
			continue
		}
		for _, b := range p.who {
			came := 0.0
			if came = 1; !b.used {
				came = 0
				c.missed++
			}
			c.show += (came - c.show) / 50
		}
	}
}

// expected is what was booked for about now, has not come, and may yet.
func (c *calendar) expected(now float64) (open float64) {
	from, to := c.window(now)
	for i := from; i <= to; i++ {
		if p := &c.places[i%int64(len(c.places))]; p.index == i {
			open += p.open
		}
	}
	return open * c.show
}

// reopen has the next booking look from now on again: the room has changed.
func (c *calendar) reopen() { c.from = 0 }

// ticket words an appointment: its place, its number there, and a signature over both and whom it is for.
func ticket(key []byte, index int64, serial int, who uint64) string {
	text := fmt.Sprintf("%d.%d", index, serial)
	return text + "." + sign(key, text, who)
}

func sign(key []byte, text string, who uint64) string {
	h := hmac.New(sha256.New, key)
	fmt.Fprintf(h, "%s.%016x", text, who)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16])
}

// mostTicket bounds what is read of one.
const mostTicket = 64

func readTicket(key []byte, text string, who uint64) (index int64, serial int, ok bool) {
	if len(text) > mostTicket || len(key) == 0 {
		return 0, 0, false
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || !hmac.Equal([]byte(parts[2]), []byte(sign(key, parts[0]+"."+parts[1], who))) {
		return 0, 0, false
	}
	index, err := strconv.ParseInt(parts[0], 10, 64)
	serial, bad := strconv.Atoi(parts[1])
	return index, serial, err == nil && bad == nil && index >= 0
}
