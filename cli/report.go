package cli

import (
	"bufio"
	"io"
	"os"

	"github.com/zeebo/errs"

	"slatewind.example/slatewind/logreport"
)

type reportCommand struct {
	out  io.Writer
	HTML string `long:"html" description:"also write the report with plots as an HTML page to this file" value-name:"FILE"`
	Args struct {
		Logs []string `positional-arg-name:"LOG" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander. It reports on all logs and lines that can be read, and
// returns the errors of the others.
func (c *reportCommand) Execute([]string) error {
	collector := logreport.NewCollector()
	var group errs.Group
	for _, log := range c.Args.Logs {
		group.Add(ErrUnreached.Wrap(eachLine(log, collector.Add)))
	}
	report := collector.Report()
	group.Add(report.WriteText(c.out))
	if c.HTML != "" {
		group.Add(ErrUnreached.Wrap(writePage(&report, c.HTML)))
	}
	if len(report.Findings) > 0 {
		group.Add(ErrFindings.Wrap(report.Findings))
	}
	return group.Err()
}

// eachLine calls add with each line of a file and its position.
func eachLine(file string, add func(place logreport.Place, text string)) error {
	f, err := os.Open(file)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }()
	reader := bufio.NewReader(f)
	for number := 1; ; number++ {
		text, err := reader.ReadString('\n')
		add(logreport.Place{File: file, Line: number}, text)
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// writePage writes the report as an HTML page to a file.
func writePage(report *logreport.Report, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	return errs.Combine(report.WriteHTML(f), f.Close())
}
