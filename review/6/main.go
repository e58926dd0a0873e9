// Command 6 checks that a renewal does not run twice when its link is replayed after a planned restart with which the
// store of spent links was turned on.
package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"poppymill/review/standin"
)

func main() { standin.Run(os.Args[1], 110*time.Second, run) }

func run(c *standin.Case) (broken bool, err error) {
	club, err := c.NewClub()
	if err != nil {
		return false, err
	}
	keys, err := c.NewKeys()
	if err != nil {
		return false, err
	}
	g, err := club.StartGateway("g1", fmt.Sprintf("links {\n  keys = %q\n  base = %q\n}\n", keys, standin.Base), 1)
	if err != nil {
		return false, err
	}
	time.Sleep(time.Second)
	tokens := map[string]string{}
	for range 5 {
		object := standin.HexID()
		token, err := c.SignRenewal(keys, object)
		if err != nil {
			return false, err
		}
		tokens[object] = token
		if a := c.Renew(g, object, token); a.Status != 200 || len(club.Runs(object)) != 1 {
			return false, fmt.Errorf("the renewal of %s was answered with %d and ran %d times before the disruption", object, a.Status, len(club.Runs(object)))
		}
		if a := c.Renew(g, object, token); a.Status == 200 {
			return false, fmt.Errorf("the link of %s was taken twice before the disruption", object)
		}
	}
	// The operator names a store, which is taken up at a restart. EDIT=0 leaves the file as it is.
	if os.Getenv("EDIT") == "0" {
		c.Log("operator: the file stays as it is")
	} else if err := g.SetOperator(fmt.Sprintf("links {\n  keys = %q\n  base = %q\n  store = %q\n}\n", keys, standin.Base, c.Dir+"/spent")); err != nil {
		return false, err
	}
	if c.Trouble {
		if err := g.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
		if err := g.WaitExit(5 * time.Second); err != nil {
			return false, err
		}
		if err := g.Start(); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	twice := 0
	for object, token := range tokens {
		c.Renew(g, object, token)
		if runs := club.Runs(object); len(runs) > 1 {
			twice++
			c.Log("verdict: the renewal of %s ran %d times under one link: requests %v", object, len(runs), runs)
		}
	}
	c.Log("verdict: %d of %d renewals ran more than once", twice, len(tokens))
	return twice > 0, nil
}
