package gateway

import (
	"fmt"

	"poppymill/internal/failpoint"
	linksdriver "poppymill/internal/links/driver"
	maintenancedriver "poppymill/internal/maintenance/driver"
	"poppymill/internal/operator"
	ownerdriver "poppymill/internal/owner/driver"
	purgesdriver "poppymill/internal/purges/driver"
	quorumdriver "poppymill/internal/quorum/driver"
)

// Settings are the contents of the operator's file of a gateway. The zero value is that of no file.
type Settings struct {
	Log        operator.Log
	Links      linksdriver.Block
	Fair       Fairness
	Quorum     quorumdriver.Block
	Jobs       ownerdriver.Block
	Failpoints failpoint.Block

	Machines maintenancedriver.Block
	Purges   purgesdriver.Block
}

// LoadSettings reads an operator's file. An empty path returns the zero Settings.
func LoadSettings(path string) (*Settings, error) {
	s := &Settings{}
	if path == "" {
		return s, nil
	}
	text, err := operator.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if err := operator.Parse(text, path, operator.SingleBlock("log", s.Log.Fields), operator.SingleBlock("links", s.Links.Fields),
		operator.SingleBlock("fair", s.Fair.Fields), operator.SingleBlock("quorum", s.Quorum.Fields),
		operator.SingleBlock("jobs", s.Jobs.Fields), operator.SingleBlock("failpoints", s.Failpoints.Fields),
		operator.SingleBlock("machines", s.Machines.Fields), operator.SingleBlock("purges", s.Purges.Fields)); err != nil {
		return nil, err
	}
	if s.Jobs.On && !s.Quorum.On {
		return nil, fmt.Errorf("%s: jobs: needs the block quorum", path)
	}
	if s.Machines.On && !s.Jobs.On {
		return nil, fmt.Errorf("%s: machines: needs the block jobs", path)
	}
	if s.Purges.On && !s.Jobs.On {
		return nil, fmt.Errorf("%s: purges: needs the block jobs", path)
	}
	return s, nil
}
