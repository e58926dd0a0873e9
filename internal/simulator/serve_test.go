package simulator

import (
	"strings"
	"testing"
)

// start creates instance 3 and sends it a list of nodes.
const start = `BEGIN_BATCH 1000.0
CONTEXT 3
CREATE 77 {"azs":["hub","club"],"zone":"club","kinds":["box","parent","origin"],"weights":"none","new key":[1],` +
	`"classes":[{"name":"video","promise":600,"effect":"pure"}],` +
	`"extra":{"parent_kind":1,"source_kind":2,"detail":"hit","unheard":"of"},"permissions":{"send_cap":4}}
VIEW 1 restored 3
ITEM box Running cache.a 1 club 0 -
ITEM parent Running cache.p 1 hub 1 -
ITEM origin Running cache.o 1 hub 2 -
GO
`

func TestServe(t *testing.T) {
	for _, c := range []struct{ name, in, want string }{
		{"an empty batch", "BEGIN_BATCH 0\nGO\n", "NEXT\n"},
		{"a download", start + "BEGIN_BATCH 1002.5\nCONTEXT 3\nACCEPT e30 video - a:k 7002.5 640 11 3 1\nGO\n",
			"NEXT\nFOR 3\nSET_ALARM 1602.500 1\nPULL_VIA e30 6000.000 cache.p 0 0 cache.a 0.000\nNEXT\n"},
		{"an unknown load value", start + "BEGIN_BATCH 1003\nCONTEXT 3\nPROBED cache.a S 1.5 busy_reqs:7,odd:1\nGO\n",
			"NEXT\nNEXT\n"},
		{"absurd load values", start + "BEGIN_BATCH 1003\nCONTEXT 3\nPROBED cache.a S 1.5 busy_reqs:NaN,x0:1e999,,x1\nGO\n",
			"NEXT\nNEXT\n"},
		{"messages that the router does not use", start + "BEGIN_BATCH 1003\nCONTEXT 3\nNOTE_FROM 9 00ff\nNOTE_FROM 4 -\nNOTE_FROM\nGO\n",
			"NEXT\nNEXT\n"},
		{"an unknown node and type", start + "BEGIN_BATCH 1003\nCONTEXT 3\nPROBED cache.z S 1 -\nACCEPT e31 odd - a:k 7002 0 0 0 0\nGO\n",
			"NEXT\nFOR 3\nFINISH_ERROR e31\nJOURNAL_LINE unknown content type odd\nNEXT\n"},
		{"an unknown message", start + "BEGIN_BATCH 1003\nCONTEXT 3\nHELLO there\nGO\n",
			"NEXT\nFOR 3\nBUG HELLO: unknown message\nNEXT\n"},
		{"a malformed number", start + "BEGIN_BATCH 1003\nCONTEXT 3\nWAKEUP soon\nGO\n",
			"NEXT\nFOR 3\nBUG WAKEUP: strconv.ParseInt: parsing \"soon\": invalid syntax\nNEXT\n"},
		{"an event for an unknown instance", start + "BEGIN_BATCH 1003\nCONTEXT 4\nWAKEUP 1\nGO\n",
			"NEXT\nFOR 4\nBUG WAKEUP for an instance that is not running\nNEXT\n"},
		{"after a shutdown", start + "BEGIN_BATCH 1003\nCONTEXT 3\nSHUTDOWN\nWAKEUP 1\nGO\n",
			"NEXT\nFOR 3\nBUG WAKEUP for an instance that is not running\nNEXT\n"},
	} {
		var out strings.Builder
		if err := Serve(strings.NewReader(c.in), &out); err != nil || out.String() != c.want {
			t.Errorf("%s: error %v, reply\n%swant\n%s", c.name, err, out.String(), c.want)
		}
	}
}

func TestServeFails(t *testing.T) {
	for _, in := range []string{"HELLO\n", "BEGIN_BATCH now\n", "BEGIN_BATCH 1\nWAKEUP 1\nGO\n", "BEGIN_BATCH 1\n"} {
		if err := Serve(strings.NewReader(in), &strings.Builder{}); err == nil {
			t.Errorf("%q: no error", in)
		}
	}
}
