// Package fair implements admission control in front of the router. It shares the capacity of a gateway fairly among
// clubs and their clients, limits the open downloads to as many as finish in time, and gives rejected downloads an
// appointment: a time at which a retry is admitted. The package does no I/O: requests, outcomes and times come in,
// actions go out. Its memory is fixed at the start, however many clients appear.
//
// This file holds the settings, requests, actions and counters. Times are Unix milliseconds on the gateway's clock;
// costs are milliseconds of sending time.
package fair

// Settings configure a Controller.
type Settings struct {
	Weights        map[string]float64 // by club; 1 for clubs not listed
	Clubs          int                // clubs tracked individually; all others share as many hashed entries again
	Flows          int                // hashed flows per club for light clients
	HeavyClients   int                // clients with the highest cost that are tracked individually
	ReseedInterval float64            // ms between changes of the hash seed, which separates clients that collide
	Queue          int                // maximum number of queued downloads
	MinLimit       float64            // lower bound of the concurrency limit, however late downloads end
	Slot           float64            // length in ms of one calendar slot
	Slots          int                // number of calendar slots: how far ahead appointments are made
	Slack          float64            // ms before and after its time within which an appointment is honoured
	BookableShare  float64            // fraction of the measured capacity that may be booked ahead
	MaxWait        float64            // longest wait in ms that a client may be given; 0: no appointments
	MaxPerSlot     int                // maximum number of appointments per slot
	SignedTickets  bool               // clients carry signed tickets, so that appointments survive a restart
	TicketKey      []byte             // HMAC key of tickets
}

// Defaults returns settings suited to a medium-sized site.
func Defaults() Settings {
	return Settings{Clubs: 32, Flows: 256, HeavyClients: 64, ReseedInterval: 10_000, Queue: 2048, MinLimit: 8, Slot: 100, Slots: 300, Slack: 250,
		BookableShare: 0.7, MaxWait: 20_000, MaxPerSlot: 256}
}

// Request is a download that requests admission to the router.
type Request struct {
	At           float64
	ID           string
	Club, Client string
	Object       string
	Part         int64
	Cost         float64 // expected sending time
	Priority     bool    // it has priority within the share of its club
	Target       float64 // time by which it should finish
	Expiry       float64
	Ticket       string // of an appointment; empty: none was sent
}

// Action is Admit or Throttle.
type Action any

// Actions, to be carried out in the order in which they are returned.
type (
	// Admit passes a download on to the router.
	Admit struct{ ID string }
	// Throttle rejects a download that was never admitted. Wait is the time until the client may retry, in ms; 0: no
	// time can be promised.
	Throttle struct {
		ID     string
		Wait   float64
		Ticket string
	}
)

// Outcome is the outcome of an admitted download.
type Outcome int

// Outcomes of admitted downloads.
const (
	InTime Outcome = iota
	Late
	Rejected // rejected by the router for lack of capacity
	Aborted  // cancelled by its client, or failed: says nothing about the load
)

// Counters count the events of a Controller since its start.
type Counters struct {
	Asked, Admitted, Waited, Throttled, Retries int
	Made, Kept, Missed, Forged                  int // appointments
}
