// Package operator reads the operator's own files, written in HCL (github.com/hashicorp/hcl, native syntax).
//
// Reading is strict, since a word that is passed over in silence is a setting that its writer believes to be in
// force: an unknown block or attribute, a value of another type, one without its unit or out of its range is refused
// with file, line and name. A file is taken whole or not at all.
package operator

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
	"github.com/zclconf/go-cty/cty"
)

// Field is one thing that a body may hold: an attribute or a kind of block.
type Field struct {
	name     string
	labels   []string
	required bool
	value    func(cty.Value) error
	block    func(labels []string, line int) ([]Field, error)
	check    func() error
	one      bool
}

// Attr is an attribute whose value is taken by one of the readers below; it may be left out.
func Attr(name string, value func(cty.Value) error) Field { return Field{name: name, value: value} }

// Must is an attribute that may not be left out.
func Must(name string, value func(cty.Value) error) Field {
	return Field{name: name, value: value, required: true}
}

// Block is a kind of block that may stand any number of times. What begins one returns its fields.
func Block(name string, labels []string, begin func(labels []string, line int) ([]Field, error)) Field {
	return Field{name: name, labels: labels, block: begin}
}

// One is a block that may stand once at most.
func One(name string, fields func() []Field) Field {
	return Field{name: name, one: true, block: func([]string, int) ([]Field, error) { return fields(), nil }}
}

// Check is asked once all else in its body was read; its error is told with the body's place.
func Check(check func() error) Field { return Field{check: check} }

// Parse reads a text by its fields. The error names every fault, one a line: file:line: path: fault.
func Parse(text []byte, file string, fields ...Field) error {
	parsed, diags := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	if diags.HasErrors() {
		return faults{}.add(diags)
	}
	r := &reader{}
	r.body(parsed.Body, "", fields)
	if len(r.found) == 0 {
		return nil
	}
	return r.found
}

// Peek finds one attribute of a text whatever else stands there: what has to be known before the rest is read.
func Peek(text []byte, file, name string) (string, error) {
	parsed, diags := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	if diags.HasErrors() {
		return "", faults{}.add(diags)
	}
	content, _, _ := parsed.Body.PartialContent(&hcl.BodySchema{Attributes: []hcl.AttributeSchema{{Name: name}}})
	a := content.Attributes[name]
	if a == nil {
		return "", nil
	}
	v, diags := a.Expr.Value(nil)
	found := ""
	if diags.HasErrors() || v.IsNull() || Text(&found)(v) != nil {
		return "", fmt.Errorf("%s:%d: %s: must be a text", a.Range.Filename, a.Range.Start.Line, name)
	}
	return found, nil
}

// faults are all that is wrong with a file.
type faults []string

func (f faults) Error() string { return strings.Join(f, "\n") }

func (f faults) add(diags hcl.Diagnostics) faults {
	for _, d := range diags {
		at := ""
		if d.Subject != nil {
			at = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
		}
		f = append(f, fmt.Sprintf("%s%s: %s", at, d.Summary, d.Detail))
	}
	return f
}

type reader struct{ found faults }

func (r *reader) fault(at hcl.Range, path string, err error) {
	if path != "" {
		path += ": "
	}
	r.found = append(r.found, fmt.Sprintf("%s:%d: %s%v", at.Filename, at.Start.Line, path, err))
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func (r *reader) body(b hcl.Body, path string, fields []Field) {
	schema := &hcl.BodySchema{}
	known := map[string]Field{}
	for _, f := range fields {
		switch {
		case f.value != nil:
			schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.name, Required: f.required})
			known[f.name] = f
		case f.block != nil:
			schema.Blocks = append(schema.Blocks, hcl.BlockHeaderSchema{Type: f.name, LabelNames: f.labels})
			known[f.name] = f
		}
	}
	content, diags := b.Content(schema)
	r.found = r.found.add(diags)
	before := len(r.found)
	for _, name := range sorted(content.Attributes) {
		a := content.Attributes[name]
		v, diags := a.Expr.Value(nil)
		if diags.HasErrors() {
			r.found = r.found.add(diags)
		} else if !v.IsWhollyKnown() || v.IsNull() {
			r.fault(a.Range, join(path, name), fmt.Errorf("has no value"))
		} else if err := known[name].value(v); err != nil {
			r.fault(a.Range, join(path, name), err)
		}
	}
	seen := map[string]int{}
	for _, block := range content.Blocks {
		f := known[block.Type]
		inner := join(path, strings.Join(append([]string{block.Type}, block.Labels...), " "))
		if seen[block.Type]++; f.one && seen[block.Type] > 1 {
			r.fault(block.DefRange, inner, fmt.Errorf("stands twice"))
			continue
		}
		sub, err := f.block(block.Labels, block.DefRange.Start.Line)
		if err != nil {
			r.fault(block.DefRange, inner, err)
			continue
		}
		r.body(block.Body, inner, sub)
	}
	for _, f := range fields {
		if f.check == nil || len(r.found) > before || diags.HasErrors() {
			continue
		}
		if err := f.check(); err != nil {
			r.fault(b.MissingItemRange(), path, err)
		}
	}
}

// sorted puts attributes in the order in which they stand, so that the same file always has the same first fault.
func sorted(all hcl.Attributes) []string {
	names := make([]string, 0, len(all))
	for n := range all {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return all[a].Range.Start.Byte - all[b].Range.Start.Byte })
	return names
}

func text(v cty.Value) (string, error) {
	if v.Type() != cty.String {
		return "", fmt.Errorf("is %s and must be a text", v.Type().FriendlyName())
	}
	return v.AsString(), nil
}

// Text takes a text that is not empty.
func Text(to *string) func(cty.Value) error {
	return func(v cty.Value) (err error) {
		if *to, err = text(v); err == nil && *to == "" {
			err = fmt.Errorf("empty")
		}
		return err
	}
}

// OneOf takes one of some words.
func OneOf(to *string, words ...string) func(cty.Value) error {
	return func(v cty.Value) (err error) {
		if *to, err = text(v); err == nil && !slices.Contains(words, *to) {
			err = fmt.Errorf("%q is none of %s", *to, strings.Join(words, ", "))
		}
		return err
	}
}

// Texts takes a list of texts, none of them empty or twice.
func Texts(to *[]string) func(cty.Value) error {
	return func(v cty.Value) error {
		if !v.Type().IsTupleType() || v.LengthInt() == 0 {
			return fmt.Errorf("is %s and must be a list of texts", v.Type().FriendlyName())
		}
		var all []string
		for _, e := range v.AsValueSlice() {
			s, err := text(e)
			if err == nil && (s == "" || slices.Contains(all, s)) {
				err = fmt.Errorf("%q is empty or stands twice", s)
			}
			if err != nil {
				return err
			}
			all = append(all, s)
		}
		*to = all
		return nil
	}
}

// Number takes a number from least to most.
func Number(to *float64, least, most float64) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("is %s and must be a number", v.Type().FriendlyName())
		}
		n, _ := v.AsBigFloat().Float64()
		if !(n >= least && n <= most) {
			return fmt.Errorf("%v is not from %v to %v", n, least, most)
		}
		*to = n
		return nil
	}
}

// Whole takes a whole number from least to most.
func Whole(to *int, least, most int) func(cty.Value) error {
	return func(v cty.Value) error {
		n := 0.0
		if err := Number(&n, float64(least), float64(most))(v); err != nil {
			return err
		}
		if n != math.Trunc(n) {
			return fmt.Errorf("%v is not a whole number", n)
		}
		*to = int(n)
		return nil
	}
}

// Flag takes true or false.
func Flag(to *bool) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Bool {
			return fmt.Errorf("is %s and must be true or false", v.Type().FriendlyName())
		}
		*to = v.True()
		return nil
	}
}

// Span takes a time with its unit, such as "250ms" or "1m30s", into milliseconds.
func Span(to *float64, least, most time.Duration) func(cty.Value) error {
	return func(v cty.Value) error {
		s, err := text(v)
		if err != nil {
			return fmt.Errorf("%w with a unit, such as \"250ms\"", err)
		}
		d, err := time.ParseDuration(s)
		if err != nil || d < least || d > most {
			return fmt.Errorf("%q is not a time from %v to %v with its unit", s, least, most)
		}
		*to = float64(d) / float64(time.Millisecond)
		return nil
	}
}

var sizes = []struct {
	unit string
	is   float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}}

// Size takes an amount of bytes with its unit, such as "64MiB" or "9.5MB", into bytes.
func Size(to *float64, least, most float64) func(cty.Value) error {
	return func(v cty.Value) error {
		s, err := text(v)
		if err != nil {
			return fmt.Errorf("%w with a unit, such as \"64MiB\"", err)
		}
		for _, u := range sizes {
			if digits, ok := strings.CutSuffix(s, u.unit); ok {
				n, err := strconv.ParseFloat(digits, 64)
				if err != nil || !(n*u.is >= least && n*u.is <= most) {
					return fmt.Errorf("%q is not from %.0f to %.0f bytes", s, least, most)
				}
				*to = n * u.is
				return nil
			}
		}
		return fmt.Errorf("%q has none of the units KiB, MiB, GiB, KB, MB, GB", s)
	}
}

// Share takes a share as a number from 0 to 1.
func Share(to *float64) func(cty.Value) error { return Number(to, 0, 1) }
