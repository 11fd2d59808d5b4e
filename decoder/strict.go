// Package decoder decodes JSON documents strictly. Unlike encoding/json it returns every
// error in a document, each with its JSON path and result code.
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
	// object is a parsed JSON object with its keys in the order of the document, in
	// which errors are reported.
	object struct {
		keys   []string
		values map[string]any
	}

	// decodeState collects the errors in one document.
	decodeState struct {
		faults coder.Errors
	}
)

const (
	// MaxDepth is the maximum nesting depth of a document.
	MaxDepth = 32
)

var (
	errDepth = errors.New("nested too deeply")

	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// Unmarshal decodes data, one JSON document, into the struct that v points to. It returns
// an error for each unknown key and each value of the wrong type; a field with such a
// value is not set. If the document is malformed or has duplicate keys, Unmarshal returns
// these errors and decodes nothing.
func Unmarshal(data []byte, v any) coder.Errors {
	tree, faults := parse(data)
	if len(faults) > 0 {
		return faults
	}
	w := &decodeState{}
	w.decode(tree, reflect.ValueOf(v).Elem(), "$")
	return w.faults
}

// parse returns the document as a tree of *object, []any, string, json.Number, bool and
// nil. It returns a single error if the document is not well-formed, and otherwise an
// error for each duplicate key.
func parse(data []byte) (any, coder.Errors) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	w := &decodeState{}
	tree, err := w.parseValue(d, "$", 0)
	if err != nil {
		return nil, coder.Errors{coder.At(coder.Malformed, "$", "not well-formed JSON near byte %d: %v", d.InputOffset(), err)}
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, coder.Errors{coder.At(coder.Malformed, "$", "more than one JSON document")}
	}
	return tree, w.faults
}

func (w *decodeState) parseValue(d *json.Decoder, path string, depth int) (any, error) {
	if depth > MaxDepth {
		return nil, errDepth
	}
	t, err := d.Token()
	if err != nil {
		return nil, err
	}
	switch t {
	case json.Delim('{'):
		return w.parseObject(d, path, depth)
	case json.Delim('['):
		return w.parseArray(d, path, depth)
	}
	return t, nil
}

func (w *decodeState) parseObject(d *json.Decoder, path string, depth int) (any, error) {
	o := &object{values: map[string]any{}}
	for d.More() {
		t, err := d.Token()
		if err != nil {
			return nil, err
		}
		k := t.(string)
		v, err := w.parseValue(d, path+"."+k, depth+1)
		if err != nil {
			return nil, err
		}
		if _, exists := o.values[k]; exists {
			w.addFault(coder.Duplicate, path+"."+k, "the key appears twice")
			continue
		}
		o.keys = append(o.keys, k)
		o.values[k] = v
	}
	_, err := d.Token()
	return o, err
}

func (w *decodeState) parseArray(d *json.Decoder, path string, depth int) (any, error) {
	a := []any{}
	for d.More() {
		v, err := w.parseValue(d, fmt.Sprintf("%s[%d]", path, len(a)), depth+1)
		if err != nil {
			return nil, err
		}
		a = append(a, v)
	}
	_, err := d.Token()
	return a, err
}

func (w *decodeState) addFault(c coder.Code, path, format string, args ...any) {
	w.faults = append(w.faults, coder.At(c, path, format, args...))
}

// decode sets v from a parsed value. Values of a type with an UnmarshalJSON or
// UnmarshalText method are decoded by that method, even if the type is a struct.
func (w *decodeState) decode(tree any, v reflect.Value, path string) {
	if v.Kind() == reflect.Pointer {
		w.decodePointer(tree, v, path)
		return
	}
	if p := v.Addr().Type(); p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler) {
		w.decodeScalar(tree, v, path)
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		w.decodeStruct(tree, v, path)
	case reflect.Slice:
		w.decodeSlice(tree, v, path)
	case reflect.Map:
		w.decodeMap(tree, v, path)
	default:
		w.decodeScalar(tree, v, path)
	}
}

func (w *decodeState) decodePointer(tree any, v reflect.Value, path string) {
	if tree == nil {
		return
	}
	v.Set(reflect.New(v.Type().Elem()))
	w.decode(tree, v.Elem(), path)
}

func (w *decodeState) decodeStruct(tree any, v reflect.Value, path string) {
	o, ok := tree.(*object)
	if !ok {
		w.addFault(coder.Malformed, path, "must be an object, not %s", typeName(tree))
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
			w.addFault(coder.UnknownField, path+"."+k, "unknown key")
			continue
		}
		w.decode(o.values[k], v.Field(i), path+"."+k)
	}
}

func (w *decodeState) decodeSlice(tree any, v reflect.Value, path string) {
	a, ok := tree.([]any)
	if !ok {
		w.addFault(coder.Malformed, path, "must be a list, not %s", typeName(tree))
		return
	}
	v.Set(reflect.MakeSlice(v.Type(), len(a), len(a)))
	for i, e := range a {
		w.decode(e, v.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (w *decodeState) decodeMap(tree any, v reflect.Value, path string) {
	o, ok := tree.(*object)
	if !ok {
		w.addFault(coder.Malformed, path, "must be an object, not %s", typeName(tree))
		return
	}
	v.Set(reflect.MakeMap(v.Type()))
	for _, k := range o.keys {
		e := reflect.New(v.Type().Elem()).Elem()
		w.decode(o.values[k], e, path+"."+k)
		v.SetMapIndex(reflect.ValueOf(k), e)
	}
}

// decodeScalar sets v from a string, number or Boolean with encoding/json, and converts
// the errors of that to errors with a result code.
func (w *decodeState) decodeScalar(tree any, v reflect.Value, path string) {
	if tree == nil {
		w.addFault(coder.Malformed, path, "must not be null")
		return
	}
	switch tree.(type) {
	case *object, []any:
		w.addFault(coder.Malformed, path, "must be %s, not %s", expectedType(v), typeName(tree))
		return
	}
	if _, isString := tree.(string); !isString && v.Addr().Type().Implements(textUnmarshaler) {
		w.addFault(coder.Malformed, path, "must be a string, not %s", typeName(tree))
		return
	}
	data, err := json.Marshal(tree)
	if err != nil {
		w.addFault(coder.Malformed, path, "%v", err)
		return
	}
	err = json.Unmarshal(data, v.Addr().Interface())
	if err == nil {
		return
	}
	var typeErr *json.UnmarshalTypeError
	var codedErr *coder.Error
	switch {
	case errors.As(err, &codedErr):
		w.addFault(codedErr.Code(), path, "%s", codedErr.Text())
	case errors.As(err, &typeErr) && strings.HasPrefix(typeErr.Value, "number"):
		w.addFault(coder.OutOfRange, path, "%s is not %s", data, expectedType(v))
	case errors.As(err, &typeErr):
		w.addFault(coder.Malformed, path, "must be %s, not %s", expectedType(v), typeName(tree))
	default:
		w.addFault(coder.BadFormat, path, "%v", err)
	}
}

// expectedType describes the JSON values that v accepts, for error messages.
func expectedType(v reflect.Value) string {
	switch v.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "a whole number within range"
	default:
		return "a number within range"
	}
}

// typeName describes the type of a parsed value, for error messages.
func typeName(tree any) string {
	switch tree.(type) {
	case nil:
		return "null"
	case string:
		return "a string"
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
