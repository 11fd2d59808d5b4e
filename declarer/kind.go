// Package declarer defines the declarations that operators keep in version control,
// validates them, and computes the state that results from accepted changes.
//
// A change is a record of the config stream of the log and sets or deletes declarations,
// all or none. A declaration is in force from the change that sets it until a change that
// replaces or deletes it. Its version identifies that change (Item.Version).
package declarer

type (
	// Kind is a kind of declaration, as written in changes and in JSON.
	Kind string

	// Key identifies a declaration by kind and name.
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

// KeyOf returns the key for a kind and name.
func KeyOf(k Kind, name string) Key { return Key{kind: k, name: name} }

// Kind returns the kind of declaration.
func (k Key) Kind() Kind { return k.kind }

// Name returns the name, which is unique within the kind.
func (k Key) Name() string { return k.name }

// String returns kind and name in the form "team/billing".
func (k Key) String() string { return string(k.kind) + "/" + k.name }
