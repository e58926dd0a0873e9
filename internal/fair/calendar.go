package fair

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
)

// calendar reserves capacity ahead of time. It is a ring of time slots of equal length. Each slot holds the cost booked
// in it and the bookings, identified by a hash, so that an appointment is recognised without per-client state.
type calendar struct {
	slotLength, slack float64
	maxPerSlot        int
	slots             []slot
	firstFree         int64   // all earlier slots are known to be full
	missed            int     // bookings that were never used
	showRate          float64 // moving average of the fraction of bookings that are used
	sweptTo           int64   // first slot that was not swept yet
}

// slot is one time slot with its bookings.
type slot struct {
	index    int64 // in slot lengths since the epoch
	cost     float64
	pending  float64 // cost of the bookings that were not used yet
	bookings []booking
}

// booking is one appointment; key is the hash of the download that it is for.
type booking struct {
	key  uint64
	cost float64
	used bool
}

func newCalendar(s Settings) *calendar {
	c := &calendar{slotLength: s.Slot, slack: s.Slack, maxPerSlot: s.MaxPerSlot, slots: make([]slot, s.Slots), showRate: 1}
	for i := range c.slots {
		c.slots[i] = slot{index: -1, bookings: make([]booking, 0, s.MaxPerSlot)}
	}
	return c
}

// slotAt returns the slot with this index, and clears an expired slot that occupied its position in the ring.
func (c *calendar) slotAt(index int64) *slot {
	p := &c.slots[index%int64(len(c.slots))]
	if p.index != index {
		*p = slot{index: index, bookings: p.bookings[:0]}
	}
	return p
}

// book reserves a cost in the first slot that has room for it and is no later than the longest wait. room is the cost
// that one slot can hold.
func (c *calendar) book(now, cost, room, longest float64, key uint64) (at float64, serial int, ok bool) {
	first, last := int64((now+c.slack)/c.slotLength)+1, int64((now+longest)/c.slotLength)
	last = min(last, int64(now/c.slotLength)+int64(len(c.slots))-int64(c.slack/c.slotLength)-2)
	for i := max(first, c.firstFree); i <= last; i++ {
		p := c.slotAt(i)
		if p.cost+cost > room && p.cost > 0 || len(p.bookings) >= c.maxPerSlot {
			if i == c.firstFree {
				c.firstFree++
			}
			continue
		}
		if cost > room && room <= 0 {
			return 0, 0, false
		}
		p.cost, p.pending = p.cost+cost, p.pending+cost
		p.bookings = append(p.bookings, booking{key: key, cost: cost})
		return float64(i) * c.slotLength, len(p.bookings) - 1, true
	}
	return 0, 0, false
}

// slotsAround returns the range of slots whose appointments may be redeemed now.
func (c *calendar) slotsAround(now float64) (from, to int64) {
	return max(0, int64((now-c.slack)/c.slotLength)), int64((now + c.slack) / c.slotLength)
}

// redeem marks an appointment as used and reports whether there was an unused one for this key.
func (c *calendar) redeem(now float64, key uint64) bool {
	from, to := c.slotsAround(now)
	for i := from; i <= to; i++ {
		p := &c.slots[i%int64(len(c.slots))]
		for j := range p.bookings {
			if b := &p.bookings[j]; p.index == i && b.key == key && !b.used {
				b.used = true
				p.pending -= b.cost
				return true
			}
		}
	}
	return false
}

// redeemTicket does the same for the slot and serial number of a ticket. It also accepts, once each, appointments made
// before the last restart, of which nothing is known.
func (c *calendar) redeemTicket(now float64, index int64, serial int, key uint64, startedAt float64) bool {
	from, to := c.slotsAround(now)
	if index < from || index > to || serial < 0 || serial >= c.maxPerSlot {
		return false
	}
	p := c.slotAt(index)
	if serial < len(p.bookings) && p.bookings[serial].key == key {
		b := &p.bookings[serial]
		if b.used {
			return false
		}
		b.used = true
		p.pending -= b.cost
		return true
	}
	if float64(index)*c.slotLength > startedAt+c.slotLength*float64(len(c.slots)) || len(p.bookings) >= c.maxPerSlot {
		return false // it cannot have been booked before the restart
	}
	for _, b := range p.bookings {
		if b.key == key {
			return false
		}
	}
	p.bookings = append(p.bookings, booking{key: key, used: true})
	return true
}

// sweep updates the show rate from slots that are over. The more bookings go unused, the less capacity is held back for
// those still pending. Capacity held back for clients that never return made a controller serve half of what it could.
func (c *calendar) sweep(now float64) {
	from, _ := c.slotsAround(now)
	for c.sweptTo = max(c.sweptTo, from-int64(len(c.slots))); c.sweptTo < from; c.sweptTo++ {
		p := &c.slots[c.sweptTo%int64(len(c.slots))]
		if p.index != c.sweptTo {
			continue
		}
		for _, b := range p.bookings {
			came := 0.0
			if came = 1; !b.used {
				came = 0
				c.missed++
			}
			c.showRate += (came - c.showRate) / 50
		}
	}
}

// expectedCost estimates the cost of the bookings around now that may still be used.
func (c *calendar) expectedCost(now float64) (cost float64) {
	from, to := c.slotsAround(now)
	for i := from; i <= to; i++ {
		if p := &c.slots[i%int64(len(c.slots))]; p.index == i {
			cost += p.pending
		}
	}
	return cost * c.showRate
}

// resetSearch makes the next booking search from the present again, as the capacity has changed.
func (c *calendar) resetSearch() { c.firstFree = 0 }

// formatTicket encodes an appointment: the index of its slot, its serial number there, and a signature over both and
// its key.
func formatTicket(secret []byte, index int64, serial int, key uint64) string {
	text := fmt.Sprintf("%d.%d", index, serial)
	return text + "." + sign(secret, text, key)
}

// sign returns the HMAC of a ticket's text and key, truncated to 16 bytes.
func sign(secret []byte, text string, key uint64) string {
	h := hmac.New(sha256.New, secret)
	fmt.Fprintf(h, "%s.%016x", text, key)
	return base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:16])
}

// maxTicketLength is the longest ticket that is parsed, in bytes.
const maxTicketLength = 64

// parseTicket verifies a ticket and returns the index of its slot and its serial number there.
func parseTicket(secret []byte, text string, key uint64) (index int64, serial int, ok bool) {
	if len(text) > maxTicketLength || len(secret) == 0 {
		return 0, 0, false
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || !hmac.Equal([]byte(parts[2]), []byte(sign(secret, parts[0]+"."+parts[1], key))) {
		return 0, 0, false
	}
	index, err := strconv.ParseInt(parts[0], 10, 64)
	serial, serialErr := strconv.Atoi(parts[1])
	return index, serial, err == nil && serialErr == nil && index >= 0
}
