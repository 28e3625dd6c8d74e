package logreport

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"
)

// precision is the precision of durations in a report.
const precision = time.Millisecond

// WriteText writes a report as text.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	line := func(format string, values ...any) { _, _ = fmt.Fprintf(w, format+"\n", values...) }
	line("%s", r.heading())
	for _, s := range r.Services {
		line("\n%s", s.title())
		for _, k := range s.Kinds {
			k.writeText(line)
		}
		for _, o := range ByCause(s.Openings) {
			line("  breakers opened\t%d\t%s\t%s", o.Count, o.Cause, o.ended())
		}
	}
	if len(r.Stops) > 0 {
		line("\nstops")
	}
	for _, s := range r.Stops {
		line("  %s\t%s\t%s\t%s", s.At.Format(timeFormat), s.VM, s.lasted(), s.work())
	}
	return w.Flush()
}

// timeFormat is the format of times of day in a report.
const timeFormat = "15:04:05.000"

// heading returns the number of lines and the time range of the report, and what is missing.
func (r *Report) heading() string {
	text := fmt.Sprintf("%d lines", r.Lines)
	if !r.From.IsZero() {
		text += fmt.Sprintf(", from %s on for %s", r.From.Format(time.RFC3339), r.To.Sub(r.From).Round(precision))
	}
	if r.LeftOut > 0 {
		text += fmt.Sprintf("; %d more were left out by the processes, so that counts are too low", r.LeftOut)
	}
	if n := len(r.Findings); n > 0 {
		text += fmt.Sprintf("; %d could not be read", n)
	}
	return text
}

// title returns the heading of a service.
func (s *Service) title() string {
	if s.Name == unnamed {
		return "requests for no service"
	}
	return "service " + s.Name
}

// title returns the heading of a kind of route.
func (k *KindOfRoute) title() string {
	if k.Kind == unnamed {
		return "routes of unknown kind"
	}
	return fmt.Sprintf("%s routes", k.Kind)
}

// writeText writes the counts of one kind of route.
func (k *KindOfRoute) writeText(line func(string, ...any)) {
	line(" %s", k.title())
	for _, u := range k.Unserved {
		line("  unserved, %s\t%d\t%s", u.Outcome, u.Count, u.Cause)
	}
	for _, e := range k.Extra {
		line("  extra attempts, %s\t%d\tafter: %s", e.Why, e.Count, e.Cause)
	}
	if s := k.Searches; s.Count > 0 {
		line("  searches without a slot\t%d\t%s", s.Count, s.asked())
		line("  with usable servers not asked\t%d\t%s", s.UsableLeft, s.notAsked())
		line("  extra attempts denied to them\t%d\tby the bound, at a server each", s.Denied)
	}
}

// asked returns the mean number of servers that a search asked.
func (s *Searches) asked() string {
	return fmt.Sprintf("asked %.1f of %.1f servers in the mean", mean(s.Asked, s.Count), mean(s.Known, s.Count))
}

// notAsked returns the mean numbers of servers that a search did not ask, by cause.
func (s *Searches) notAsked() string {
	var words []string
	for _, n := range s.NotAsked {
		if n.Count > 0 {
			words = append(words, fmt.Sprintf("%s %.1f", n.Word, mean(n.Count, s.Count)))
		}
	}
	if len(words) == 0 {
		return "all were asked"
	}
	return "not asked in the mean: " + strings.Join(words, ", ")
}

// ended returns how the openings for a cause ended.
func (o *OpeningsOfCause) ended() string {
	text := fmt.Sprintf("%d closed", o.Closed)
	if o.Closed > 0 {
		text += fmt.Sprintf(" (median %s, longest %s)", o.Median.Round(precision), o.Longest.Round(precision))
	}
	if o.Replaced > 0 {
		text += fmt.Sprintf(", %d replaced", o.Replaced)
	}
	if o.StillOpen > 0 {
		text += fmt.Sprintf(", %d still open", o.StillOpen)
	}
	return text
}

// lasted returns the duration of a stop.
func (s Stop) lasted() string {
	switch {
	case !s.Ended:
		return "no end in the log"
	case s.Took == 0:
		return "duration not in the log"
	}
	return "took " + s.Took.Round(precision).String()
}

// work returns the unfinished requests when a stop no longer waited for them.
func (s Stop) work() string {
	if !s.InHand() {
		return "nothing in hand"
	}
	text := fmt.Sprintf("in hand: %d running, %d callers", s.Running, s.Callers)
	if s.CutOff > 0 {
		text += fmt.Sprintf(", %d cut off", s.CutOff)
	}
	return text
}
