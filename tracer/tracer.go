// Package tracer tells the story of one request from the logs of the daemons: what
// was decided for it, where, and what befell the workers and leaders that it met.
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
	// Line is one line of a log that bears on the request.
	Line struct {
		at     time.Time
		host   string
		text   string
		event  string
		fields map[string]any
	}

	// entry is a line as it is written.
	entry struct {
		Fields    map[string]any `json:"fields"`
		Timestamp time.Time      `json:"timestamp"`
		Message   string         `json:"message"`
	}
)

const (
	// margin is the time around the request in which events of its workers and of
	// the election count: a takeover and the leases after it.
	margin = 15 * clock.Second
	// quiet is the time without a line after which a gap is pointed out.
	quiet = 2 * clock.Second
	// longestLine bounds a line of a log.
	longestLine = 1 << 20
)

// Read returns the lines of the logs that bear on a request, in order of time. The
// logs may be those of several hosts; lines of another form are passed over.
func Read(id string, logs ...io.Reader) ([]Line, error) {
	var all []Line
	for _, r := range logs {
		s := bufio.NewScanner(r)
		s.Buffer(nil, longestLine)
		for s.Scan() {
			if l, ok := parse(s.Text()); ok {
				all = append(all, l)
			}
		}
		if err := s.Err(); err != nil {
			return nil, errors.Wrap(err, "tracer.Read")
		}
	}
	return choose(id, all), nil
}

// parse reads a line. What a collector has put before the JSON is passed over.
func parse(s string) (Line, bool) {
	i := strings.IndexByte(s, '{')
	if i < 0 {
		return Line{}, false
	}
	var e entry
	if err := json.Unmarshal([]byte(s[i:]), &e); err != nil {
		return Line{}, false
	}
	return Line{at: e.Timestamp, host: text(e.Fields["host"]), text: e.Message, event: text(e.Fields["event"]), fields: e.Fields}, true
}

func text(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

// choose keeps the lines of the request itself, and those around it of its workers
// and of the election.
func choose(id string, all []Line) []Line {
	var first, last time.Time
	workers := map[string]bool{}
	for _, l := range all {
		if !l.names(id) {
			continue
		}
		if first.IsZero() || l.at.Before(first) {
			first = l.at
		}
		if l.at.After(last) {
			last = l.at
		}
		workers[text(l.fields["worker"])] = true
	}
	delete(workers, "")
	if first.IsZero() {
		return nil
	}
	from, to := first.Add(-margin.Duration()), last.Add(margin.Duration())
	kept := slices.DeleteFunc(all, func(l Line) bool {
		switch {
		case l.names(id):
			return false
		case l.at.Before(from) || l.at.After(to):
			return true
		case l.fields["task"] != nil:
			return true
		case workers[text(l.fields["worker"])]:
			return false
		default:
			return !shared(l.event)
		}
	})
	slices.SortStableFunc(kept, func(a, b Line) int { return a.at.Compare(b.at) })
	return kept
}

// names reports whether the line is about the request.
func (l Line) names(id string) bool {
	return text(l.fields["id"]) == id || strings.HasPrefix(text(l.fields["task"]), id+".")
}

// shared reports whether an event touches all requests.
func shared(event string) bool {
	return slices.ContainsFunc([]logger.Event{
		logger.Started, logger.Leaving, logger.Stopped, logger.LeaderElected, logger.LeaderDeposed, logger.LeaderChanged, logger.TermEnded,
		logger.Evacuated, logger.StoreLost, logger.StoreBack, logger.LinesLeftOut,
	}, func(e logger.Event) bool { return e.String() == event })
}

// Write prints the lines with the time since the first one, and points out gaps.
func Write(w io.Writer, lines []Line) error {
	for i, l := range lines {
		if i > 0 {
			if gap := l.at.Sub(lines[i-1].at); gap > quiet.Duration() {
				if _, err := fmt.Fprintf(w, "          (nothing for %s)\n", gap.Round(time.Millisecond)); err != nil {
					return errors.Wrap(err, "tracer.Write")
				}
			}
		}
		if _, err := fmt.Fprintf(w, "%+9.3f %s %s %s%s\n", l.at.Sub(lines[0].at).Seconds(), l.host, l.event, l.text, l.details()); err != nil {
			return errors.Wrap(err, "tracer.Write")
		}
	}
	return nil
}

func (l Line) details() string {
	var b strings.Builder
	for _, k := range slices.SortedFunc(maps.Keys(l.fields), cmp.Compare[string]) {
		if k == "host" || k == "event" || k == "data-centre" {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", k, l.fields[k])
	}
	return b.String()
}
