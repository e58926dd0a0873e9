// Command 6 checks that a renewal does not run twice when its link is replayed after a gateway was added to `spenders`.
package main

import (
	"fmt"
	"os"
	"time"

	"poppymill/review/standin"
)

func operator(keys, spenders string) string {
	return fmt.Sprintf("links {\n  keys = %q\n  base = %q\n  spenders = [%s]\n}\n", keys, standin.Base, spenders)
}

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
	var gateways []*standin.Gateway
	for _, name := range []string{"g1", "g2", "g3"} {
		g, err := club.StartGateway(name, operator(keys, `"g1", "g2"`), 3)
		if err != nil {
			return false, err
		}
		gateways = append(gateways, g)
	}
	time.Sleep(time.Second)
	// Each member renews once; the front tries another gateway when one refuses.
	tokens := map[string]string{}
	for range 24 {
		object := standin.HexID()
		token, err := c.SignRenewal(keys, object)
		if err != nil {
			return false, err
		}
		tokens[object] = token
		served := 0
		for _, g := range gateways {
			a := c.Renew(g, object, token)
			if a.Status == 200 {
				served++
				break
			}
		}
		if served != 1 || len(club.Runs(object)) != 1 {
			return false, fmt.Errorf("the renewal of %s was served %d times and ran %d times before the disruption", object, served, len(club.Runs(object)))
		}
	}
	if c.Trouble {
		for _, g := range gateways {
			if err := g.SetOperator(operator(keys, `"g1", "g2", "g3"`)); err != nil {
				return false, err
			}
			if err := g.Reload(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(2 * time.Second)
	for object, token := range tokens { // every link is replayed at each gateway
		for _, g := range gateways {
			c.Renew(g, object, token)
		}
	}
	twice := 0
	for object := range tokens {
		if runs := club.Runs(object); len(runs) > 1 {
			twice++
			c.Log("verdict: the renewal of %s ran %d times under one link: requests %v", object, len(runs), runs)
		}
	}
	c.Log("verdict: %d of %d renewals ran more than once", twice, len(tokens))
	return twice > 0, nil
}
