package declarer

import "galenawharf.example/galenawharf/sizer"

type (
	// Team owns services and jobs and has a quota and a budget.
	Team struct {
		Name string `json:"name"`
		// Quota is the maximum of resources that the team's work may hold at one
		// time.
		Quota sizer.Document `json:"quota"`
		// Budget is the monthly cost above which the team is reported as over
		// budget, in the smallest unit of the operator's currency; 0 for no
		// budget.
		Budget int64 `json:"budget"`
	}
)

// Validate adds every error in t to v.
func (t Team) Validate(v *Validator) {
	v.name("name", t.Name)
	v.size("quota", t.Quota)
	v.atLeast("budget", t.Budget, 0)
}
