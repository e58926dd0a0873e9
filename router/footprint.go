package router

// Footprint is what a router is told of its deployment at its start: plain names, and values that are
// float64, string, bool or lists of these. A name that is missing reads as zero.
type Footprint map[string]any

func (f Footprint) num(name string) float64 { return number(f[name]) }

func (f Footprint) flag(name string) bool {
	v, _ := f[name].(bool)
	return v
}

func (f Footprint) text(name string) string {
	v, _ := f[name].(string)
	return v
}

func (f Footprint) list(name string) []any {
	v, _ := f[name].([]any)
	return v
}

// numAt reads the i-th of a list of numbers.
func (f Footprint) numAt(name string, i int) float64 {
	if l := f.list(name); i >= 0 && i < len(l) {
		return number(l[i])
	}
	return 0
}

// textAt reads the i-th of a list of texts.
func (f Footprint) textAt(name string, i int) string {
	if l := f.list(name); i >= 0 && i < len(l) {
		v, _ := l[i].(string)
		return v
	}
	return ""
}

// flagAt reads the i-th of a list of flags.
func (f Footprint) flagAt(name string, i int) bool {
	if l := f.list(name); i >= 0 && i < len(l) {
		v, _ := l[i].(bool)
		return v
	}
	return false
}

func number(v any) float64 {
	n, _ := v.(float64)
	return n
}
