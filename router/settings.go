package router

// Settings holds the settings of a deployment, by name. Values are float64, string, bool or lists of these; a missing
// name or a value of another type reads as the zero value.
type Settings map[string]any

func (f Settings) num(name string) float64 { return number(f[name]) }

func (f Settings) flag(name string) bool {
	v, _ := f[name].(bool)
	return v
}

func (f Settings) text(name string) string {
	v, _ := f[name].(string)
	return v
}

func (f Settings) list(name string) []any {
	v, _ := f[name].([]any)
	return v
}

// numAt returns element i of a list of numbers, 0 where there is none.
func (f Settings) numAt(name string, i int) float64 {
	if l := f.list(name); i >= 0 && i < len(l) {
		return number(l[i])
	}
	return 0
}

// textAt returns element i of a list of strings, empty where there is none.
func (f Settings) textAt(name string, i int) string {
	if l := f.list(name); i >= 0 && i < len(l) {
		v, _ := l[i].(string)
		return v
	}
	return ""
}

// flagAt returns element i of a list of booleans, false where there is none.
func (f Settings) flagAt(name string, i int) bool {
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
