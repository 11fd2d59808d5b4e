// Package decoder reads JSON documents from outside and finds every fault in
// them, each with its JSON path and code, not just the first.
package decoder

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"strings"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/coder"
)

type (
	// object is a JSON object whose keys keep their order.
	object struct {
		keys   []string
		values map[string]any
	}

	// walker collects the faults of one document.
	walker struct {
		faults coder.Errors
	}
)

const (
	// MaxDepth is the deepest nesting that is read.
	MaxDepth = 32
)

var (
	errDepth = errors.New("nested too deep")

	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Unmarshal reads data, one JSON document, into the struct that v points to. It
// gives every unknown key, duplicate key and value of the wrong kind; v is set
// only as far as it is free of faults.
func Unmarshal(data []byte, v any) coder.Errors {
	tree, faults := parse(data)
	if len(faults) > 0 {
		return faults
	}
	w := &walker{}
	w.walk(tree, reflect.ValueOf(v).Elem(), "$")
	return w.faults
}

func parse(data []byte) (any, coder.Errors) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	w := &walker{}
	tree, err := w.value(d, "$", 0)
	if err != nil {
		return nil, coder.Errors{coder.At(coder.Malformed, "$", "not well-formed JSON near byte %d: %v", d.InputOffset(), err)}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, coder.Errors{coder.At(coder.Malformed, "$", "more than one JSON document")}
	}
	return tree, w.faults
}

func (w *walker) value(d *json.Decoder, path string, depth int) (any, error) {
	if depth > MaxDepth {
		return nil, errDepth
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		return w.object(d, path, depth)
	case json.Delim('['):
		return w.array(d, path, depth)
	}
	return t, nil
}

func (w *walker) object(d *json.Decoder, path string, depth int) (any, error) {
	o := &object{values: map[string]any{}}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		k := t.(string)
		v, err := w.value(d, path+"."+k, depth+1)
		if err != nil {
			return nil, err
		}
		if _, twice := o.values[k]; twice {
			w.fault(coder.Duplicate, path+"."+k, "the key appears twice")
			continue
		}
		o.keys = append(o.keys, k)
		o.values[k] = v
	}
	_, err := d.Token()
	return o, err
}

func (w *walker) array(d *json.Decoder, path string, depth int) (any, error) {
	a := []any{}
	for d.More() {
		v, err := w.value(d, fmt.Sprintf("%s[%d]", path, len(a)), depth+1)
		if err != nil {
			return nil, err
		}
		a = append(a, v)
	}
	_, err := d.Token()
	return a, err
}

func (w *walker) fault(c coder.Code, path, format string, args ...any) {
	w.faults = append(w.faults, coder.At(c, path, format, args...))
}

func (w *walker) walk(tree any, v reflect.Value, path string) {
	if v.Kind() == reflect.Pointer {
		w.pointer(tree, v, path)
		return
	}
	if p := v.Addr().Type(); p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler) {
		w.leaf(tree, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		w.fields(tree, v, path)
	case reflect.Slice:
		w.elements(tree, v, path)
	case reflect.Map:
		w.entries(tree, v, path)
	default:
		w.leaf(tree, v, path)
	}
}

func (w *walker) pointer(tree any, v reflect.Value, path string) {
	if tree == nil {
		return
	}
	v.Set(reflect.New(v.Type().Elem()))
	w.walk(tree, v.Elem(), path)
}

func (w *walker) fields(tree any, v reflect.Value, path string) {
	o, ok := tree.(*object)
	if !ok {
		w.fault(coder.Malformed, path, "must be an object, not %s", kindOf(tree))
		return
	}
	index := map[string]int{}
	for i := range v.NumField() {
		name, _, _ := strings.Cut(v.Type().Field(i).Tag.Get("json"), ",")
		index[name] = i
	}
	for _, k := range o.keys {
		i, known := index[k]
		if !known {
			w.fault(coder.UnknownField, path+"."+k, "no such key here")
			continue
		}
		w.walk(o.values[k], v.Field(i), path+"."+k)
	}
}

func (w *walker) elements(tree any, v reflect.Value, path string) {
	a, ok := tree.([]any)
	if !ok {
		w.fault(coder.Malformed, path, "must be a list, not %s", kindOf(tree))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(a), len(a)))
	for i, e := range a {
		w.walk(e, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (w *walker) entries(tree any, v reflect.Value, path string) {
	o, ok := tree.(*object)
	if !ok {
		w.fault(coder.Malformed, path, "must be an object, not %s", kindOf(tree))
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, k := range o.keys {
		e := reflect.New(v.Type().Elem()).Elem()
		w.walk(o.values[k], e, path+"."+k)
		v.SetMapIndex(reflect.ValueOf(k), e)
	}
}

func (w *walker) leaf(tree any, v reflect.Value, path string) {
	if tree == nil {
		w.fault(coder.Malformed, path, "must not be null")
		return
	}
	switch tree.(type) {
	case *object, []any:
		w.fault(coder.Malformed, path, "must be %s, not %s", wanted(v), kindOf(tree))
		return
	}
	if _, text := tree.(string); !text && v.Addr().Type().Implements(textUnmarshaler) {
		w.fault(coder.Malformed, path, "must be a text, not %s", kindOf(tree))
		return
	}
	data, err := json.Marshal(tree)
	if err != nil {
		w.fault(coder.Malformed, path, "%v", err)
		return
	}
	err = json.Unmarshal(data, v.Addr().Interface())
	if err == nil {
		return
	}
	var typed *json.UnmarshalTypeError
	var coded *coder.Error
	switch {
	case errors.As(err, &coded):
		w.fault(coded.Code(), path, "%s", coded.Text())
	case errors.As(err, &typed) && strings.HasPrefix(typed.Value, "number"):
		w.fault(coder.OutOfRange, path, "%s is not %s", data, wanted(v))
	case errors.As(err, &typed):
		w.fault(coder.Malformed, path, "must be %s, not %s", wanted(v), kindOf(tree))
	default:
		w.fault(coder.BadFormat, path, "%v", err)
	}
}

func wanted(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "a text"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "a whole number within range"
	default:
		return "a number within range"
	}
}

func kindOf(tree any) string {
	switch tree.(type) {
	case nil:
		return "null"
	case string:
		return "a text"
	case bool:
		return "true or false"
	case json.Number:
		return "a number"
	case []any:
		return "a list"
	default:
		return "an object"
	}
}
