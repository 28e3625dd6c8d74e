package logreport

import (
	"html/template"
	"io"
	"time"
)

// page is the template of the HTML report. It references no external resources.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"mean": mean,
	"at":   func(t time.Time) string { return t.Format(timeFormat) },
	"took": func(d time.Duration) string { return d.Round(precision).String() },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>slatewind report</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 70em; }
table { border-collapse: collapse; margin: 0.5em 0 1.5em; }
th, td { border: 1px solid #ccc; padding: 0.2em 0.6em; text-align: left; }
td.n { text-align: right; }
</style>
</head>
<body>
<h1>slatewind report</h1>
<p>{{.Heading}}</p>
{{range .Services}}
<h2>{{.Title}}</h2>
{{.Plot}}
{{range .Parts}}
<h3>{{.Title}}</h3>
{{if .Unserved}}<table><tr><th>unserved</th><th>requests</th><th>cause</th></tr>
{{range .Unserved}}<tr><td>{{.Outcome}}</td><td class="n">{{.Count}}</td><td>{{.Cause}}</td></tr>
{{end}}</table>{{end}}
{{if .Extra}}<table><tr><th>extra attempts</th><th>made</th><th>after</th></tr>
{{range .Extra}}<tr><td>{{.Why}}</td><td class="n">{{.Count}}</td><td>{{.Cause}}</td></tr>
{{end}}</table>{{end}}
{{with .Searches}}{{if .Count}}{{$n := .Count}}<table><tr><th>searches without a slot</th><th>{{.Count}}</th></tr>
<tr><td>servers known, in the mean</td><td class="n">{{printf "%.1f" (mean .Known $n)}}</td></tr>
<tr><td>asked</td><td class="n">{{printf "%.1f" (mean .Asked $n)}}</td></tr>
{{range .NotAsked}}<tr><td>not asked: {{.Word}}</td><td class="n">{{printf "%.1f" (mean .Count $n)}}</td></tr>
{{end}}<tr><td>searches with usable servers not asked</td><td class="n">{{.UsableLeft}}</td></tr>
<tr><td>extra attempts denied by the bound</td><td class="n">{{.Denied}}</td></tr>
</table>{{end}}{{end}}
{{end}}
{{if .Causes}}<h3>Breakers opened</h3>
<table><tr><th>cause</th><th>opened</th><th>how they ended</th></tr>
{{range .Causes}}<tr><td>{{.Cause}}</td><td class="n">{{.Count}}</td><td>{{.Ended}}</td></tr>
{{end}}</table>
<table><tr><th>server</th><th>opened</th><th>for</th><th>ended</th><th>cause</th></tr>
{{range .Openings}}<tr><td>{{.Server}}</td><td>{{at .At}}</td><td class="n">{{took .Lasted}}</td><td>{{.Ending}}</td><td>{{.Cause}}</td></tr>
{{end}}</table>{{end}}
{{end}}
{{if .Stops}}<h2>Stops</h2>
<table><tr><th>VM</th><th>began</th><th>lasted</th><th>work</th></tr>
{{range .Stops}}<tr><td>{{.VM}}</td><td>{{at .At}}</td><td>{{.Lasted}}</td><td>{{.Work}}</td></tr>
{{end}}</table>{{end}}
{{if .Findings}}<h2>Lines that could not be read</h2>
<ul>{{range .Findings}}<li>{{.}}</li>
{{end}}</ul>{{end}}
</body>
</html>
`))

// Data of the template: the parts of a report with derived texts.
type (
	pageOpenings struct {
		OpeningsOfCause
		Ended string
	}
	pageKind struct {
		KindOfRoute
		Title string
	}
	pageService struct {
		Service
		Title  string
		Plot   template.HTML
		Parts  []pageKind
		Causes []pageOpenings
	}
	pageStop struct {
		Stop
		Lasted, Work string
	}
	pageReport struct {
		Heading  string
		Services []pageService
		Stops    []pageStop
		Findings []string
	}
)

// WriteHTML writes a report as one HTML page without external resources.
func (r *Report) WriteHTML(out io.Writer) error {
	data := pageReport{Heading: r.heading()}
	for _, s := range r.Services {
		drawn, err := svg(s.Curves, r.Bin)
		if err != nil {
			return err
		}
		// template.HTML is safe here: the SVG contains only the names of curves and numbers,
		// no text from a log.
		service := pageService{Service: s, Title: s.title(), Plot: template.HTML(drawn)}
		for _, k := range s.Kinds {
			service.Parts = append(service.Parts, pageKind{k, k.title()})
		}
		for _, o := range ByCause(s.Openings) {
			service.Causes = append(service.Causes, pageOpenings{o, o.ended()})
		}
		data.Services = append(data.Services, service)
	}
	for _, s := range r.Stops {
		data.Stops = append(data.Stops, pageStop{s, s.lasted(), s.work()})
	}
	for _, f := range r.Findings[:min(len(r.Findings), maxListedFindings)] {
		data.Findings = append(data.Findings, f.String())
	}
	return Error.Wrap(page.Execute(out, data))
}
