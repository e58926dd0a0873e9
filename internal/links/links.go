// Package links authorizes downloads by signed links and tokens, before any other part of the gateway handles them, and
// issues successors of tokens that are about to expire. The package is pure: requests and times are inputs, verdicts are
// outputs. It uses no file, socket or clock, and the limits in Settings bound all its state.
//
// One decision covers two forms: the URI Signing Package of RFC 9246, a JWS (RFC 7515) with the claims of RFC 7519 and
// of section 2.1 of RFC 9246, and the compact query form (Expires, KeyName, Signature) that CDNs use.
//
// This file holds the package's types and settings. Times are Unix milliseconds, unless a comment says seconds.
package links

import (
	"fmt"
	"time"
)

// Request is a download to be authorized.
type Request struct {
	At     float64 // on the gateway's monotonic clock, as Unix ms
	Source string  // address of the client, without port; empty if the front end does not pass it
	Token  string  // as the front end passes it; empty if the request has none
	ID     string  // of the download
	Type   string
	Object string
	Part   int64
	Write  bool // the download has a side effect and must not run twice
}

// Verdict is the decision on a Request.
type Verdict struct {
	Reason     Reason      // Admitted, or the reason of the refusal
	Claim      string      // the first claim that failed, for operators; never sent to the client
	Client     string      // sub of the token
	SpentToken *SpentToken // to be stored before anything is sent, if there is a store; nil: nothing to store
	Token      string      // the successor token to send with the response; empty: none
	Transport  int         // how the successor is carried (cdnistt): 1 is a cookie
	Path       string      // of the cookie, from cdnistd
}

// SpentToken records a token that a download has used up.
type SpentToken struct {
	Key     [16]byte
	Expires float64
}

// Reason is why a download is admitted or refused. It is never sent to the client.
type Reason int

// The reasons, roughly ordered by the cost of the check.
const (
	Admitted Reason = iota
	NoToken
	TooLarge
	Malformed
	UnknownKey
	KeyInactive // retired or withdrawn
	WrongAlgorithm
	WrongIssuer
	Expired
	NotYetValid
	LifetimeTooLong // expires later than Settings.Longest allows
	WrongVersion
	UnknownCritical
	WrongAudience
	WrongURI
	WrongMethod
	WrongClient
	RateLimited // the signature check was rate-limited: the one refusal for which a retry of the same request can succeed
	BadSignature
	Replayed
	ReplayTableFull    // the replay table is full, so a download that must not run twice is refused
	IssuedBeforeRecord // issued before the record of spent tokens begins: at the start of the gateway, or with its store
	OtherGateway       // only another gateway may spend the token
	numReasons
)

var reasons = [...]string{"admitted", "no token", "too large", "malformed", "unknown key", "key retired or withdrawn", "wrong algorithm",
	"wrong issuer", "expired", "not yet valid", "lives too long", "wrong version", "unknown critical claim", "wrong audience", "wrong uri",
	"wrong method", "wrong client", "busy", "bad signature", "replayed", "memory full", "issued before the start", "another gateway's"}

func (r Reason) String() string { return reasons[r] }

// ReasonCount is the number of reasons.
const ReasonCount = int(numReasons)

// Settings are the operator's settings. They hold all limits of the package.
type Settings struct {
	Base             string   // of every URI: the URI of a download is Base/TYPE/OBJECT/PART
	Form             string   // "uri-signing" or "compact"
	Audience         []string // names by which a token may address this gateway or its club; empty: aud must be absent
	Skew             float64  // ms of clock skew that is tolerated
	MaxLifetime      float64  // ms, maximum remaining lifetime of a token
	MaxChainAge      float64  // ms from iat beyond which no successor is valid
	RenewWithin      float64  // ms before expiry from which a token gets a successor
	MaxReads         int      // downloads that a token without the write claim admits; 0: any number
	Memory           int      // bytes for the replay table and for the cache of verified tokens, each
	ChecksPerSource  float64  // signature checks per second for one source
	ChecksTotal      float64  // per second for all sources without a recent good signature, and as many again for those with one
	Name             string   // of this gateway
	Spenders         []string // gateways that share write tokens: a hash of the token selects the one that may spend it
	NodeLinkLifetime float64  // ms lifetime of a link for a cache node; 0: pulls carry no link
	HasStore         bool     // spent tokens are stored, and read back after a restart
}

// TableBytes returns the memory that the replay table and the cache of verified tokens may take, in bytes.
func (s Settings) TableBytes() int { return 2 * s.Memory }

// MaxSkew is the largest Settings.Skew that may be configured.
const MaxSkew = time.Minute

const maxSkewMillis = float64(MaxSkew / time.Millisecond)

// Limits on the form of a token.
const (
	maxTokenBytes   = 4096
	maxHeaderBytes  = 256
	maxPayloadBytes = 2048
	maxRegexBytes   = 512
	maxClaims       = 24 // also the items of a list
	maxNesting      = 2
	maxStringBytes  = 1024
)

// Defaults returns settings for a site of medium size.
func Defaults() Settings {
	return Settings{Form: "uri-signing", Skew: 2000, MaxLifetime: float64(24 * time.Hour / time.Millisecond),
		MaxChainAge: float64(6 * time.Hour / time.Millisecond), RenewWithin: 30_000, Memory: 4 << 20, ChecksPerSource: 50, ChecksTotal: 2000}
}

// TokenError says why a token is refused and names the first claim or field that failed.
type TokenError struct {
	Reason Reason
	Claim  string
	Detail string
}

func (e *TokenError) Error() string {
	if e.Claim == "" {
		return fmt.Sprintf("%s: %s", e.Reason, e.Detail)
	}
	return fmt.Sprintf("%s: %s: %s", e.Reason, e.Claim, e.Detail)
}

func tokenErrorf(r Reason, claim, format string, args ...any) *TokenError {
	return &TokenError{Reason: r, Claim: claim, Detail: fmt.Sprintf(format, args...)}
}
