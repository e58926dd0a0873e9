// Package links decides whether a signed link or token admits a download, before anybody else hears of it, and issues
// its successor. It is pure: asks and times come in, verdicts go out; there is no file, socket or clock in it, and all
// its state is bounded by the figures in Settings.
//
// Two forms are read behind one decision: the URI Signing Package of RFC 9246, a JWS (RFC 7515) with the claims of
// RFC 7519 and section 2.1 of RFC 9246, and the compact query form (Expires, KeyName, Signature) of content networks.
//
// This file is its interface. Times are Unix milliseconds, unless a claim's name says seconds.
package links

import (
	"fmt"
	"time"
)

// Ask is a download that wants to be taken.
type Ask struct {
	At     float64 // on the gateway's clock, which does not jump
	Source string  // address of the client, without port; empty where the front does not tell
	Token  string  // as the front carries it; empty where there is none
	ID     string  // of the download
	Type   string
	Object string
	Part   int64
	Write  bool // it must not run twice, and is answered by what it does
}

// Verdict is what becomes of it.
type Verdict struct {
	Reason Reason // Admitted, or why not
	Claim  string // the first claim that fails, for people; never for the client
	Client string // sub of the token
	Spend  *Spend // to be written down before anything goes out, where there is a store; nil: nothing
	Token  string // the successor that goes with the answer; empty: none
	Store  int    // how the successor is carried (cdnistt): 1 is a cookie
	Path   string // for the cookie, by cdnistd
}

// Spend is a token that is used up by a download.
type Spend struct {
	Key     [16]byte
	Expires float64
}

// Reason is why a download is admitted or refused. The client is told none of them.
type Reason int

// The reasons, the cheapest to find out first.
const (
	Admitted Reason = iota
	NoToken
	TooLarge
	Malformed
	UnknownKey
	KeyOver // retired or withdrawn
	WrongAlgorithm
	WrongIssuer
	Expired
	NotYet
	TooLong // it lives longer than any token may
	WrongVersion
	UnknownCritical
	WrongAudience
	WrongURI
	WrongMethod
	WrongClient
	Busy // no signature could be checked for it now: the one refusal after which to try again helps
	BadSignature
	Replayed
	NoMemory     // what is spent can't be remembered, so what must not run twice is not let through
	BeforeStart  // issued before this gateway's start, of which nothing is remembered
	NotThisOne   // another gateway's to spend
	reasonsCount // of them
)

var reasons = [...]string{"admitted", "no token", "too large", "malformed", "unknown key", "key retired or withdrawn", "wrong algorithm",
	"wrong issuer", "expired", "not yet valid", "lives too long", "wrong version", "unknown critical claim", "wrong audience", "wrong uri",
	"wrong method", "wrong client", "busy", "bad signature", "replayed", "memory full", "issued before the start", "another gateway's"}

func (r Reason) String() string { return reasons[r] }

// Reasons is how many there are.
const Reasons = int(reasonsCount)

// Settings are what an operator says; all bounds are in here.
type Settings struct {
	Base      string   // of every URI: a download's is Base/TYPE/OBJECT/PART
	Form      string   // "uri-signing" or "compact"
	Audience  []string // names by which a token may mean this gateway or its club; empty: aud is not asked for
	Skew      float64  // ms that clocks may differ
	Longest   float64  // ms that a token may live from now on
	Chain     float64  // ms from iat past which no successor lives
	RenewIn   float64  // ms before its end from which a token gets its successor
	Reuse     int      // downloads that a token without write admits; 0: any number
	Memory    int      // bytes for what is spent and for what was found good, each
	Checks    float64  // signatures a second from one source
	AllChecks float64  // from all that have not shown a good one lately; as many again from those that have
	Name      string   // of this gateway
	Spenders  []string // gateways that share what must not run twice: a hash of the token names the one that may spend it
	Boxes     float64  // ms that a link for a box lives; 0: pulls carry none
	Stored    bool     // what is spent is written down, and read back after a restart
}

// Bounds of a token's form.
const (
	mostToken   = 4096
	mostHeader  = 256
	mostPayload = 2048
	mostRegex   = 512
	mostClaims  = 24
	mostDepth   = 2
	mostText    = 1024
)

// Defaults are settings that serve a middling site.
func Defaults() Settings {
	return Settings{Form: "uri-signing", Skew: 2000, Longest: float64(24 * time.Hour / time.Millisecond),
		Chain: float64(6 * time.Hour / time.Millisecond), RenewIn: 30_000, Memory: 4 << 20, Checks: 50, AllChecks: 2000}
}

// Fault is an error that names the first claim or field that fails.
type Fault struct {
	Reason Reason
	Claim  string
	What   string
}

func (f *Fault) Error() string {
	if f.Claim == "" {
		return fmt.Sprintf("%s: %s", f.Reason, f.What)
	}
	return fmt.Sprintf("%s: %s: %s", f.Reason, f.Claim, f.What)
}

func fault(r Reason, claim, format string, args ...any) *Fault {
	return &Fault{Reason: r, Claim: claim, What: fmt.Sprintf(format, args...)}
}
