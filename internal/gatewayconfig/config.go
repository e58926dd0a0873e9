package gatewayconfig

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net"
	"os"
	"slices"
	"strconv"

	"poppymill/internal/channel"
	"poppymill/router"
)

// ContentType describes a content type and the requests that are allowed for it.
type ContentType struct {
	Name                  string
	MaxExpiry             float64 // ms, the longest that a request may ask for
	Target                float64 // ms, target time of a request,
	Stretch               float64 // plus this many times its transfer time
	MaxAge                float64 // ms, maximum age of a copy where the request sets none; 0: any
	MultiPart, AllowsBody bool    // an object may have several parts; a request may have a body
	Write                 bool    // a request is a write and is not answered from a copy
	NoRepeat              bool    // a request must not be executed twice, or only if it can be deduped
}

// Config is the configuration of one gateway.
type Config struct {
	Name, Listen, Channel string
	Seed                  uint64
	MemoryMB, Sockets     int
	Cursor                int64
	Known                 []channel.Event
	RouterSettings        router.Settings
	Types                 []ContentType

	// Settings that the gateway itself uses; the router gets those it needs through RouterSettings.
	StreamsPerConn                           int
	MaxPulls, MaxOpen                        int
	ConnectTimeout, IdleTimeout, AnswerSlack float64 // ms
	MaxRetryAfter                            float64 // ms, the longest retry delay that a rejected client may be sent; 0: none may be sent
	Probing, CancelPulls, Reports            bool

	settings []byte // the compacted JSON text, for comparison
}

// ChangedFixedFields returns the names of the fields that differ in another configuration and can't change in a running
// gateway.
func (c *Config) ChangedFixedFields(other *Config) (names []string) {
	for _, f := range []struct {
		name    string
		differs bool
	}{{"name", c.Name != other.Name}, {"listen", c.Listen != other.Listen}, {"limits.memory_mb", c.MemoryMB != other.MemoryMB},
		{"limits.sockets", c.Sockets != other.Sockets}, {"settings", !bytes.Equal(c.settings, other.settings)}} {
		if f.differs {
			names = append(names, f.name)
		}
	}
	return names
}

// configFile is the JSON form of the configuration.
type configFile struct {
	Name    string `json:"name"`
	Listen  string `json:"listen"`
	Seed    string `json:"seed"`
	Channel string `json:"channel"`
	Limits  struct {
		MemoryMB int `json:"memory_mb"`
		Sockets  int `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// gatewaySettings are the settings that the gateway itself reads.
type gatewaySettings struct {
	Classes []struct {
		Name   string  `json:"name"`
		Limit  float64 `json:"hard_limit"`
		Effect string  `json:"effect"`
		Target float64 `json:"promise"`
		Aim    float64 `json:"aim_stretch"`
		Scope  string  `json:"key_scope"`
		Window float64 `json:"key_ttl"`
		Worth  float64 `json:"worth"`
	} `json:"classes"`
	Zone  string   `json:"zone"`
	Zones []string `json:"azs"`
	Extra struct {
		Pieces []bool    `json:"in_pieces"`
		Writes []bool    `json:"class_write"`
		Fresh  []float64 `json:"max_age"`
	} `json:"extra"`
	Permissions struct {
		Connect float64 `json:"connect_timeout"`
		Idle    float64 `json:"keepalive"`
		Streams int     `json:"streams_per_conn"`
		Most    int     `json:"send_cap"`
		Open    int     `json:"max_open"`
		Probing bool    `json:"probing"`
		Cancel  bool    `json:"cancel"`
		Advice  bool    `json:"retry_after"`
		Longest float64 `json:"max_retry_after"`
	} `json:"permissions"`
	Rules struct {
		Slack    float64 `json:"answer_slack"`
		Grace    float64 `json:"drain_grace"`
		Fall     float64 `json:"fall"`
		Multiple float64 `json:"fall_multiple"`
		Cold     float64 `json:"cold"`
		Share    float64 `json:"cold_share"`
	} `json:"rules"`
	Report struct {
		How string `json:"how"`
	} `json:"report"`
}

// Load reads the configuration file. The name and the listen address may also come from the environment. An error about
// a field begins with its path.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("config: no configuration file given (BALANCER_CONFIG)")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	return Parse(text, env)
}

// Parse parses and checks a configuration; see Load.
func Parse(text []byte, env func(string) string) (*Config, error) {
	var f configFile
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("config: %w", err)
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Channel: f.Channel, MemoryMB: f.Limits.MemoryMB,
		Sockets: f.Limits.Sockets}
	if c.Name == "" {
		c.Name = env("BALANCER_NAME")
	}
	if c.Listen == "" {
		c.Listen = env("BALANCER_LISTEN")
	}
	if c.Name == "" {
		return nil, errors.New("name: missing")
	}
	if err := checkAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if err := checkAddress("channel", c.Channel); err != nil {
		return nil, err
	}
	var err error
	if c.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: %q is not a hexadecimal number of 64 bits", f.Seed)
	}
	if c.MemoryMB < 24 {
		return nil, fmt.Errorf("limits.memory_mb: %d is too little, 24 at least", c.MemoryMB)
	}
	if c.Sockets < 64 {
		return nil, fmt.Errorf("limits.sockets: %d is too few, 64 at least", c.Sockets)
	}
	if c.Cursor, c.Known, err = channel.ParseKnown(f.Known); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	var s gatewaySettings
	if err = json.Unmarshal(f.Settings, &s); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	for i, t := range s.Classes {
		if t.Name == "" {
			return nil, fmt.Errorf("settings.classes[%d].name: missing", i)
		}
		if t.Limit <= 0 {
			return nil, fmt.Errorf("settings.classes[%d].hard_limit: must be above 0", i)
		}
		if slices.ContainsFunc(c.Types, func(other ContentType) bool { return other.Name == t.Name }) {
			return nil, fmt.Errorf("settings.classes[%d].name: %q is defined twice", i, t.Name)
		}
		if t.Effect != "" && !slices.Contains([]string{"pure", "token", "side_effect"}, t.Effect) {
			return nil, fmt.Errorf("settings.classes[%d].effect: %q is none of pure, token, side_effect", i, t.Effect)
		}
		if t.Scope != "" && !slices.Contains([]string{"all", "zone", "cell"}, t.Scope) {
			return nil, fmt.Errorf("settings.classes[%d].key_scope: %q is none of all, zone, cell", i, t.Scope)
		}
		for _, n := range []struct {
			name  string
			value float64
		}{{"promise", t.Target}, {"aim_stretch", t.Aim}, {"key_ttl", t.Window}, {"worth", t.Worth}} {
			if n.value < 0 {
				return nil, fmt.Errorf("settings.classes[%d].%s: must not be below 0", i, n.name)
			}
		}
		// Where the settings leave out whether requests may have several parts, bodies or writes, all are allowed and the caches decide.
		typ := ContentType{Name: t.Name, MaxExpiry: t.Limit, Target: t.Target, Stretch: t.Aim, MultiPart: i >= len(s.Extra.Pieces) || s.Extra.Pieces[i], AllowsBody: true, Write: true,
			NoRepeat: t.Effect != "" && t.Effect != "pure"}
		if i < len(s.Extra.Writes) {
			typ.AllowsBody, typ.Write = s.Extra.Writes[i], s.Extra.Writes[i]
		}
		if i < len(s.Extra.Fresh) {
			typ.MaxAge = s.Extra.Fresh[i]
		}
		c.Types = append(c.Types, typ)
	}
	if len(c.Types) == 0 {
		return nil, errors.New("settings.classes: missing")
	}
	for _, l := range []struct {
		name  string
		count int
	}{{"in_pieces", len(s.Extra.Pieces)}, {"class_write", len(s.Extra.Writes)}, {"max_age", len(s.Extra.Fresh)}} {
		if l.count != 0 && l.count != len(c.Types) {
			return nil, fmt.Errorf("settings.extra.%s: has %d values for %d classes", l.name, l.count, len(c.Types))
		}
	}
	if len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone) {
		return nil, fmt.Errorf("settings.zone: %q is not in settings.azs", s.Zone)
	}
	rules := s.Rules
	for _, n := range []struct {
		name         string
		value, limit float64
	}{{"answer_slack", rules.Slack, math.Inf(1)}, {"drain_grace", rules.Grace, math.Inf(1)}, {"fall", rules.Fall, math.Inf(1)}, {"fall_multiple", rules.Multiple, math.Inf(1)},
		{"cold", rules.Cold, math.Inf(1)}, {"cold_share", rules.Share, 1}} {
		if n.value < 0 || n.value > n.limit {
			return nil, fmt.Errorf("settings.rules.%s: %v is out of range", n.name, n.value)
		}
	}
	permissions := s.Permissions
	for _, n := range []struct {
		name  string
		value float64
	}{{"streams_per_conn", float64(permissions.Streams)}, {"connect_timeout", permissions.Connect}, {"keepalive", permissions.Idle},
		{"send_cap", float64(permissions.Most)}, {"max_open", float64(permissions.Open)}} {
		if n.value <= 0 {
			return nil, fmt.Errorf("settings.permissions.%s: must be above 0", n.name)
		}
	}
	c.StreamsPerConn, c.ConnectTimeout, c.IdleTimeout, c.MaxPulls = permissions.Streams, permissions.Connect, permissions.Idle, permissions.Most
	if c.MaxOpen = permissions.Open; permissions.Advice {
		c.MaxRetryAfter = permissions.Longest
	}
	c.Probing, c.CancelPulls, c.AnswerSlack, c.Reports = permissions.Probing, permissions.Cancel, s.Rules.Slack, s.Report.How != "none"
	if c.RouterSettings, err = RouterSettings(f.Settings); err != nil {
		return nil, err
	}
	var compact bytes.Buffer
	if err = json.Compact(&compact, f.Settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.settings = compact.Bytes()
	return c, nil
}

// checkAddress checks that a field holds an address with a port.
func checkAddress(name, value string) error {
	if _, port, err := net.SplitHostPort(value); err != nil || port == "" {
		return fmt.Errorf("%s: %q is not an address with a port", name, value)
	}
	return nil
}
