// Package fair stands in front of the router: it shares what a gateway can carry among clubs and their clients, lets in as
// much as ends in time, and tells what it turns away when to come back, as an appointment that holds. It is pure: asks, ends
// and times come in, actions go out. All its memory is given at the start, whatever number of clients appears.
//
// This file is its interface. Times are Unix milliseconds on the gateway's clock; costs are milliseconds of sending time.
package fair

// Settings bound a gate.
type Settings struct {
	Weights   map[string]float64 // of clubs; one that is not named has 1
	Clubs     int                // told apart exactly; the rest share as many hashed places again
	Flows     int                // hashed places for light clients, of each club
	Heavy     int                // clients that are told apart exactly, as they cost most
	Change    float64            // ms between changes of the hash's seed, which part clients that collide
	Queue     int                // downloads that wait at a time
	Least     float64            // open downloads that are let in however late they end
	Slot      float64            // ms of one place of the calendar
	Slots     int                // places of the calendar: how far ahead appointments are made
	Slack     float64            // ms around its time within which an appointment holds
	Booked    float64            // share of the learnt capacity that may be booked ahead
	Longest   float64            // ms that a client may be told to stay away; 0: nothing may be said
	PerSlot   int                // appointments of one place that are remembered at most
	Heeding   bool               // tickets are signed and carried by clients, so that they outlive a restart
	TicketKey []byte             // of their signature
}

// Defaults are settings that serve a middling site.
func Defaults() Settings {
	return Settings{Clubs: 32, Flows: 256, Heavy: 64, Change: 10_000, Queue: 2048, Least: 8, Slot: 100, Slots: 300, Slack: 250,
		Booked: 0.7, Longest: 20_000, PerSlot: 256}
}

// Ask is a download that wants to go on to the router.
type Ask struct {
	At           float64
	ID           string
	Club, Client string
	Object       string
	Part         int64
	Cost         float64 // expected sending time
	Ahead        bool    // it goes first within its club's share
	Target       float64 // by when it is wanted, on the clock
	Expiry       float64
	Ticket       string // of an appointment; empty: none is brought
}

// Action is Admit or Throttle.
type Action any

// Actions, in the order in which they are to be carried out.
type (
	// Admit lets a download go on.
	Admit struct{ ID string }
	// Throttle turns one away that never went out. Wait is when to come back, in ms from now; 0: no time can be promised.
	Throttle struct {
		ID     string
		Wait   float64
		Ticket string
	}
)

// End is how an admitted download ended.
type End int

// The ends.
const (
	InTime End = iota
	Late
	TurnedAway // by the router, for want of room
	Gone       // its client left, or it failed: it says nothing of the load
)

// Counters are what a gate has seen since its start.
type Counters struct {
	Asked, Admitted, Waited, Throttled, Retries int
	Made, Kept, Missed, Forged                  int // appointments
}
