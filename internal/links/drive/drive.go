// Package drive is what stands round the decisions of internal/links: the operator's block, where a front carries a token,
// the store of what is spent, and the watch on the file of keys. It decides nothing.
package drive

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

// Block is the block links of the operator's file.
type Block struct {
	On       bool
	Keys     string // file
	From     string // query, header or cookie
	Name     string // of the parameter, header or cookie
	Store    string // file of what is spent; empty: none
	Settings links.Settings
}

// Fields reads the block; it turns links on.
func (b *Block) Fields() []operator.Field {
	*b = Block{On: true, From: "query", Name: "URISigningPackage", Settings: links.Defaults()}
	s := &b.Settings
	memory := float64(s.Memory)
	return []operator.Field{
		operator.Must("keys", operator.Text(&b.Keys)), operator.Must("base", operator.Text(&s.Base)),
		operator.Attr("form", operator.OneOf(&s.Form, "uri-signing", "compact")),
		operator.Attr("from", operator.OneOf(&b.From, "query", "header", "cookie")), operator.Attr("name", operator.Text(&b.Name)),
		operator.Attr("audience", operator.Texts(&s.Audience)), operator.Attr("skew", operator.Span(&s.Skew, 0, time.Minute)),
		operator.Attr("longest", operator.Span(&s.Longest, time.Second, 30*24*time.Hour)),
		operator.Attr("chain", operator.Span(&s.Chain, time.Second, 30*24*time.Hour)),
		operator.Attr("renew_within", operator.Span(&s.RenewIn, 0, 24*time.Hour)), operator.Attr("reuse", operator.Whole(&s.Reuse, 0, 60_000)),
		operator.Attr("memory", operator.Size(&memory, 1<<12, 1<<32)), operator.Attr("checks", operator.Number(&s.Checks, 1, 1e6)),
		operator.Attr("all_checks", operator.Number(&s.AllChecks, 1, 1e6)), operator.Attr("spenders", operator.Texts(&s.Spenders)),
		operator.Attr("store", operator.Text(&b.Store)), operator.Attr("boxes", operator.Span(&s.Boxes, time.Second, time.Hour)),
		operator.Check(func() error {
			s.Memory, s.Stored = int(memory), b.Store != ""
			if strings.HasSuffix(s.Base, "/") {
				return errors.New("base: ends in a slash")
			}
			if s.Form == "compact" && b.From != "query" {
				return errors.New("from: the compact form stands in the query")
			}
			return nil
		}),
	}
}

// Ring reads the block's keys.
func (b *Block) Ring() (*links.Ring, error) {
	_, ring, err := keyfile.Read(b.Keys)
	return ring, err
}

// Params names the fields of a request that are needed to find a token and its client; none where links are off.
func (b *Block) Params() []string {
	if !b.On {
		return nil
	}
	return []string{"QUERY_STRING", "HTTP_COOKIE", "REMOTE_ADDR", b.header()}
}

func (b *Block) header() string {
	return "HTTP_" + strings.ToUpper(strings.ReplaceAll(b.Name, "-", "_"))
}

// twice stands for a token that a request carries more than once: which of them is meant nobody can say, so none is.
const twice = "."

// Token finds a token among the fields of a request, named as CGI does (RFC 3875, section 4.1).
func (b *Block) Token(params map[string]string) string {
	switch b.From {
	case "header":
		return params[b.header()]
	case "cookie":
		return one(params["HTTP_COOKIE"], ";", b.Name)
	}
	if b.Settings.Form == "compact" {
		return params["QUERY_STRING"]
	}
	return one(params["QUERY_STRING"], "&", b.Name)
}

func one(text, between, name string) (found string) {
	for pair := range strings.SplitSeq(text, between) {
		n, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok || n != name {
			continue
		}
		if found != "" {
			return twice
		}
		found = value
	}
	return found
}

// Watch tells of changes of the file of keys until the context ends. It watches the folder, as a file that is put in place
// whole is another file; what comes in a burst is told once.
func Watch(ctx context.Context, path string, changed func()) error {
	w, err := fsnotify.NewWatcher()
	if err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	defer w.Close()
	if err := w.Add(filepath.Dir(path)); err != nil {
		return fmt.Errorf("keys: %w", err)
	}
	var settled <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case e, ok := <-w.Events:
			if !ok {
				return nil
			}
			if filepath.Base(e.Name) == filepath.Base(path) && settled == nil {
				settled = time.After(50 * time.Millisecond)
			}
		case err, ok := <-w.Errors:
			if !ok {
				return nil
			}
			if errors.Is(err, fsnotify.ErrEventOverflow) {
				settled = time.After(50 * time.Millisecond)
			}
		case <-settled:
			settled = nil
			changed()
		}
	}
}
