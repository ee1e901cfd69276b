package finding

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"strconv"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// Document is a file of JSON with comments that is being checked.
type Document struct {
	// file is the file's name in findings.
	file string
	// text is the content of the file.
	text []byte
	// lines maps the path of each value to its line, which counts from one. The
	// path of the whole document is empty.
	lines    map[string]int
	findings Findings
}

// Decode reads text into target, a pointer to a struct whose field names are
// the keys. Syntax errors, unknown keys and values of a wrong type are findings.
// If there are none, check the values, add findings to the returned document,
// and then ask it for all of them.
//
//	var s Settings
//	d := finding.Decode("settings.json", text, &s)
//	if s.Name == "" {
//		d.Add("/Name", "must not be empty")
//	}
//	return s, d.Findings()
func Decode(file string, text []byte, target any) *Document {
	d := &Document{file: file, text: text, lines: map[string]int{}}
	tree, err := hujson.Parse(text)
	if err != nil {
		// The line of a syntax error is in the text of err.
		d.findings = append(d.findings, Finding{File: file, Line: 1, Path: "/", Message: err.Error()})
		return d
	}
	d.walk(tree, "", reflect.TypeOf(target).Elem())
	if len(d.findings) > 0 {
		return d
	}
	tree.Standardize()
	if err := json.Unmarshal(tree.Pack(), target); err != nil {
		d.Addf("/", "%s", err.Error())
	}
	return d
}

// Addf records a finding about the value at path, which consists of the keys and
// indices that lead to it, each after a slash. The message is built with
// fmt.Sprintf. If the file does not hold the value, the finding gets the line of
// the innermost value around it, or line 1.
func (d *Document) Addf(path, format string, arguments ...any) {
	line := 1
	for p := path; p != ""; p = parent(p) {
		if recorded, ok := d.lines[p]; ok {
			line = recorded
			break
		}
	}
	d.findings = append(d.findings, Finding{
		File: d.file, Line: line, Path: path, Message: fmt.Sprintf(format, arguments...),
	})
}

// Findings returns all findings so far, sorted by line.
func (d *Document) Findings() Findings { return d.findings.sorted() }

// Err returns all findings as one error, or nil.
func (d *Document) Err() error { return errors.WithStack(d.Findings().Err()) }

// walk checks a value and its children against the type and records their
// lines. Text that a type decodes itself is checked by that type.
func (d *Document) walk(v hujson.Value, path string, t reflect.Type) {
	d.lines[path] = 1 + bytes.Count(d.text[:v.StartOffset], []byte("\n"))
	if reflect.PointerTo(t).Implements(reflect.TypeFor[encoding.TextUnmarshaler]()) {
		d.checkText(v, path, t)
		return
	}
	switch value := v.Value.(type) {
	case *hujson.Object:
		d.walkObject(value, path, t)
	case *hujson.Array:
		d.walkArray(value, path, t)
	case hujson.Literal:
		d.checkLiteral(value, path, t)
	}
}

// walkObject checks the keys of an object against the fields of a struct, and the
// values against the fields' types.
func (d *Document) walkObject(o *hujson.Object, path string, t reflect.Type) {
	if t.Kind() != reflect.Struct {
		d.Addf(path, "must be %s, not an object", describeType(t))
		return
	}
	seen := map[string]bool{}
	for _, m := range o.Members {
		key := m.Name.Value.(hujson.Literal).String()
		memberPath := path + "/" + key
		field, ok := t.FieldByName(key)
		d.lines[memberPath] = 1 + bytes.Count(d.text[:m.Name.StartOffset], []byte("\n"))
		switch {
		case !ok:
			d.Addf(memberPath, "unknown key")
		case seen[key]:
			d.Addf(memberPath, "key stands twice")
		default:
			d.walk(m.Value, memberPath, field.Type)
		}
		seen[key] = true
	}
}

// walkArray checks the elements of an array.
func (d *Document) walkArray(a *hujson.Array, path string, t reflect.Type) {
	if t.Kind() != reflect.Slice {
		d.Addf(path, "must be %s, not an array", describeType(t))
		return
	}
	for i, element := range a.Elements {
		d.walk(element, path+"/"+strconv.Itoa(i), t.Elem())
	}
}

// checkText checks a value whose type implements encoding.TextUnmarshaler. It must
// be a string that the type accepts.
func (d *Document) checkText(v hujson.Value, path string, t reflect.Type) {
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() != '"' {
		d.Addf(path, "must be a string")
		return
	}
	target := reflect.New(t).Interface().(encoding.TextUnmarshaler)
	if err := target.UnmarshalText([]byte(literal.String())); err != nil {
		d.Addf(path, "%s", err.Error())
	}
}

// checkLiteral checks the type of a string, number or boolean. It does not
// accept null.
func (d *Document) checkLiteral(l hujson.Literal, path string, t reflect.Type) {
	if err := json.Unmarshal(l, reflect.New(t).Interface()); err != nil || l.Kind() == 'n' {
		d.Addf(path, "must be %s", describeType(t))
	}
}

// describeType returns what a value of a type must be in JSON.
func describeType(t reflect.Type) string {
	switch t.Kind() {
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "an array"
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number in range"
	}
}

// parent returns the path of the value that contains the one at path. It is empty
// for the whole document.
func parent(path string) string {
	for i := len(path) - 1; i >= 0; i-- {
		if path[i] == '/' {
			return path[:i]
		}
	}
	return ""
}
