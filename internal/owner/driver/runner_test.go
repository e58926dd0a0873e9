package driver

import (
	"io"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"poppymill/internal/codec"
	"poppymill/internal/operator"
	"poppymill/internal/owner"
	"poppymill/internal/owner/effectlog"
	"poppymill/internal/quorum"
	quorumdriver "poppymill/internal/quorum/driver"
)

// Tests that a gateway executes no effects before it has applied the log up to its own start, and none of an
// unknown kind, and that each field of an operator's command is checked.
func TestRunner(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	var b Block
	if err := operator.Parse([]byte("jobs {}\n"), "f", operator.SingleBlock("jobs", b.Fields)); err != nil {
		t.Fatal(err)
	}
	c, err := Open(b, t.TempDir(), map[string]Handler{"warm": {Type: owner.Safe, Check: func(owner.Job) error { return nil }}}, log)
	if err != nil {
		t.Fatal(err)
	}
	send := func(e effectlog.Effect) effectlog.Result {
		t.Helper()
		results := make(chan effectlog.Result, 1)
		c.Handle(0, quorumdriver.PeerRequest{From: "g", Frame: quorum.Frame{Kind: quorum.KindEffect, Data: codec.Encode(e)}, Answer: func(f quorum.Frame) {
			var r effectlog.Result
			if err := codec.Decode(f.Data, &r); err != nil {
				t.Error(err)
			}
			results <- r
		}})
		return <-results
	}
	e := effectlog.Effect{Job: "j", Kind: KindDrill, Token: 3, Type: owner.Unsafe}
	if r := send(e); r.End != owner.NotRun || !strings.Contains(r.Why, "has not followed") {
		t.Errorf("before it has applied the log: %+v", r)
	}
	c.Handle(0, quorumdriver.LogAdvanced{Name: "h", Incarnation: 2})
	if r := send(e); r.End != owner.Ran {
		t.Errorf("%+v", r)
	}
	if r := send(effectlog.Effect{Job: "j", Kind: KindDrill, Token: 2, Step: 1, Type: owner.Safe}); r.End != owner.Refused || r.Newer != 3 {
		t.Errorf("older token: %+v", r)
	}
	if r := send(effectlog.Effect{Job: "j", Kind: "odd", Token: 4}); r.End != owner.NotRun {
		t.Errorf("unknown kind: %+v", r)
	}
	for _, x := range []struct {
		kind string
		data any
		want string
	}{
		{owner.Grant, owner.Claim{Job: "j"}, "grant: not for people"}, {owner.Start, owner.Job{Kind: "odd"}, `kind: "odd" is none of [warm drill]`},
		{owner.Start, owner.Job{Kind: "warm", Type: owner.Unsafe}, "type: steps of warm are safe"}, {owner.Start, owner.Job{Kind: KindDrill, Gateways: []string{"z"}}, `places: 0: no gateway "z"`},
		{owner.Start, owner.Job{Kind: KindDrill}, ""}, {owner.Stop, owner.Claim{}, ""},
	} {
		err := c.CheckCommand(quorum.Command{StateMachine: StateMachineName, Kind: x.kind, Data: codec.Encode(x.data)})
		if got := ""; err != nil {
			if got = err.Error(); x.want == "" || !strings.Contains(got, x.want) {
				t.Errorf("%s %+v: %s, want %s", x.kind, x.data, got, x.want)
			}
		} else if x.want != "" {
			t.Errorf("%s %+v is allowed", x.kind, x.data)
		}
	}
	if _, err := c.Query("job", "none"); err == nil {
		t.Error("no error for an unknown job")
	}
	if err := c.Close(); err != nil {
		t.Error(err)
	}
	if err := operator.Parse([]byte("jobs {\n  rest = \"10s\"\n}\n"), "f", operator.SingleBlock("jobs", b.Fields)); err == nil || !strings.Contains(err.Error(), "longest_rest: shorter than rest") {
		t.Error(err)
	}
}
