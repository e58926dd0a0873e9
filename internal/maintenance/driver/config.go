package driver

import (
	"errors"
	"time"

	"poppymill/internal/maintenance"
	"poppymill/internal/operator"
)

// Block holds the settings of the block machines. It is off unless the operator's file has the block, which requires the blocks quorum
// and jobs.
type Block struct {
	On        bool
	Inventory maintenance.Inventory
}

// Fields returns the fields of the block machines, after setting their defaults.
func (b *Block) Fields() []operator.Field {
	b.On = true
	b.Inventory = maintenance.Inventory{Version: 1, Limits: maintenance.Limits{MaxMachines: 1, BeginTimeout: 60_000, DrainTimeout: 30_000, WarmTimeout: 60_000, Overdue: 2, Grace: 1000, WarmShare: 0.8}}
	l := &b.Inventory.Limits
	silent := "back"
	return []operator.Field{
		operator.RequiredAttr("version", operator.Int(&b.Inventory.Version, 1, 1<<30)),
		operator.Attr("most", operator.Int(&l.MaxMachines, 0, 4096)), operator.Attr("per_club", operator.Int(&l.PerClub, 0, 4096)),
		operator.Attr("per_zone", operator.Int(&l.PerZone, 0, 4096)),
		operator.Attr("gateways", operator.Share(&l.Gateways)), operator.Attr("boxes", operator.Share(&l.Boxes)), operator.Attr("hubs", operator.Share(&l.Hubs)),
		operator.Attr("reserve", operator.Number(&l.Reserve, 0, 10)),
		operator.Attr("begin", operator.Duration(&l.BeginTimeout, time.Second, 24*time.Hour)), operator.Attr("drain", operator.Duration(&l.DrainTimeout, 100*time.Millisecond, 24*time.Hour)),
		operator.Attr("warm", operator.Duration(&l.WarmTimeout, 0, 24*time.Hour)), operator.Attr("warm_share", operator.Share(&l.WarmShare)), operator.Attr("grace", operator.Duration(&l.Grace, 0, time.Hour)),
		operator.Attr("overdue", operator.Number(&l.Overdue, 1, 100)),
		operator.Attr("silent", operator.OneOf(&silent, "back", "out")),
		operator.Block("machine", []string{"name"}, func(labels []string, _ int) ([]operator.Field, error) {
			b.Inventory.Machines = append(b.Inventory.Machines, maintenance.Machine{Name: labels[0]})
			m := &b.Inventory.Machines[len(b.Inventory.Machines)-1] // its fields are read before the next append may move the slice
			return []operator.Field{operator.RequiredAttr("club", operator.String(&m.Club)), operator.Attr("zone", operator.String(&m.Zone)),
				operator.Attr("gateways", operator.StringList(&m.Gateways)), operator.Attr("boxes", operator.StringList(&m.Boxes)), operator.Attr("hubs", operator.StringList(&m.Hubs)),
				operator.Attr("carries", operator.Number(&m.Capacity, 0, 1e12))}, nil
		}),
		operator.Check(func() error {
			if len(b.Inventory.Machines) == 0 {
				return errors.New("machine: at least one is required")
			}
			if silent == "out" {
				l.MissingAck = maintenance.ProceedWithoutAck
			}
			return b.Inventory.Validate()
		}),
	}
}
