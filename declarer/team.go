package declarer

import "galenawharf.example/galenawharf/sizer"

type (
	// Team owns services and jobs and has a quota.
	Team struct {
		Name string `json:"name"`
		// Quota is the most that the team's work may hold at one time.
		Quota sizer.Document `json:"quota"`
		// Budget is what the team may cost in a month, in the smallest unit
		// of the operator's currency; 0 for no limit.
		Budget int64 `json:"budget"`
	}
)

// Validate gives every fault of t.
func (t Team) Validate(v *Validator) {
	v.name("name", t.Name)
	v.size("quota", t.Quota)
	v.atLeast("budget", t.Budget, 0)
}
