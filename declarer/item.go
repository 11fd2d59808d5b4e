package declarer

import (
	"encoding/json"

	"galenawharf.example/galenawharf/coder"
	"galenawharf.example/galenawharf/decoder"
)

type (
	// Item is a declaration of any kind, with its version.
	Item struct {
		key      Key
		version  int64
		document []byte
		value    any
	}

	// declaration is implemented by the type of each kind. A type with defaults has
	// a Defaults method too.
	declaration interface {
		Validate(v *Validator)
	}
)

// Key returns the kind and name of the declaration.
func (i Item) Key() Key { return i.key }

// Version returns the log offset of the change that set the declaration, plus one; 0 if
// it was never set.
func (i Item) Version() int64 { return i.version }

// Document returns the declaration as JSON, with defaults set.
func (i Item) Document() []byte { return i.document }

// Value returns the declaration as a value of its kind's type, such as Service.
func (i Item) Value() any { return i.value }

// ParseItem parses a declaration from JSON, sets its defaults and validates it without
// regard to other declarations. Its name must be name. Paths in errors begin with path.
func ParseItem(k Kind, name string, document []byte, path string) (Item, coder.Errors) {
	value, faults := parseValue(k, document, path)
	if len(faults) > 0 {
		return Item{}, faults
	}
	n := nameOf(value)
	if n != name {
		return Item{}, coder.Errors{coder.At(coder.BadFormat, path+".name", "%q is not the name %q of the change", n, name)}
	}
	return newItem(k, value), nil
}

func newItem(k Kind, value any) Item {
	document, err := json.Marshal(value)
	if err != nil {
		document = nil
	}
	return Item{key: KeyOf(k, nameOf(value)), document: document, value: value}
}

func parseValue(k Kind, document []byte, path string) (any, coder.Errors) {
	switch k {
	case KindOperator:
		return parseAs[Operator](document, path)
	case KindDataCentre:
		return parseAs[DataCentre](document, path)
	case KindTeam:
		return parseAs[Team](document, path)
	case KindService:
		return parseAs[Service](document, path)
	case KindBatchJob:
		return parseAs[BatchJob](document, path)
	case KindWatchJob:
		return parseAs[WatchJob](document, path)
	case KindPrice:
		return parseAs[Price](document, path)
	case KindDrain:
		return parseAs[Drain](document, path)
	}
	return nil, coder.Errors{coder.At(coder.UnknownName, path+".kind", "there is no kind of declaration %q", k)}
}

func parseAs[T declaration](document []byte, path string) (any, coder.Errors) {
	var value T
	faults := decoder.Unmarshal(document, &value)
	if len(faults) > 0 {
		return nil, faults.WithRoot(path)
	}
	return setDefaultsAndValidate(value, path)
}

// setDefaultsAndValidate returns the value with its defaults set, and every error in it.
func setDefaultsAndValidate[T declaration](value T, path string) (any, coder.Errors) {
	if d, ok := any(&value).(interface{ Defaults() }); ok {
		d.Defaults()
	}
	v := NewValidator(path)
	value.Validate(v)
	return value, v.Faults()
}

func nameOf(value any) string {
	switch d := value.(type) {
	case Operator:
		return d.Name
	case DataCentre:
		return d.Name
	case Team:
		return d.Name
	case Service:
		return d.Name
	case BatchJob:
		return d.Name
	case WatchJob:
		return d.Name
	case Price:
		return d.Name
	case Drain:
		return d.Name
	}
	return ""
}

// WithVersion returns the declaration with the version that a daemon reported for it.
func (i Item) WithVersion(version int64) Item {
	i.version = version
	return i
}
