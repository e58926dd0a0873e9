// Package operator reads the operator's own files, written in HCL (github.com/hashicorp/hcl, native syntax).
//
// Reading is strict, since the author of a setting that is silently ignored believes it to be in force: an unknown
// block or attribute, a value of the wrong type, without its unit or out of its range is an error that gives file, line
// and name. A file with any error must not be used at all.
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

// Field is an attribute or a block type that a body may contain, or a check of the body.
type Field struct {
	name     string
	labels   []string
	required bool
	decode   func(cty.Value) error
	block    func(labels []string, line int) ([]Field, error)
	check    func() error
	single   bool // at most one block of this type
}

// Attr is an optional attribute whose value is read by decode, which one of the functions below returns.
func Attr(name string, decode func(cty.Value) error) Field { return Field{name: name, decode: decode} }

// RequiredAttr is a required attribute.
func RequiredAttr(name string, decode func(cty.Value) error) Field {
	return Field{name: name, decode: decode, required: true}
}

// Block is a block type that may occur any number of times. For each block, begin gets its labels and line and returns
// the fields of its body.
func Block(name string, labels []string, begin func(labels []string, line int) ([]Field, error)) Field {
	return Field{name: name, labels: labels, block: begin}
}

// SingleBlock is a block type without labels that may occur at most once.
func SingleBlock(name string, fields func() []Field) Field {
	return Field{name: name, single: true, block: func([]string, int) ([]Field, error) { return fields(), nil }}
}

// Check is called after everything else in its body was read without an error; its own error is reported with the
// position of the body.
func Check(check func() error) Field { return Field{check: check} }

// Parse reads a text that may contain the given fields. The error lists every error found, one per line, as
// file:line: path: message.
func Parse(text []byte, file string, fields ...Field) error {
	parsed, diags := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	if diags.HasErrors() {
		return errorList{}.add(diags)
	}
	r := &reader{}
	r.body(parsed.Body, "", fields)
	if len(r.errs) == 0 {
		return nil
	}
	return r.errs
}

// PeekString returns the value of one top-level string attribute and ignores the rest of the text, for an attribute
// that must be known before the rest can be read. It returns "" if the attribute is missing.
func PeekString(text []byte, file, name string) (string, error) {
	parsed, diags := hclsyntax.ParseConfig(text, file, hcl.InitialPos)
	if diags.HasErrors() {
		return "", errorList{}.add(diags)
	}
	content, _, _ := parsed.Body.PartialContent(&hcl.BodySchema{Attributes: []hcl.AttributeSchema{{Name: name}}})
	attr := content.Attributes[name]
	if attr == nil {
		return "", nil
	}
	v, diags := attr.Expr.Value(nil)
	value := ""
	if diags.HasErrors() || v.IsNull() || String(&value)(v) != nil {
		return "", fmt.Errorf("%s:%d: %s: must be a string", attr.Range.Filename, attr.Range.Start.Line, name)
	}
	return value, nil
}

// errorList holds all errors found in a file, one message each.
type errorList []string

func (l errorList) Error() string { return strings.Join(l, "\n") }

// add appends the errors that the HCL parser reports.
func (l errorList) add(diags hcl.Diagnostics) errorList {
	for _, d := range diags {
		position := ""
		if d.Subject != nil {
			position = fmt.Sprintf("%s:%d: ", d.Subject.Filename, d.Subject.Start.Line)
		}
		l = append(l, fmt.Sprintf("%s%s: %s", position, d.Summary, d.Detail))
	}
	return l
}

// reader reads bodies and collects the errors.
type reader struct{ errs errorList }

// addError records an error at a position; path names the attribute or block.
func (r *reader) addError(at hcl.Range, path string, err error) {
	if path != "" {
		path += ": "
	}
	r.errs = append(r.errs, fmt.Sprintf("%s:%d: %s%v", at.Filename, at.Start.Line, path, err))
}

// join appends a name to a path of blocks, separated by a dot.
func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// body reads the attributes and then the blocks of a body, and runs its checks if the body itself has no error.
func (r *reader) body(b hcl.Body, path string, fields []Field) {
	schema := &hcl.BodySchema{}
	fieldsByName := map[string]Field{}
	for _, f := range fields {
		switch {
		case f.decode != nil:
			schema.Attributes = append(schema.Attributes, hcl.AttributeSchema{Name: f.name, Required: f.required})
			fieldsByName[f.name] = f
		case f.block != nil:
			schema.Blocks = append(schema.Blocks, hcl.BlockHeaderSchema{Type: f.name, LabelNames: f.labels})
			fieldsByName[f.name] = f
		}
	}
	content, diags := b.Content(schema)
	r.errs = r.errs.add(diags)
	errsBefore := len(r.errs)
	for _, name := range namesInFileOrder(content.Attributes) {
		attr := content.Attributes[name]
		v, diags := attr.Expr.Value(nil)
		if diags.HasErrors() {
			r.errs = r.errs.add(diags)
		} else if !v.IsWhollyKnown() || v.IsNull() {
			r.addError(attr.Range, join(path, name), fmt.Errorf("has no value"))
		} else if err := fieldsByName[name].decode(v); err != nil {
			r.addError(attr.Range, join(path, name), err)
		}
	}
	seen := map[string]int{}
	for _, block := range content.Blocks {
		f := fieldsByName[block.Type]
		inner := join(path, strings.Join(append([]string{block.Type}, block.Labels...), " "))
		if seen[block.Type]++; f.single && seen[block.Type] > 1 {
			r.addError(block.DefRange, inner, fmt.Errorf("is defined twice"))
			continue
		}
		sub, err := f.block(block.Labels, block.DefRange.Start.Line)
		if err != nil {
			r.addError(block.DefRange, inner, err)
			continue
		}
		r.body(block.Body, inner, sub)
	}
	for _, f := range fields {
		if f.check == nil || len(r.errs) > errsBefore || diags.HasErrors() {
			continue
		}
		if err := f.check(); err != nil {
			r.addError(b.MissingItemRange(), path, err)
		}
	}
}

// namesInFileOrder returns the attributes' names in the order in which they occur, so that the same file always gives
// the same errors in the same order.
func namesInFileOrder(attrs hcl.Attributes) []string {
	names := make([]string, 0, len(attrs))
	for n := range attrs {
		names = append(names, n)
	}
	slices.SortFunc(names, func(a, b string) int { return attrs[a].Range.Start.Byte - attrs[b].Range.Start.Byte })
	return names
}

// stringValue returns the value of a string.
func stringValue(v cty.Value) (string, error) {
	if v.Type() != cty.String {
		return "", fmt.Errorf("is %s and must be a string", v.Type().FriendlyName())
	}
	return v.AsString(), nil
}

// String reads a non-empty string.
func String(dst *string) func(cty.Value) error {
	return func(v cty.Value) (err error) {
		if *dst, err = stringValue(v); err == nil && *dst == "" {
			err = fmt.Errorf("empty")
		}
		return err
	}
}

// OneOf reads a string that must be one of the allowed ones.
func OneOf(dst *string, allowed ...string) func(cty.Value) error {
	return func(v cty.Value) (err error) {
		if *dst, err = stringValue(v); err == nil && !slices.Contains(allowed, *dst) {
			err = fmt.Errorf("%q is none of %s", *dst, strings.Join(allowed, ", "))
		}
		return err
	}
}

// StringList reads a list of strings, none of them empty or listed twice.
func StringList(dst *[]string) func(cty.Value) error {
	return func(v cty.Value) error {
		if !v.Type().IsTupleType() || v.LengthInt() == 0 {
			return fmt.Errorf("is %s and must be a list of strings", v.Type().FriendlyName())
		}
		var items []string
		for _, e := range v.AsValueSlice() {
			s, err := stringValue(e)
			if err == nil && (s == "" || slices.Contains(items, s)) {
				err = fmt.Errorf("%q is empty or listed twice", s)
			}
			if err != nil {
				return err
			}
			items = append(items, s)
		}
		*dst = items
		return nil
	}
}

// Number reads a number from minimum to maximum.
func Number(dst *float64, minimum, maximum float64) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Number {
			return fmt.Errorf("is %s and must be a number", v.Type().FriendlyName())
		}
		n, _ := v.AsBigFloat().Float64()
		if !(n >= minimum && n <= maximum) {
			return fmt.Errorf("%v is not from %v to %v", n, minimum, maximum)
		}
		*dst = n
		return nil
	}
}

// Int reads a whole number from minimum to maximum.
func Int(dst *int, minimum, maximum int) func(cty.Value) error {
	return func(v cty.Value) error {
		n := 0.0
		if err := Number(&n, float64(minimum), float64(maximum))(v); err != nil {
			return err
		}
		if n != math.Trunc(n) {
			return fmt.Errorf("%v is not a whole number", n)
		}
		*dst = int(n)
		return nil
	}
}

// Bool reads true or false.
func Bool(dst *bool) func(cty.Value) error {
	return func(v cty.Value) error {
		if v.Type() != cty.Bool {
			return fmt.Errorf("is %s and must be true or false", v.Type().FriendlyName())
		}
		*dst = v.True()
		return nil
	}
}

// Duration reads a duration with its unit, such as "250ms" or "1m30s", and stores it in milliseconds.
func Duration(dst *float64, minimum, maximum time.Duration) func(cty.Value) error {
	return func(v cty.Value) error {
		s, err := stringValue(v)
		if err != nil {
			return fmt.Errorf("%w with a unit, such as \"250ms\"", err)
		}
		d, err := time.ParseDuration(s)
		if err != nil || d < minimum || d > maximum {
			return fmt.Errorf("%q is not a duration from %v to %v with its unit", s, minimum, maximum)
		}
		*dst = float64(d) / float64(time.Millisecond)
		return nil
	}
}

// sizeUnits are the units that Size accepts, with their number of bytes.
var sizeUnits = []struct {
	name  string
	bytes float64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"KB", 1e3}, {"MB", 1e6}, {"GB", 1e9}}

// Size reads a size with its unit, such as "64MiB" or "9.5MB", and stores it in bytes.
func Size(dst *float64, minimum, maximum float64) func(cty.Value) error {
	return func(v cty.Value) error {
		s, err := stringValue(v)
		if err != nil {
			return fmt.Errorf("%w with a unit, such as \"64MiB\"", err)
		}
		for _, u := range sizeUnits {
			if digits, ok := strings.CutSuffix(s, u.name); ok {
				n, err := strconv.ParseFloat(digits, 64)
				if err != nil || !(n*u.bytes >= minimum && n*u.bytes <= maximum) {
					return fmt.Errorf("%q is not from %.0f to %.0f bytes", s, minimum, maximum)
				}
				*dst = n * u.bytes
				return nil
			}
		}
		return fmt.Errorf("%q has none of the units KiB, MiB, GiB, KB, MB, GB", s)
	}
}

// Share reads a share of a whole as a number from 0 to 1.
func Share(dst *float64) func(cty.Value) error { return Number(dst, 0, 1) }
