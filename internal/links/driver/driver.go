// Package driver connects internal/links to its surroundings: the operator's links block, the place of the token in a request,
// the store of spent tokens, and the watch on the key file. It makes no decisions about tokens.
package driver

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"github.com/fsnotify/fsnotify"

	"poppymill/internal/links"
	"poppymill/internal/links/keyfile"
	"poppymill/internal/operator"
)

// Block is the links block of the operator's file.
type Block struct {
	On       bool
	Keys     string // path of the key file
	From     string // query, header or cookie
	Name     string // of the parameter, header or cookie
	Store    string // path of the store of spent tokens; empty: none
	Settings links.Settings
}

// Fields resets the block to defaults, turns links on, and returns the fields to parse.
func (b *Block) Fields() []operator.Field {
	*b = Block{On: true, From: "query", Name: "URISigningPackage", Settings: links.Defaults()}
	s := &b.Settings
	memory := float64(s.Memory)
	return []operator.Field{
		operator.RequiredAttr("keys", operator.String(&b.Keys)), operator.RequiredAttr("base", operator.String(&s.Base)),
		operator.Attr("form", operator.OneOf(&s.Form, "uri-signing", "compact")),
		operator.Attr("from", operator.OneOf(&b.From, "query", "header", "cookie")), operator.Attr("name", operator.String(&b.Name)),
		operator.Attr("audience", operator.StringList(&s.Audience)), operator.Attr("skew", operator.Duration(&s.Skew, 0, links.MaxSkew)),
		operator.Attr("longest", operator.Duration(&s.MaxLifetime, time.Second, 30*24*time.Hour)),
		operator.Attr("chain", operator.Duration(&s.MaxChainAge, time.Second, 30*24*time.Hour)),
		operator.Attr("renew_within", operator.Duration(&s.RenewWithin, 0, 24*time.Hour)), operator.Attr("reuse", operator.Int(&s.MaxReads, 0, 60_000)),
		operator.Attr("memory", operator.Size(&memory, 1<<12, 1<<32)), operator.Attr("checks", operator.Number(&s.ChecksPerSource, 1, 1e6)),
		operator.Attr("all_checks", operator.Number(&s.ChecksTotal, 1, 1e6)), operator.Attr("spenders", operator.StringList(&s.Spenders)),
		operator.Attr("store", operator.String(&b.Store)), operator.Attr("boxes", operator.Duration(&s.NodeLinkLifetime, time.Second, time.Hour)),
		operator.Check(func() error {
			s.Memory, s.HasStore = int(memory), b.Store != ""
			if strings.HasSuffix(s.Base, "/") {
				return errors.New("base: ends in a slash")
			}
			if s.Form == "compact" && b.From != "query" {
				return errors.New("from: the compact form requires query")
			}
			return nil
		}),
	}
}

// ReadKeys reads the block's key file.
func (b *Block) ReadKeys() (*links.KeySet, error) {
	_, keySet, err := keyfile.Read(b.Keys)
	return keySet, err
}

// Params returns the names of the request fields that are needed to find a token and its client; none if links are off.
func (b *Block) Params() []string {
	if !b.On {
		return nil
	}
	return []string{"QUERY_STRING", "HTTP_COOKIE", "REMOTE_ADDR", b.header()}
}

// header is the CGI name of the header that carries the token.
func (b *Block) header() string {
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(b.Name, "-", "_"))
}

// ambiguousToken replaces a token that a request carries more than once. It is malformed, so such a request is refused: there
// is no safe way to choose one of the tokens.
const ambiguousToken = "."

// Token finds the token among the fields of a request, which have CGI names (RFC 3875, section 4.1).
func (b *Block) Token(params map[string]string) string {
	switch b.From {
	case "header":
		return params[b.header()]
	case "cookie":
		return singleValue(params["HTTP_COOKIE"], ";", b.Name)
	}
	if b.Settings.Form == "compact" {
		return params["QUERY_STRING"]
	}
	return singleValue(params["QUERY_STRING"], "&", b.Name)
}

// singleValue returns the value of the pair with a name, or ambiguousToken if there are several.
func singleValue(text, separator, name string) (found string) {
	for pair := range strings.SplitSeq(text, separator) {
		n, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || n != name {
			continue
		}
		if found != "" {
			return ambiguousToken
		}
		found = value
	}
	return found
}

// Watch calls changed after each change of the key file, until the context ends. It watches the directory, as replacing the
// file by a rename creates a new file. A burst of events leads to one call.
func Watch(ctx context.Context, path string, changed func()) error {
	watcher, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer watcher.Close()
	if err := watcher.Add(filepath.Dir(path)); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	var debounce <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case event, ok := <-watcher.Events:
			if !ok {
				return nil
			}
			if filepath.Base(event.Name) == filepath.Base(path) && debounce == nil {
				debounce = time.After(50 * time.Millisecond)
			}
		case err, ok := <-watcher.Errors:
			if !ok {
				return nil
			}
			if errors.Is(err, fsnotify.ErrEventOverflow) {
				debounce = time.After(50 * time.Millisecond)
			}
		case <-debounce:
			debounce = nil
			changed()
		}
	}
}
