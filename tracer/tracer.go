// Package tracer reconstructs the history of one request from the daemons' logs: the
// decisions about it, and the events of its workers and of the leader election that
// affected it.
package tracer

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"galenawharf.example/galenawharf/clock"
	"galenawharf.example/galenawharf/logger"
)

type (
	// Line is a log line that is about the request or is shown as its context.
	Line struct {
		at      time.Time
		host    string
		message string
		event   string
		fields  map[string]any
	}

	// logEntry is the JSON form of a log line, as package logger writes it.
	logEntry struct {
		Fields    map[string]any `json:"fields"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
)

const (
	// contextWindow is the time before and after the request in which events of its
	// workers and of the election are included. It covers a leader's takeover and the
	// lease expiries that follow it.
	contextWindow = 15 * clock.Second
	// minGap is the time between two lines above which Write notes a gap.
	minGap = 2 * clock.Second
	// maxLineBytes bounds the length of a log line; Read fails on a longer one.
	maxLineBytes = 1 << 20
)

// Read returns the lines that are relevant to the request with the given id, sorted by
// time. It merges the logs of several hosts and skips lines that are not log events. It
// returns no lines if the id doesn't occur, and an error if a log can't be read.
func Read(id string, logs ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, maxLineBytes)
		for s.Scan() {
			if l, ok := parse(s.Text()); ok {
				all = append(all, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(err, "tracer.Read")
		}
	}
	return selectLines(id, all), nil
}

// parse decodes a log line and reports whether it is a log event. A prefix before the
// JSON, as log collectors add it, is ignored.
func parse(s string) (Line, bool) {
	i := strings.IndexByte(s, '{')
	if i < 0 {
		return Line{}, false
	}
	var e logEntry
	if err := json.Unmarshal([]byte(s[i:]), &e); err != nil {
		return Line{}, false
	}
	return Line{at: e.Timestamp, host: fieldText(e.Fields["host"]), message: e.Message, event: fieldText(e.Fields["event"]), fields: e.Fields}, true
}

func fieldText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// selectLines returns the lines about the request, and as context, from contextWindow
// before the first of them to contextWindow after the last, the lines about its workers
// and about events that affect all requests. Lines about tasks of other requests are left
// out. The result is sorted by time and reuses the array of all.
func selectLines(id string, all []Line) []Line {
	var first, last time.Time
	workers := map[string]bool{}
	for _, l := range all {
		if !l.isAbout(id) {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		workers[fieldText(l.fields["worker"])] = true
	}
	delete(workers, "")
	if first.IsZero() {
		return nil
	}
	from, to := first.Add(-contextWindow.Duration()), last.Add(contextWindow.Duration())
	kept := slices.DeleteFunc(all, func(l Line) bool {
		switch {
		case l.isAbout(id):
			return false
		case l.at.Before(from) || l.at.After(to):
			return true
		case l.fields["task"] != nil:
			return true
		case workers[fieldText(l.fields["worker"])]:
			return false
		default:
			return !affectsAllRequests(l.event)
		}
	})
	slices.SortStableFunc(kept, func(a, b Line) int { return a.at.Compare(b.at) })
	return kept
}

// isAbout reports whether the line names the request's id or one of its tasks, whose
// names begin with the id.
func (l Line) isAbout(id string) bool {
	return fieldText(l.fields["id"]) == id || strings.HasPrefix(fieldText(l.fields["task"]), id+".")
}

// affectsAllRequests reports whether an event, such as a change of the leader or an
// outage of the store, concerns every request.
func affectsAllRequests(event string) bool {
	return slices.ContainsFunc([]logger.Event{
		logger.Started, logger.Leaving, logger.Stopped, logger.LeaderElected, logger.LeaderDeposed, logger.LeaderChanged, logger.TermEnded,
		logger.Evacuated, logger.StoreLost, logger.StoreBack, logger.LinesLeftOut,
	}, func(e logger.Event) bool { return e.String() == event })
}

// Write prints the lines with the seconds since the first one, and a note wherever the
// log has no line for longer than minGap. It returns the error of w.
func Write(w io.Writer, lines []Line) error {
	for i, l := range lines {
		if i > 0 {
			if gap := l.at.Sub(lines[i-1].at); gap > minGap.Duration() {
				if _, err := fmt.Fprintf(w, "          (nothing for %s)\n", gap.Round(time.Millisecond)); err != nil {
					return errors.Wrap(err, "tracer.Write")
				}
			}
		}
		if _, err := fmt.Fprintf(w, "%+9.3f %s %s %s%s\n", l.at.Sub(lines[0].at).Seconds(), l.host, l.event, l.message, l.formatFields()); err != nil {
			return errors.Wrap(err, "tracer.Write")
		}
	}
	return nil
}

func (l Line) formatFields() string {
	var b strings.Builder
	for _, k := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare[string]) {
		if k == "host" || k == "event" || k == "data-centre" {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}
