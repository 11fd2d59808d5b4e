package checker

import "galenawharf.example/galenawharf/clock"

type (
	// answerRule reports requests that are answered more than once or with
	// anything but the complete answer to that request.
	answerRule struct {
		want map[string]string
		got  map[string]bool
	}
)

func newAnswerRule() *answerRule {
	return &answerRule{want: map[string]string{}, got: map[string]bool{}}
}

func (a *answerRule) observe(e Event) []Violation {
	switch e.kind {
	case requestSent:
		a.want[e.request] = e.payload
	case requestAnswered:
		return a.answer(e)
	}
	return nil
}

func (a *answerRule) answer(e Event) []Violation {
	want, sent := a.want[e.request]
	if !sent {
		return newViolation("answer", e, "%s was answered but never sent", e.request)
	}
	if a.got[e.request] {
		return newViolation("answer", e, "%s was answered twice", e.request)
	}
	a.got[e.request] = true
	if !e.notRun && e.payload != want {
		return newViolation("answer", e, "%s was answered %q instead of %q", e.request, e.payload, want)
	}
	return nil
}

func (a *answerRule) finish(clock.Millis) []Violation { return nil }
