// Package declarer has the declarations that operators keep in version
// control, their checks, and the state that accepted changes add up to.
package declarer

type (
	// Kind is a kind of declaration, as it stands in changes and in JSON.
	Kind string

	// Key names one declaration.
	Key struct {
		kind Kind
		name string
	}
)

// Kinds of declarations.
const (
	KindOperator   Kind = "operator"
	KindDataCentre Kind = "data-centre"
	KindTeam       Kind = "team"
	KindService    Kind = "service"
	KindBatchJob   Kind = "batch-job"
	KindWatchJob   Kind = "watch-job"
	KindPrice      Kind = "price"
	KindDrain      Kind = "drain"
)

// KeyOf gives the key of the declaration of a kind and name.
func KeyOf(k Kind, name string) Key { return Key{kind: k, name: name} }

// Kind gives the kind.
func (k Key) Kind() Kind { return k.kind }

// Name gives the name.
func (k Key) Name() string { return k.name }

// String gives kind and name as "team/billing".
func (k Key) String() string { return string(k.kind) + "/" + k.name }
