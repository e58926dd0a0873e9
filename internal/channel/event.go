package channel

import (
	"encoding/json"
	"errors"
	"fmt"

	"poppymill/router"
)

// Event is one numbered event: a change to the list of nodes, or a purge.
type Event struct {
	Cursor     int64
	Scope      router.Scope
	Nodes      []Node
	Purge      bool
	PurgeScope router.Purged // without Age, which depends on when the event is processed
	PurgeTime  float64       // in Unix ms
}

// Node is an entry of the list of nodes with its address.
type Node struct {
	Address string
	router.Entry
}

// eventJSON is the JSON form of an eventJSON.
type eventJSON struct {
	Cursor int64 `json:"cursor"`
	Nodes  *struct {
		Snapshot  bool `json:"snapshot"`
		Endpoints []struct {
			Name    string  `json:"name"`
			Address string  `json:"address"`
			Zone    string  `json:"zone"`
			Type    string  `json:"type"`
			Group   int64   `json:"group"`
			Status  string  `json:"status"`
			Weight  float64 `json:"weight"`
			Since   float64 `json:"since_ms"`
		} `json:"endpoints"`
	} `json:"nodes"`
	Drop *struct {
		ID     string  `json:"id"`
		Family *int64  `json:"family"`
		When   float64 `json:"when"`
	} `json:"drop"`
}

// stateByStatus maps the status of an endpoint to the state of the node.
var stateByStatus = map[string]router.State{
	"ready": router.Running, "draining": router.Draining, "gone": router.Gone,
}

// Parse parses the data of one event.
func Parse(data []byte) (Event, error) {
	var e eventJSON
	if err := json.Unmarshal(data, &e); err != nil {
		return Event{}, err
	}
	return e.toEvent()
}

// toEvent validates and converts an event. After an error, the cursor is still that of the event.
func (e eventJSON) toEvent() (Event, error) {
	n := Event{Cursor: e.Cursor}
	switch {
	case e.Cursor <= 0:
		return n, errors.New("cursor is missing")
	case e.Nodes != nil:
		if e.Nodes.Snapshot {
			n.Scope = router.FullList
		}
		for _, p := range e.Nodes.Endpoints {
			state, known := stateByStatus[p.Status]
			if !known || p.Name == "" || p.Address == "" && state != router.Gone {
				return n, fmt.Errorf("invalid node %q: status %q, address %q", p.Name, p.Status, p.Address)
			}
			n.Nodes = append(n.Nodes, Node{Address: p.Address, Entry: router.Entry{Node: p.Name, Kind: p.Type,
				Zone: p.Zone, State: state, Weight: p.Weight, Cell: p.Group, StartedAt: p.Since}})
		}
	case e.Drop != nil:
		if e.Drop.ID == "" && e.Drop.Family == nil {
			return n, errors.New("purge has neither id nor family")
		}
		n.Purge, n.PurgeTime, n.PurgeScope.Object = true, e.Drop.When, e.Drop.ID
		if e.Drop.Family != nil {
			n.PurgeScope.Group = *e.Drop.Family
		}
	default:
		return n, errors.New("event has neither nodes nor drop")
	}
	return n, nil
}

// ParseKnown parses the past events of the channel in a configuration. It returns the cursor of the last event and the
// events up to it.
func ParseKnown(data []byte) (int64, []Event, error) {
	var known struct {
		Cursor *int64      `json:"cursor"`
		Cmds   []eventJSON `json:"cmds"`
	}
	if err := json.Unmarshal(data, &known); err != nil {
		return 0, nil, err
	}
	if known.Cursor == nil {
		return 0, nil, errors.New("cursor is missing")
	}
	var all []Event
	for i, e := range known.Cmds {
		n, err := e.toEvent()
		if err != nil {
			return 0, nil, fmt.Errorf("cmds %d: %w", i, err)
		}
		if n.Scope == router.FullList {
			n.Scope = router.RestoredList
		}
		all = append(all, n)
	}
	return *known.Cursor, all, nil
}
